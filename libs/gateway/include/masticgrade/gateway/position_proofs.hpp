#pragma once

#include <deque>
#include <optional>

#include "masticgrade/base/time.hpp"
#include "masticgrade/gateway/log_index.hpp"

namespace masticgrade {

/// Upper bounds for the log positions of acknowledged commits. Each proof states that every commit
/// acknowledged before `sent_at` is at or below `position`. It comes from an answer of an instance
/// that was the primary when it answered; `sent_at` is a time before the request was sent.
/// Thread safety: none.
class position_proofs {
public:
    void add(boot_time sent_at, log_index position);

    /// The lowest known position at or above every commit acknowledged before `moment`, if any.
    [[nodiscard]] std::optional<log_index> covering(boot_time moment) const;
    /// The `sent_at` of the newest proof.
    [[nodiscard]] std::optional<boot_time> newest() const;

private:
    struct proof {
        boot_time sent_at;
        log_index position;
    };
    std::deque<proof> proofs_;
};

}  // namespace masticgrade
