#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "masticgrade/base/time.hpp"
#include "masticgrade/gateway/topology.hpp"

namespace masticgrade {

/// What this host knows of the operators' settings, and since when it is certain of it.
/// Lives as long as the process. Thread safety: none; one executor.
class control_state {
public:
    /// Work for a caller who presents a key stops when the last proof of currency is this old, so
    /// that a withdrawn key is refused everywhere within 5 s: the rest is for the way to the
    /// instance.
    static constexpr milliseconds request_max_age{4500};
    /// Above this age a host does not call a key or a database unknown, since it may be new.
    static constexpr milliseconds not_found_max_age{2000};
    /// Above this age the host asks the balancer to send no more callers.
    static constexpr milliseconds readiness_max_age{2600};

    /// Takes a reading that was asked for at `sent_at`. Readings of older versions are ignored.
    /// Returns whether anything changed.
    bool apply(const control_snapshot& reading, boot_time sent_at);

    [[nodiscard]] const std::shared_ptr<const gateway_configuration>& configuration() const {
        return configuration_;
    }
    [[nodiscard]] const std::set<failure_domain_id>& evacuated() const { return evacuated_; }

    /// The age of the last proof; nothing before the first one.
    [[nodiscard]] std::optional<boot_clock::duration> proof_age(boot_time now) const;
    [[nodiscard]] bool is_current(boot_time now, milliseconds lifetime) const;

private:
    std::shared_ptr<const gateway_configuration> configuration_;
    std::set<failure_domain_id> evacuated_;
    std::optional<boot_time> proven_at_;
};

}  // namespace masticgrade
