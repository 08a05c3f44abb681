#pragma once

#include <deque>
#include <optional>

#include "masticgrade/base/time.hpp"
#include "masticgrade/gateway/log_index.hpp"

namespace masticgrade {

/// What is known of a group's log: each proof says that every commit acknowledged before a time is
/// at or below a position. Only the answer of an instance that was the primary when it answered
/// makes one, counted from before the request was sent. Thread safety: none.
class position_proofs {
public:
    void add(boot_time sent_at, log_index position);

    /// The lowest position that covers every commit acknowledged before `moment`, if it is known.
    [[nodiscard]] std::optional<log_index> covering(boot_time moment) const;
    /// The time of the newest proof.
    [[nodiscard]] std::optional<boot_time> newest() const;

private:
    struct proof {
        boot_time sent_at;
        log_index position;
    };
    std::deque<proof> proofs_;
};

}  // namespace masticgrade
