#include "control_state.hpp"

#include <algorithm>

#include "masticgrade/base/event_log.hpp"

namespace masticgrade {

bool control_state::apply(const control_snapshot& snapshot, boot_time sent_at) {
    if (!snapshot.configuration ||
        (configuration_ && snapshot.configuration->version < configuration_->version)) {
        event_line{"configuration_ignored"}
            .field("version", snapshot.configuration ? snapshot.configuration->version : 0)
            .field("in_force", configuration_ ? configuration_->version : 0)
            .write();
        return false;
    }
    if (proven_at_ && sent_at < *proven_at_) {
        // A snapshot from another host, older than the one in force.
        return false;
    }
    const bool changed = !configuration_ ||
                         configuration_->version != snapshot.configuration->version ||
                         configuration_->digest != snapshot.configuration->digest ||
                         evacuated_ != snapshot.evacuated;
    proven_at_ = sent_at;
    if (!changed) {
        return false;
    }
    configuration_ = snapshot.configuration;
    evacuated_ = snapshot.evacuated;
    event_line{"configuration_applied"}
        .field("version", configuration_->version)
        .field("digest", configuration_->digest)
        .field("databases", configuration_->routes.size())
        .field("customers", configuration_->limits.size())
        .field("evacuated_domains", evacuated_.size())
        .field_ms("read_age_ms", boot_clock::now() - sent_at)
        .write();
    return true;
}

std::optional<boot_clock::duration> control_state::proof_age(boot_time now) const {
    if (!proven_at_) {
        return std::nullopt;
    }
    return now - *proven_at_;
}

bool control_state::is_current(boot_time now, milliseconds lifetime) const {
    return proven_at_ && now - *proven_at_ < lifetime;
}

}  // namespace masticgrade
