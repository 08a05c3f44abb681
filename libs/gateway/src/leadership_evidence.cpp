#include "masticgrade/gateway/leadership_evidence.hpp"

#include <algorithm>

namespace masticgrade {

bool leadership_evidence::on_row(const std::optional<failover_record>& row, boot_time read_at,
                                 store_era era) {
    if (era < era_) {
        return false;
    }
    const auto found = row.value_or(failover_record{});
    // Reads of different hosts overlap, so a read that was sent later may return an older row.
    const bool is_older = found.fence < record_.fence ||
                          (found.fence == record_.fence && found.open && !record_.open && read_at_);
    if (era > era_) {
        is_lost_ = is_older;
        era_ = era;
    }
    if (is_older || (read_at_ && read_at < *read_at_)) {
        return false;
    }
    is_lost_ = false;
    if (read_at >= revoked_at_) {
        // The lock was acquired before this read, so the row shows it or its outcome.
        revoked_fence_ = std::min(revoked_fence_, found.fence);
    }
    const bool is_new_promotion = !found.open && !found.target.empty() &&
                                  (found.target != record_.target || found.term != record_.term);
    record_ = found;
    read_at_ = read_at;
    return is_new_promotion;
}

void leadership_evidence::revoke(std::uint64_t fence, boot_time now) {
    if (fence > revoked_fence_) {
        revoked_fence_ = fence;
        revoked_at_ = now;
    }
}

bool leadership_evidence::is_expired(boot_time now) const {
    return !read_at_ || now - *read_at_ >= lifetime;
}

bool leadership_evidence::is_settled(boot_time now) const {
    return !is_expired(now) && !record_.open && record_.fence >= revoked_fence_;
}

bool leadership_evidence::leads(const claimant& instance, bool target_is_listed) const {
    if (record_.target.empty() || instance.id == record_.target) {
        return true;
    }
    // An instance that takes over the target's log leads in the same term. A higher term comes from
    // a promotion request that was carried out after its sender had given up.
    return instance.log_term > record_.term ||
           (instance.log_term == record_.term && !target_is_listed);
}

bool leadership_evidence::is_below_record(term_number term, log_index received) const {
    // Numbers go on when a new primary leads, so the term does not matter.
    return !record_.target.empty() && term >= record_.term &&
           received.number < record_.target_position.number;
}

bool leadership_evidence::is_later_process(const claimant& instance) const {
    return instance.id == record_.target && record_.target_start_time != 0 &&
           instance.start_time > record_.target_start_time;
}

bool leadership_evidence::is_unconfirmed(const claimant& instance) const {
    const bool reaches_record =
        instance.reported_end && instance.reported_end->number >= record_.target_position.number;
    return instance.may_have_restarted || (is_later_process(instance) && !reaches_record);
}

bool leadership_evidence::allows(const claimant& instance, bool target_is_listed,
                                 boot_time now) const {
    return is_settled(now) && leads(instance, target_is_listed) && !has_lost_log(instance) &&
           !is_unconfirmed(instance);
}

bool leadership_evidence::contradicts(const claimant& instance, bool target_is_listed,
                                      boot_time now) const {
    return is_settled(now) && !leads(instance, target_is_listed);
}

}  // namespace masticgrade
