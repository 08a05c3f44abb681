#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "masticgrade/base/time.hpp"
#include "masticgrade/gateway/topology.hpp"

namespace masticgrade {

/// The operators' configuration in force on this host, and the time at which it was last proven to
/// be current. Lives as long as the process. Thread safety: none; one executor.
class control_state {
public:
    /// Maximum proof age for running a caller's requests. A revoked key must be refused on every
    /// host within 5 s; the difference allows for the time until a request reaches the instance.
    static constexpr milliseconds request_max_age{4500};
    /// Maximum proof age for reporting a key or database as unknown, since it may be new.
    static constexpr milliseconds not_found_max_age{2000};
    /// Maximum proof age for reporting readiness to the load balancer.
    static constexpr milliseconds readiness_max_age{2600};

    /// Applies a snapshot that was requested at `sent_at`. Snapshots of older versions are ignored;
    /// the same version with other contents is applied.
    /// Returns whether the state changed.
    bool apply(const control_snapshot& snapshot, boot_time sent_at);

    [[nodiscard]] const std::shared_ptr<const gateway_configuration>& configuration() const {
        return configuration_;
    }
    [[nodiscard]] const std::set<failure_domain_id>& evacuated() const { return evacuated_; }

    /// Time since the last proof of currency, or nothing if there is none.
    [[nodiscard]] std::optional<boot_clock::duration> proof_age(boot_time now) const;
    [[nodiscard]] bool is_current(boot_time now, milliseconds lifetime) const;

private:
    std::shared_ptr<const gateway_configuration> configuration_;
    std::set<failure_domain_id> evacuated_;
    std::optional<boot_time> proven_at_;
};

}  // namespace masticgrade
