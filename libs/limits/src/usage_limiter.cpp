#include "masticgrade/limits/usage_limiter.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <string_view>

namespace masticgrade {

namespace {

/// Operations per second that are added to each host's rate when fractions are computed, so that an
/// idle host also gets a fraction of the limit.
constexpr double idle_rate = 0.2;
/// In a larger fleet, all idle hosts together are weighted like this many: most customers are
/// served by a few hosts, which need nearly the whole limit.
constexpr double max_idle_hosts = 8;
/// Time constant of the exponential average of this host's own rates.
constexpr double rate_time_constant_s = 1.0;
/// Limits the tokens that accrue over a pause, for instance while the host was suspended.
constexpr double max_refill_s = 1.0;
/// Lower bound of the bucket level, in seconds of the rate below zero, so that one overrun cannot
/// block a customer for long. The required limit is checked over 5 s windows; ten times the rate
/// during one round of a large fleet exceeds the burst by 4 s of the rate.
constexpr double max_debt_s = 4.0;
constexpr milliseconds max_retry_after{2000};
/// Operations that a host may admit in a round even if its fraction is smaller: otherwise a burst
/// of 3 on 7 hosts could not serve anyone. The required limit tolerates 20 extra operations over
/// all hosts.
constexpr double min_round_allowance = 1.5;
/// Expected number of hosts with the minimum allowance, chosen randomly for each round; one
/// operation each stays within the 20 extra operations.
constexpr std::size_t mean_hosts_with_minimum = 18;
/// Fraction of each round that is split equally, so that callers can switch to another host.
constexpr double equal_split_fraction = 0.5;
/// Bucket level, as a fraction of the burst, below which no extra operations are admitted.
constexpr double extra_admission_min_fill = 0.5;
/// A round may end while one in this many live peers has not reported: in a large fleet some host
/// is always slow, and the operations that it admits stay within its fraction.
constexpr std::size_t missing_reports_divisor = 10;
/// Length of a round without live peers.
constexpr milliseconds standalone_round_length{250};
constexpr seconds history_length{8};
/// Operations per second below which a customer is idle on a host.
constexpr double idle_limit = 0.02;
/// The same in a fleet of more than `large_fleet` hosts, where most customers have a few operations
/// a minute on each host: a host reports an operation for about half a second, not for four. Its
/// reports shrink to a sixth, which keeps relays and small hosts within their bandwidth.
constexpr double large_fleet_idle_limit = 0.5;
constexpr std::size_t large_fleet = 100;

/// The idle rate of one host in a fleet of `hosts`.
double idle_rate_among(double hosts) { return idle_rate * std::min(1.0, max_idle_hosts / hosts); }

double to_seconds(boot_clock::duration value) {
    return std::chrono::duration<double>(value).count();
}

}  // namespace

usage_limiter::liveness usage_limiter::liveness_of(const peer_state& peer, boot_time now) {
    const auto silence = now - peer.last_heard;
    if (silence > peer_expiry) {
        return liveness::lost;
    }
    return peer.never_heard || silence > silence_timeout ? liveness::silent : liveness::live;
}

boot_time usage_limiter::next_change(const peer_state& peer) {
    const auto limit = peer.state == liveness::live ? silence_timeout : peer_expiry;
    return peer.last_heard + limit;
}

void usage_limiter::set_state(peer_state& peer, liveness state) {
    if (peer.state == liveness::live) {
        --live_peers_;
        peers_in_round_ -= peer.reported_in_round ? 1 : 0;
    }
    peer.state = state;
    if (state == liveness::live) {
        ++live_peers_;
        peers_in_round_ += peer.reported_in_round ? 1 : 0;
    }
}

void usage_limiter::update_peer_states(boot_time now) {
    if (now <= next_state_change_) {
        return;
    }
    next_state_change_ = boot_time::max();
    for (auto entry = peers_.begin(); entry != peers_.end();) {
        auto& peer = entry->second;
        const auto state = liveness_of(peer, now);
        if (state != peer.state) {
            if (peer.state == liveness::live) {
                include_rates(peer, false, now);
            }
            set_state(peer, state);
            ++peer_states_version_;
        }
        if (state == liveness::lost) {
            peers_by_name_.erase(entry->first);
            entry = peers_.erase(entry);
        } else {
            next_state_change_ = std::min(next_state_change_, next_change(peer));
            ++entry;
        }
    }
}

void usage_limiter::include_rates(const peer_state& peer, bool included, boot_time now) {
    for (const auto& [customer, usage] : peer.usage) {
        const auto found = buckets_.find(customer);
        if (found != buckets_.end()) {
            refill(customer, found->second, now);
            const double sign = included ? 1 : -1;
            found->second.peer_rate += sign * usage.rate;
            found->second.peer_demand += sign * usage.demand;
        }
    }
}

double usage_limiter::assumed_operations(const customer_bucket& bucket, const peer_usage& usage) {
    return usage.rate * (bucket.accrued_s - usage.accrued_s);
}

void usage_limiter::configure(const std::map<customer_id, rate_limit>& limits, boot_time now) {
    std::erase_if(buckets_, [&](const auto& entry) { return !limits.contains(entry.first); });
    update_peer_states(now);
    for (const auto& [customer, limit] : limits) {
        auto [found, added] = buckets_.try_emplace(customer);
        auto& bucket = found->second;
        if (added) {
            bucket.updated = now;
            bucket.rate_updated = now;
            bucket.round_started = now;
            bucket.round_fraction = 1.0 / static_cast<double>(peers_.size() + 1);
            for (auto& [host, peer] : peers_) {
                // Peers may report a customer before this host has its configuration.
                const auto usage = peer.usage.find(customer);
                if (usage != peer.usage.end()) {
                    usage->second.accrued_s = 0;
                    const bool counted = peer.state == liveness::live;
                    bucket.peer_rate += counted ? usage->second.rate : 0;
                    bucket.peer_demand += counted ? usage->second.demand : 0;
                }
            }
        } else {
            refill(customer, bucket, now);
        }
        bucket.limit = limit;
        bucket.level = std::min(bucket.level, limit.burst);
    }
}

bool usage_limiter::admit(const customer_id& customer, boot_time now) {
    const auto found = buckets_.find(customer);
    if (found == buckets_.end()) {
        return false;
    }
    auto& bucket = found->second;
    ++bucket.requested;
    update_peer_states(now);
    refill(customer, bucket, now);
    if (live_peers_ == 0 && now - bucket.round_started >= standalone_round_length) {
        start_round(now);
    }
    const double allowance = round_allowance(bucket, silent_fraction(customer, bucket, now), now);
    const bool is_within_fraction = bucket.round_admitted + 1 <= allowance;
    if (bucket.level < 1 || (!is_within_fraction && !draw_extra_admission(bucket))) {
        return false;
    }
    bucket.level -= 1;
    bucket.round_admitted += 1;
    ++bucket.admitted;
    return true;
}

milliseconds usage_limiter::retry_after(const customer_id& customer, boot_time now) {
    const auto found = buckets_.find(customer);
    if (found == buckets_.end() || found->second.limit.rate <= 0) {
        return max_retry_after;
    }
    update_peer_states(now);
    refill(customer, found->second, now);
    const auto missing = std::max(0.0, 1 - found->second.level);
    const milliseconds wait{
        static_cast<milliseconds::rep>(std::ceil(1000 * missing / found->second.limit.rate))};
    return std::min(wait, max_retry_after);
}

bool usage_limiter::on_report(const host_id& reporter, incarnation_number incarnation,
                              const usage_report& report, boot_time now) {
    update_peer_states(now);
    const auto departed = departed_.find(reporter);
    if (departed != departed_.end() && departed->second == incarnation) {
        return false;
    }
    const auto last_heard = now - report.age;
    const auto [found, added] = peers_by_name_.try_emplace(reporter);
    if (added) {
        found->second = &peers_[reporter];
    }
    auto& peer = *found->second;
    const bool is_new = added || peer.never_heard || peer.incarnation != incarnation;
    const bool is_later = report.uptime > peer.uptime || report.leaving;
    if (!is_new && !is_later) {
        return false;
    }
    // Operations of a silent peer came out of the fraction reserved for it. The first report of a
    // process counts in full only if the process has just started.
    const bool has_baseline =
        is_new ? report.uptime < silence_timeout : peer.state == liveness::live;
    const bool was_live = peer.state == liveness::live;
    if (is_new) {
        clear_usage(peer, now);
        expected_hosts_.insert(reporter);
        departed_.erase(reporter);
    } else if (!was_live) {
        include_rates(peer, true, now);
    }
    peer.incarnation = incarnation;
    peer.uptime = report.uptime;
    peer.last_heard = is_new ? last_heard : std::max(peer.last_heard, last_heard);
    peer.never_heard = false;
    // The counters include the peer in its old state until set_state.
    peers_in_round_ += peer.state == liveness::live && !peer.reported_in_round ? 1 : 0;
    peer.reported_in_round = true;
    peer.accepts_leases = report.accepts_leases;
    set_state(peer, liveness::live);
    next_state_change_ = std::min(next_state_change_, next_change(peer));
    if (is_new || !was_live) {
        ++peer_states_version_;
    }
    for (const auto& item : report.usage) {
        apply_usage(peer, item, has_baseline, now);
    }
    remove_idle_usage(peer, now);
    if (report.leaving) {
        clear_usage(peer, now);
        set_state(peer, liveness::lost);
        departed_[reporter] = incarnation;
        peers_by_name_.erase(found);
        peers_.erase(reporter);
        ++peer_states_version_;
    }
    start_round_if_reported(now);
    return true;
}

void usage_limiter::clear_usage(peer_state& peer, boot_time now) {
    if (peer.state == liveness::live) {
        include_rates(peer, false, now);
    }
    peer.usage.clear();
}

void usage_limiter::apply_usage(peer_state& peer, const customer_usage& item, bool has_baseline,
                                boot_time now) {
    auto [entry, added] = peer.usage.try_emplace(item.customer);
    auto& known = entry->second;
    known.reported_at = peer.uptime;
    const auto found = buckets_.find(item.customer);
    if (found == buckets_.end()) {
        known.admitted = item.admitted;
        known.rate = item.rate;
        known.demand = item.demand;
        return;
    }
    auto& bucket = found->second;
    refill(item.customer, bucket, now);
    if (added) {
        known.accrued_s = bucket.accrued_s;
    }
    if (has_baseline && item.admitted >= known.admitted) {
        const double used =
            static_cast<double>(item.admitted - known.admitted) - assumed_operations(bucket, known);
        bucket.level =
            std::clamp(bucket.level - used, -max_debt_s * bucket.limit.rate, bucket.limit.burst);
    }
    bucket.peer_rate += item.rate - known.rate;
    bucket.peer_demand += item.demand - known.demand;
    known.admitted = item.admitted;
    known.rate = item.rate;
    known.demand = item.demand;
    known.accrued_s = bucket.accrued_s;
    record_rate(known.rates, now, item.rate);
}

void usage_limiter::remove_idle_usage(peer_state& peer, boot_time now) {
    for (auto entry = peer.usage.begin(); entry != peer.usage.end();) {
        if (entry->second.reported_at == peer.uptime) {
            ++entry;
            continue;
        }
        const auto found = buckets_.find(entry->first);
        if (found != buckets_.end()) {
            auto& bucket = found->second;
            refill(entry->first, bucket, now);
            bucket.level = std::min(bucket.level + assumed_operations(bucket, entry->second),
                                    bucket.limit.burst);
            bucket.peer_rate -= entry->second.rate;
            bucket.peer_demand -= entry->second.demand;
        }
        entry = peer.usage.erase(entry);
    }
}

void usage_limiter::start_round_if_reported(boot_time now) {
    const auto missing = live_peers_ - peers_in_round_;
    if (missing <= live_peers_ / missing_reports_divisor) {
        start_round(now);
    }
}

usage_limiter::admission_state usage_limiter::state_of(const customer_id& customer,
                                                       boot_time now) const {
    const auto found = buckets_.find(customer);
    if (found == buckets_.end()) {
        return {};
    }
    const auto& bucket = found->second;
    const double reserved_fraction = silent_fraction(customer, bucket, now);
    return {bucket.level, round_allowance(bucket, reserved_fraction, now) - bucket.round_admitted,
            reserved_fraction};
}

void usage_limiter::expect_peers(const std::set<host_id>& hosts, boot_time now) {
    update_peer_states(now);
    for (const auto& host : hosts) {
        // A host that expired or left does not become a silent peer again.
        if (expected_hosts_.insert(host).second) {
            auto& peer = peers_[host];
            peers_by_name_[host] = &peer;
            peer.last_heard = now - silence_timeout - milliseconds{1};
            peer.never_heard = true;
            next_state_change_ = std::min(next_state_change_, next_change(peer));
            ++peer_states_version_;
        }
    }
}

void usage_limiter::start_round(boot_time now) {
    const std::size_t hosts = live_peers_ + 1;
    for (auto& [host, peer] : peers_) {
        peer.reported_in_round = false;
    }
    peers_in_round_ = 0;
    const auto count = static_cast<double>(hosts);
    // In a large fleet, an equal fraction is below one operation and useless to any host.
    const double equal = equal_split_fraction * std::min(1.0, max_idle_hosts / count);
    const double idle = idle_rate_among(count);
    std::uniform_int_distribution<std::size_t> draw{0, hosts - 1};
    for (auto& [customer, bucket] : buckets_) {
        refill(customer, bucket, now);
        const double own = bucket.own_demand + idle;
        const double all = std::max(own, own + idle * (count - 1) + bucket.peer_demand);
        bucket.round_started = now;
        bucket.round_level = std::max(bucket.level, 0.0);
        bucket.round_fraction = equal / count + (1 - equal) * own / all;
        bucket.round_admitted = 0;
        bucket.round_has_minimum = draw(random_) < mean_hosts_with_minimum;
        const double demand = bucket.own_demand + bucket.peer_demand;
        const bool is_large = count > max_idle_hosts;
        const bool is_within_rate = demand <= bucket.limit.rate;
        bucket.extra_admission_probability = !is_large        ? 0
                                             : is_within_rate ? 1
                                                              : bucket.limit.rate / demand;
    }
}

bool usage_limiter::draw_extra_admission(const customer_bucket& bucket) {
    if (bucket.extra_admission_probability <= 0 ||
        bucket.level < 1 + extra_admission_min_fill * bucket.limit.burst) {
        return false;
    }
    return std::uniform_real_distribution<>{}(random_) < bucket.extra_admission_probability;
}

double usage_limiter::round_allowance(const customer_bucket& bucket, double reserved_fraction,
                                      boot_time now) const {
    const double elapsed = to_seconds(now - bucket.round_started);
    const double refilled = bucket.limit.rate * (1 - reserved_fraction) * elapsed;
    const double available = std::min(bucket.round_level + refilled,
                                      bucket.limit.burst * (1 - reserved_fraction) + refilled);
    const double minimum = bucket.round_has_minimum ? min_round_allowance : 0;
    return std::max(minimum, bucket.round_fraction * available);
}

void usage_limiter::record_rate(rate_history& history, boot_time now, double rate) {
    history.emplace_back(now, rate);
    while (now - history.front().first > history_length) {
        history.pop_front();
    }
}

double usage_limiter::rate_at(const rate_history& history, boot_time moment) {
    double rate = history.empty() ? 0 : history.front().second;
    for (const auto& [time, value] : history) {
        if (time > moment) {
            break;
        }
        rate = value;
    }
    return rate;
}

usage_report usage_limiter::report(boot_time now, bool leaving, bool accepts_leases) {
    usage_report result;
    result.uptime = std::chrono::duration_cast<milliseconds>(now - started_);
    result.leaving = leaving;
    result.accepts_leases = accepts_leases;
    const double idle_below = live_peers_ >= large_fleet ? large_fleet_idle_limit : idle_limit;
    for (auto& [customer, bucket] : buckets_) {
        update_own_rate(bucket, now);
        if (bucket.own_demand < idle_below && bucket.requested == bucket.counted_requested) {
            bucket.own_rate = bucket.own_demand = 0;
            bucket.admitted = bucket.counted_admitted = 0;
            bucket.own_rates.clear();
            continue;
        }
        record_rate(bucket.own_rates, now, bucket.own_rate);
        result.usage.push_back({customer, bucket.admitted, bucket.own_rate, bucket.own_demand});
    }
    return result;
}

std::size_t usage_limiter::live_peer_count(boot_time now) const {
    if (now <= next_state_change_) {
        return live_peers_;
    }
    return static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(),
        [&](const auto& entry) { return liveness_of(entry.second, now) == liveness::live; }));
}

bool usage_limiter::is_live(const host_id& host, boot_time now) const {
    const auto found = peers_by_name_.find(host);
    return found != peers_by_name_.end() && liveness_of(*found->second, now) == liveness::live;
}

bool usage_limiter::accepts_leases(const host_id& host, boot_time since) const {
    const auto found = peers_by_name_.find(host);
    return found != peers_by_name_.end() && found->second->last_heard >= since &&
           found->second->accepts_leases;
}

double usage_limiter::local_load_fraction(boot_time now) const {
    double own = idle_rate;
    double all = idle_rate * static_cast<double>(live_peer_count(now) + 1);
    for (const auto& [customer, bucket] : buckets_) {
        own += bucket.own_rate;
        all += bucket.own_rate + bucket.peer_rate;
    }
    return std::min(1.0, own / all);
}

void usage_limiter::refill(const customer_id& customer, customer_bucket& bucket, boot_time now) {
    const double elapsed = std::min(to_seconds(now - bucket.updated), max_refill_s);
    if (elapsed <= 0) {
        return;
    }
    bucket.updated = now;
    update_own_rate(bucket, now);
    const double reserved_fraction = silent_fraction(customer, bucket, now);
    bucket.accrued_s += elapsed;
    bucket.level += (bucket.limit.rate * (1 - reserved_fraction) - bucket.peer_rate) * elapsed;
    bucket.level = std::clamp(bucket.level, -max_debt_s * bucket.limit.rate,
                              bucket.limit.burst * (1 - reserved_fraction));
}

void usage_limiter::update_own_rate(customer_bucket& bucket, boot_time now) const {
    const double elapsed = to_seconds(now - bucket.rate_updated);
    constexpr double shortest_sample_s = 0.1;
    if (elapsed < shortest_sample_s) {
        return;
    }
    const double weight = 1 - std::exp(-elapsed / rate_time_constant_s);
    const auto update_average = [&](double& rate, std::uint64_t total, std::uint64_t& counted) {
        rate += weight * (static_cast<double>(total - counted) / elapsed - rate);
        counted = total;
    };
    update_average(bucket.own_rate, bucket.admitted, bucket.counted_admitted);
    update_average(bucket.own_demand, bucket.requested, bucket.counted_requested);
    bucket.rate_updated = now;
}

double usage_limiter::silent_fraction(const customer_id& customer, const customer_bucket& bucket,
                                      boot_time now) const {
    if (bucket.reserved_fraction_version != peer_states_version_) {
        bucket.reserved_fraction = compute_silent_fraction(customer, bucket, now);
        bucket.reserved_fraction_version = peer_states_version_;
    }
    return bucket.reserved_fraction;
}

double usage_limiter::compute_silent_fraction(const customer_id& customer,
                                              const customer_bucket& bucket, boot_time now) const {
    auto last_contact = now;
    std::size_t never_heard = 0;
    for (const auto& [host, peer] : peers_) {
        if (peer.never_heard) {
            ++never_heard;
        } else if (peer.state == liveness::silent) {
            last_contact = std::min(last_contact, peer.last_heard);
        }
    }
    const double unknown =
        static_cast<double>(never_heard) / static_cast<double>(peers_.size() + 1);
    if (last_contact == now) {
        return unknown;
    }
    // Both sides of a partition use the rates that both knew when it began.
    const double idle = idle_rate_among(static_cast<double>(peers_.size() + 1 - never_heard));
    double all = rate_at(bucket.own_rates, last_contact) + idle;
    double silent = 0;
    for (const auto& [host, peer] : peers_) {
        if (peer.never_heard) {
            continue;
        }
        const auto usage = peer.usage.find(customer);
        const double rate =
            idle + (usage == peer.usage.end() ? 0 : rate_at(usage->second.rates, last_contact));
        all += rate;
        if (peer.state == liveness::silent) {
            silent += rate;
        }
    }
    return unknown + (1 - unknown) * silent / all;
}

}  // namespace masticgrade
