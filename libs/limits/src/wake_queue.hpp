#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "masticgrade/base/time.hpp"

namespace masticgrade {

/// Timer queue that holds the next wake time of each object. An object has the members `wake_at`,
/// initially `time_point::max()`, and `ordinal`, which makes the order of equal times
/// deterministic.
template <class Object>
class wake_queue {
public:
    void reschedule(Object& object, time_point next) {
        if (object.wake_at == next) {
            return;
        }
        if (object.wake_at != time_point::max()) {
            objects_.erase({object.wake_at, object.ordinal});
        }
        object.wake_at = next;
        if (next != time_point::max()) {
            objects_.insert({{next, object.ordinal}, &object});
        }
    }

    [[nodiscard]] std::vector<Object*> due(time_point now) const {
        std::vector<Object*> found;
        for (const auto& [key, object] : objects_) {
            if (key.first > now) {
                break;
            }
            found.push_back(object);
        }
        return found;
    }

    [[nodiscard]] time_point next() const {
        return objects_.empty() ? time_point::max() : objects_.begin()->first.first;
    }

private:
    std::map<std::pair<time_point, std::uint64_t>, Object*> objects_;
};

}  // namespace masticgrade
