#include "owner_account.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "masticgrade/base/invariant.hpp"

namespace masticgrade {

namespace {

constexpr double rounding_tolerance = 1e-10;
/// Rounding errors of the shares of several hundred hosts stay far below this.
constexpr double sum_tolerance = 1e-9;
constexpr std::size_t max_queued_requests = 64;

duration with_margin(duration span, double margin) {
    return span + std::chrono::duration_cast<duration>(span * margin);
}

}  // namespace

share_fraction owner_account::ledger_entry::upper_bound() const {
    if (!pending) {
        return acknowledged;
    }
    return {std::max(acknowledged.rate, pending->share.rate),
            std::max(acknowledged.burst, pending->share.burst)};
}

owner_account::owner_account(customer_id customer, std::uint64_t account_ordinal,
                             fleet_version ownership, const share_settings& settings,
                             time_point now)
    : ordinal(account_ordinal),
      customer_(std::move(customer)),
      settings_(settings),
      ownership_(ownership),
      unknown_shares_since_(ownership),
      pool_(now) {}

void owner_account::configure(double rate, double burst, time_point now) {
    if (rate != rate_ || burst != burst_) {
        rate_ = rate;
        burst_ = burst;
        configure_pool(now);
    }
}

void owner_account::on_members(const member_processes& previous, const member_processes& current) {
    for (auto& [holder, entry] : ledger_) {
        if (!entry.removed && !current.processes.contains(holder)) {
            entry.removed = current.version;
        }
    }
    if (state_ != state::collecting) {
        return;
    }
    for (const auto& holder : previous.processes) {
        if (!current.processes.contains(holder) && !answers_.contains(holder)) {
            unknown_shares_since_ = current.version;
        }
    }
}

void owner_account::restart_collecting(fleet_version ownership, time_point now) {
    if (state_ == state::complete) {
        share_handover own{customer_, ownership, {}, false, pool_.level(now), outstanding_tokens()};
        for (const auto& [holder, entry] : ledger_) {
            own.ledger.push_back({holder.host, holder.incarnation, entry.upper_bound()});
        }
        inherited_ = std::move(own);
    }
    state_ = state::collecting;
    ownership_ = ownership;
    answers_.clear();
}

void owner_account::retire(fleet_version members_version) {
    if (state_ == state::complete) {
        state_ = state::retired;
        retired_at_ = members_version;
    }
}

bool owner_account::resume(time_point now) {
    if (state_ != state::retired || successor_ownership_) {
        return false;
    }
    state_ = state::complete;
    configure_pool(now);
    return true;
}

bool owner_account::on_report(const host_process& holder, const held_share& share, time_point now) {
    if (share.ownership > ownership_) {
        return true;
    }
    if (state_ == state::collecting) {
        if (share.ownership == ownership_) {
            answers_.try_emplace(holder, share.held);
        }
        return false;
    }
    // A member that is not in the ledger joined after the ledger was complete and holds nothing.
    auto& entry = ledger_[holder];
    entry.demand = share.demand;
    if (share.demand > 0) {
        entry.demand_time = now;
    }
    return false;
}

void owner_account::on_handover(const share_handover& handover) {
    if (state_ == state::collecting && handover.ownership == ownership_ && !inherited_) {
        inherited_ = handover;
    }
}

std::optional<share_handover> owner_account::hand_over(fleet_version ownership, time_point now) {
    if (state_ != state::retired) {
        return std::nullopt;
    }
    if (!handover_) {
        drop_expired(now);
        handover_ =
            share_handover{customer_, ownership, {}, false, pool_.level(now), outstanding_tokens()};
        for (const auto& [holder, entry] : ledger_) {
            handover_->ledger.push_back({holder.host, holder.incarnation, entry.upper_bound()});
        }
        successor_ownership_ = ownership;
    }
    return *successor_ownership_ == ownership ? handover_ : std::nullopt;
}

void owner_account::try_complete(const member_processes& current, fleet_version settled,
                                 time_point now) {
    if (state_ != state::collecting || (!inherited_ && settled < unknown_shares_since_)) {
        return;
    }
    for (const auto& holder : current.processes) {
        if (!answers_.contains(holder)) {
            return;
        }
    }
    become_complete(current, now);
}

void owner_account::become_complete(const member_processes& current, time_point now) {
    ledger_.clear();
    outstanding_.clear();
    for (const auto& [holder, held] : answers_) {
        ledger_[holder].acknowledged = held;
    }
    double tokens = 0;
    if (inherited_) {
        for (const auto& share : inherited_->ledger) {
            ledger_.try_emplace({share.host, share.incarnation},
                                ledger_entry{share.share, {}, {}, {}, 0, {}, {}});
        }
        // Tokens granted by the former owner may still be used; they are counted as one grant.
        outstanding_[{}] = {
            ownership_, inherited_->outstanding_tokens,
            now + with_margin(settings_.max_token_wait, settings_.clock_drift_margin)};
        tokens = inherited_->pool_tokens;
    }
    for (auto& [holder, entry] : ledger_) {
        entry.target = entry.acknowledged;
        if (!current.processes.contains(holder)) {
            entry.removed = current.version;
        }
    }
    state_ = state::complete;
    inherited_.reset();
    earliest_plan_ = now + 2 * settings_.rebalance_interval;
    pool_ = token_bucket(now);
    configure_pool(now);
    pool_.add(tokens, now);
}

void owner_account::reclaim(fleet_version settled, time_point now) {
    if (state_ != state::complete) {
        return;
    }
    const auto erased = std::erase_if(ledger_, [&](const auto& item) {
        return item.second.removed && *item.second.removed <= settled;
    });
    if (erased > 0) {
        configure_pool(now);
    }
}

void owner_account::on_released(const host_process& holder, time_point now) {
    const auto found = ledger_.find(holder);
    if (state_ == state::complete && found != ledger_.end() && found->second.removed) {
        ledger_.erase(found);
        configure_pool(now);
    }
}

bool owner_account::on_ack(const host_process& holder, const acknowledged_share& ack,
                           time_point now) {
    const auto found = ledger_.find(holder);
    if (state_ != state::complete || ack.ownership != ownership_ || found == ledger_.end()) {
        return false;
    }
    auto& entry = found->second;
    if (!entry.pending || ack.sequence != entry.sequence) {
        return false;
    }
    const auto freed = std::max(0.0, entry.acknowledged.burst - entry.pending->share.burst);
    entry.acknowledged = entry.pending->share;
    entry.pending.reset();
    configure_pool(now);
    // The holder may have computed these tokens with a higher burst than is configured here.
    pool_.add(std::min(ack.returned_tokens, freed * burst_), now);
    return true;
}

void owner_account::on_token_request(const host_process& holder, const token_request& request,
                                     time_point now) {
    const auto is_queued = std::any_of(queue_.begin(), queue_.end(), [&](const auto& queued) {
        return queued.holder == holder && queued.request.number == request.number;
    });
    if (is_queued || state_ == state::retired || queue_.size() >= max_queued_requests ||
        !(request.tokens > 0)) {
        return;
    }
    queue_.push_back({holder, request, now + settings_.max_token_wait});
}

void owner_account::on_receipt(const host_process& holder, const token_receipt& receipt,
                               time_point now) {
    const auto found = outstanding_.find({holder, receipt.number});
    if (found != outstanding_.end() && found->second.ownership == receipt.ownership) {
        outstanding_.erase(found);
        configure_pool(now);
    }
}

std::vector<owner_account::addressed_grant> owner_account::grant_queued(time_point now) {
    std::vector<addressed_grant> grants;
    drop_expired(now);
    while (state_ == state::complete && !queue_.empty()) {
        const auto& queued = queue_.front();
        const auto known = outstanding_.find({queued.holder, queued.request.number});
        if (known != outstanding_.end()) {
            // The grant may have been lost. Repeating it does not add tokens.
            grants.push_back({queued.holder,
                              {customer_, known->second.ownership, queued.request.number,
                               known->second.tokens}});
        } else {
            const auto tokens = grantable_tokens(queued.request.tokens, now);
            if (tokens <= 0) {
                break;
            }
            grants.push_back(grant(queued, tokens, now));
        }
        queue_.pop_front();
    }
    return grants;
}

double owner_account::grantable_tokens(double requested, time_point now) const {
    const auto level = pool_.level(now) + rounding_tolerance;
    if (level >= requested) {
        return requested;
    }
    // A fraction of a token only helps a holder that has the rest of it, so the requested fraction
    // is granted only together with whole tokens.
    const auto whole_tokens = std::floor(level - (requested - std::floor(requested)));
    return whole_tokens >= 1 ? requested - std::floor(requested) + whole_tokens : 0;
}

owner_account::addressed_grant owner_account::grant(const queued_request& queued, double tokens,
                                                    time_point now) {
    const auto taken = pool_.take_up_to(tokens, now);
    const auto expires = now + with_margin(settings_.max_token_wait, settings_.clock_drift_margin);
    outstanding_[{queued.holder, queued.request.number}] = {ownership_, taken, expires};
    configure_pool(now);
    return {queued.holder, {customer_, ownership_, queued.request.number, taken}};
}

void owner_account::drop_expired(time_point now) {
    std::erase_if(queue_, [&](const auto& queued) { return queued.expires <= now; });
    const auto expired =
        std::erase_if(outstanding_, [&](const auto& item) { return item.second.expires <= now; });
    if (expired > 0 && state_ == state::complete) {
        configure_pool(now);
    }
}

double owner_account::outstanding_tokens() const {
    double sum = 0;
    for (const auto& [key, grant] : outstanding_) {
        sum += grant.tokens;
    }
    return sum;
}

share_fraction owner_account::pool_share() const {
    if (state_ == state::collecting) {
        return {};
    }
    share_fraction sum;
    for (const auto& [holder, entry] : ledger_) {
        const auto upper = entry.upper_bound();
        sum.rate += upper.rate;
        sum.burst += upper.burst;
    }
    MG_INVARIANT("share_sum", sum.rate <= 1 + sum_tolerance && sum.burst <= 1 + sum_tolerance,
                 fmt::format("customer={} rate={} burst={}", customer_, sum.rate, sum.burst));
    return {std::max(0.0, 1 - sum.rate), std::max(0.0, 1 - sum.burst)};
}

void owner_account::configure_pool(time_point now) {
    const auto share = pool_share();
    pool_.configure(share.rate * rate_, std::max(0.0, share.burst * burst_ - outstanding_tokens()),
                    now);
}

bool owner_account::is_active(const ledger_entry& entry, time_point now) const {
    return !entry.removed && entry.demand_time != time_point{} &&
           now - entry.demand_time <= settings_.active_window;
}

void owner_account::update_targets(time_point now) {
    if (state_ != state::complete || now < earliest_plan_) {
        return;
    }
    double active = 0;
    double demand = 0;
    for (const auto& [holder, entry] : ledger_) {
        if (is_active(entry, now)) {
            active += 1;
            demand += entry.demand + settings_.demand_smoothing;
        }
    }
    const auto rate = 1 - settings_.pool_rate_reserve;
    const auto burst = 1 - settings_.pool_burst_reserve;
    for (auto& [holder, entry] : ledger_) {
        entry.target = {};
        if (!is_active(entry, now)) {
            continue;
        }
        const auto by_demand = (entry.demand + settings_.demand_smoothing) / demand;
        const auto weight = settings_.equal_split_fraction / active +
                            (1 - settings_.equal_split_fraction) * by_demand;
        // Hysteresis: an existing share may shrink below the minimum before it is revoked, so that
        // demand near the threshold does not create and revoke it in every round.
        const auto minimum = settings_.min_share_tokens * (entry.acknowledged.burst > 0 ? 0.75 : 1);
        if (weight * burst * burst_ >= minimum) {
            entry.target = {weight * rate, weight * burst};
        }
    }
}

std::vector<owner_account::addressed_assignment> owner_account::rebalance(time_point now) {
    std::vector<addressed_assignment> changes;
    if (state_ != state::complete) {
        return changes;
    }
    auto available = pool_share();
    available.rate -= settings_.pool_rate_reserve;
    available.burst -= settings_.pool_burst_reserve;
    for (auto& [holder, entry] : ledger_) {
        if (entry.removed) {
            continue;
        }
        if (entry.pending) {
            if (now - entry.pending->sent >= settings_.retry_interval) {
                entry.pending->sent = now;
                changes.push_back({holder,
                                   {customer_, ownership_, entry.sequence, entry.pending->share,
                                    entry.pending->tokens}});
            }
            continue;
        }
        const auto before = entry.upper_bound();
        if (auto share = next_assignment(entry, available, now)) {
            available.rate -= entry.upper_bound().rate - before.rate;
            available.burst -= entry.upper_bound().burst - before.burst;
            changes.push_back({holder, std::move(*share)});
        }
    }
    return changes;
}

std::optional<assigned_share> owner_account::next_assignment(ledger_entry& entry,
                                                             share_fraction available,
                                                             time_point now) {
    const auto& held = entry.acknowledged;
    const share_fraction next{
        std::min(entry.target.rate, held.rate + std::max(0.0, available.rate)),
        std::min(entry.target.burst, held.burst + std::max(0.0, available.burst))};
    // Small differences are not worth a message, unless the share has to be revoked.
    const auto differs = [](double from, double to) {
        return std::abs(from - to) > std::max(0.01, 0.1 * from) || (to == 0 && from > 0);
    };
    if (!differs(held.rate, next.rate) && !differs(held.burst, next.burst)) {
        return std::nullopt;
    }
    const auto pool_burst = pool_share().burst;
    const auto growth = std::max(0.0, next.burst - held.burst);
    double tokens = 0;
    if (growth > 0 && pool_burst > 0) {
        const auto proportional_tokens = pool_.level(now) * std::min(1.0, growth / pool_burst);
        tokens = pool_.take_up_to(std::min(proportional_tokens, growth * burst_), now);
    }
    entry.sequence = entry.sequence.next();
    entry.pending = pending_assignment{next, tokens, now};
    configure_pool(now);
    return assigned_share{customer_, ownership_, entry.sequence, next, tokens};
}

bool owner_account::has_removed_holders() const {
    return std::any_of(ledger_.begin(), ledger_.end(),
                       [](const auto& item) { return item.second.removed.has_value(); });
}

time_point owner_account::next_wake(time_point now, bool may_grant) const {
    if (queue_.empty()) {
        return time_point::max();
    }
    auto next = queue_.front().expires;
    for (const auto& queued : queue_) {
        next = std::min(next, queued.expires);
    }
    if (state_ == state::complete && may_grant) {
        const auto requested = queue_.front().request.tokens;
        const auto minimum = requested - std::floor(requested) + (requested >= 1 ? 1 : 0);
        next = std::min(next, pool_.ready_at(std::min(minimum, requested), now));
        for (const auto& [key, grant] : outstanding_) {
            next = std::min(next, grant.expires);
        }
    }
    return std::max(next, now + microseconds(100));
}

}  // namespace masticgrade
