#include "masticgrade/limits/usage_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace masticgrade {

namespace {

/// Added to each host's rate where parts are computed, so that an idle host has a part too;
/// operations per second.
constexpr double idle_rate = 0.2;
/// Time constant of the own rate.
constexpr double rate_time_constant_s = 1.0;
/// A pause above this (a suspended host) adds no more tokens than this long would.
constexpr double longest_refill_s = 1.0;
/// A report's totals shrink the bucket at most this far below zero, in seconds of the rate, so that
/// one overrun cannot lock a customer out for long.
constexpr double deepest_debt_s = 2.0;
constexpr milliseconds longest_retry_after{2000};
/// Operations that a host may admit in a round however small its part is: a burst of 3 on 7 hosts
/// could serve nobody otherwise. The users' bound leaves 20 operations for all hosts.
constexpr double least_allowance = 1.5;
/// The part of a round that is divided evenly, for callers that move to another host.
constexpr double even_part = 0.5;
/// A round without live peers ends after this time.
constexpr milliseconds lonely_round{250};
constexpr seconds history_length{8};

double in_seconds(boot_clock::duration value) {
    return std::chrono::duration<double>(value).count();
}

}  // namespace

bool usage_limiter::is_silent(const peer& other, boot_time now) {
    return now - other.heard > silence_limit;
}

void usage_limiter::configure(const std::map<customer_id, rate_limit>& limits, boot_time now) {
    std::erase_if(buckets_, [&](const auto& entry) { return !limits.contains(entry.first); });
    for (const auto& [customer, limit] : limits) {
        auto [found, added] = buckets_.try_emplace(customer);
        auto& tokens = found->second;
        if (added) {
            tokens.updated = now;
            tokens.rate_updated = now;
            tokens.round_started = now;
            tokens.round_part = 1.0 / static_cast<double>(peers_.size() + 1);
        } else {
            refill(customer, tokens, now);
        }
        tokens.limit = limit;
        tokens.level = std::min(tokens.level, limit.burst);
    }
}

bool usage_limiter::admit(const customer_id& customer, boot_time now) {
    const auto found = buckets_.find(customer);
    if (found == buckets_.end()) {
        return false;
    }
    auto& tokens = found->second;
    refill(customer, tokens, now);
    if (live_peers(now) == 0 && now - tokens.round_started >= lonely_round) {
        start_round(now);
    }
    const double allowance = round_allowance(tokens, silent_part(customer, tokens, now), now);
    if (tokens.level < 1 || tokens.round_spent + 1 > allowance) {
        return false;
    }
    tokens.level -= 1;
    tokens.round_spent += 1;
    ++tokens.admitted;
    return true;
}

milliseconds usage_limiter::retry_after(const customer_id& customer, boot_time now) {
    const auto found = buckets_.find(customer);
    if (found == buckets_.end() || found->second.limit.rate <= 0) {
        return longest_retry_after;
    }
    refill(customer, found->second, now);
    const auto missing = std::max(0.0, 1 - found->second.level);
    const milliseconds wait{
        static_cast<milliseconds::rep>(std::ceil(1000 * missing / found->second.limit.rate))};
    return std::min(wait, longest_retry_after);
}

void usage_limiter::on_report(const host_id& sender, incarnation_number incarnation,
                              const usage_report& report, boot_time now) {
    drop_dead_peers(now);
    auto [found, added] = peers_.try_emplace(sender);
    auto& other = found->second;
    const bool is_new = added || other.incarnation != incarnation;
    // What a silent peer admitted came out of the part that was set aside for it. All that a
    // process admitted counts only if it has just started.
    const bool was_set_aside = !is_new && is_silent(other, now);
    const bool counts_from_zero = is_new && report.uptime < silence_limit;
    for (const auto& item : report.usage) {
        const auto bucket_found = buckets_.find(item.customer);
        if (bucket_found == buckets_.end()) {
            continue;
        }
        auto& tokens = bucket_found->second;
        refill(item.customer, tokens, now);
        if (is_new) {
            other.usage[item.customer] = {};
        }
        auto& known = other.usage[item.customer];
        const bool has_baseline = counts_from_zero || (!is_new && !was_set_aside);
        const double used =
            has_baseline && item.admitted >= known.admitted
                ? static_cast<double>(item.admitted - known.admitted) - known.assumed
                : 0;
        tokens.level = std::clamp(tokens.level - used, -deepest_debt_s * tokens.limit.rate,
                                  tokens.limit.burst);
        known.admitted = item.admitted;
        known.rate = item.rate;
        known.assumed = 0;
        remember(known.rates, now, item.rate);
    }
    other.incarnation = incarnation;
    other.heard = now;
    other.never_heard = false;
    other.heard_in_round = true;
    other.accepts_leases = report.accepts_leases;
    if (report.leaving) {
        peers_.erase(found);
    }
    const bool all_heard = std::all_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
        return entry.second.heard_in_round || is_silent(entry.second, now);
    });
    if (all_heard) {
        start_round(now);
    }
}

usage_limiter::state usage_limiter::describe(const customer_id& customer, boot_time now) const {
    const auto found = buckets_.find(customer);
    if (found == buckets_.end()) {
        return {};
    }
    const auto& tokens = found->second;
    const double set_aside = silent_part(customer, tokens, now);
    return {tokens.level, round_allowance(tokens, set_aside, now) - tokens.round_spent, set_aside};
}

void usage_limiter::expect_peers(const std::set<host_id>& hosts, boot_time now) {
    for (const auto& host : hosts) {
        auto [found, added] = peers_.try_emplace(host);
        if (added) {
            found->second.heard = now - silence_limit - milliseconds{1};
            found->second.never_heard = true;
        }
    }
}

void usage_limiter::start_round(boot_time now) {
    for (auto& [host, other] : peers_) {
        other.heard_in_round = false;
    }
    for (auto& [customer, tokens] : buckets_) {
        refill(customer, tokens, now);
        const double own = tokens.own_rate + idle_rate;
        double all = own;
        std::size_t hosts = 1;
        for (const auto& [host, other] : peers_) {
            if (!is_silent(other, now)) {
                ++hosts;
                const auto usage = other.usage.find(customer);
                all += idle_rate + (usage == other.usage.end() ? 0 : usage->second.rate);
            }
        }
        tokens.round_started = now;
        tokens.round_level = std::max(tokens.level, 0.0);
        tokens.round_part = even_part / static_cast<double>(hosts) + (1 - even_part) * own / all;
        tokens.round_spent = 0;
    }
}

double usage_limiter::round_allowance(const bucket& tokens, double set_aside, boot_time now) const {
    const double elapsed = in_seconds(now - tokens.round_started);
    const double refilled = tokens.limit.rate * (1 - set_aside) * elapsed;
    const double available =
        std::min(tokens.round_level + refilled, tokens.limit.burst * (1 - set_aside) + refilled);
    return std::max(least_allowance, tokens.round_part * available);
}

void usage_limiter::remember(rate_history& history, boot_time now, double rate) {
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
    for (auto& [customer, tokens] : buckets_) {
        update_own_rate(tokens, now);
        remember(tokens.own_rates, now, tokens.own_rate);
        result.usage.push_back({customer, tokens.admitted, tokens.own_rate});
    }
    return result;
}

std::size_t usage_limiter::live_peers(boot_time now) const {
    return static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(), [&](auto& entry) { return !is_silent(entry.second, now); }));
}

bool usage_limiter::is_live(const host_id& host, boot_time now) const {
    const auto found = peers_.find(host);
    return found != peers_.end() && !is_silent(found->second, now);
}

bool usage_limiter::accepts_leases(const host_id& host, boot_time since) const {
    const auto found = peers_.find(host);
    return found != peers_.end() && found->second.heard >= since && found->second.accepts_leases;
}

double usage_limiter::own_part(boot_time now) const {
    double own = idle_rate;
    for (const auto& [customer, tokens] : buckets_) {
        own += tokens.own_rate;
    }
    double all = own;
    for (const auto& [host, other] : peers_) {
        if (is_silent(other, now)) {
            continue;
        }
        all += idle_rate;
        for (const auto& [customer, usage] : other.usage) {
            all += usage.rate;
        }
    }
    return own / all;
}

void usage_limiter::refill(const customer_id& customer, bucket& tokens, boot_time now) {
    const double elapsed = std::min(in_seconds(now - tokens.updated), longest_refill_s);
    if (elapsed <= 0) {
        return;
    }
    tokens.updated = now;
    update_own_rate(tokens, now);
    const double set_aside = silent_part(customer, tokens, now);
    tokens.level += tokens.limit.rate * (1 - set_aside) * elapsed;
    for (auto& [host, other] : peers_) {
        if (is_silent(other, now)) {
            continue;
        }
        const auto usage = other.usage.find(customer);
        if (usage != other.usage.end()) {
            const double assumed = usage->second.rate * elapsed;
            usage->second.assumed += assumed;
            tokens.level -= assumed;
        }
    }
    tokens.level = std::clamp(tokens.level, -deepest_debt_s * tokens.limit.rate,
                              tokens.limit.burst * (1 - set_aside));
}

void usage_limiter::update_own_rate(bucket& tokens, boot_time now) const {
    const double elapsed = in_seconds(now - tokens.rate_updated);
    constexpr double shortest_sample_s = 0.1;
    if (elapsed < shortest_sample_s) {
        return;
    }
    const double sample = static_cast<double>(tokens.admitted - tokens.counted) / elapsed;
    const double weight = 1 - std::exp(-elapsed / rate_time_constant_s);
    tokens.own_rate += weight * (sample - tokens.own_rate);
    tokens.counted = tokens.admitted;
    tokens.rate_updated = now;
}

double usage_limiter::silent_part(const customer_id& customer, const bucket& tokens,
                                  boot_time now) const {
    auto last_contact = now;
    std::size_t counted = 1;
    std::size_t never_heard = 0;
    for (const auto& [host, other] : peers_) {
        if (now - other.heard > peer_lifetime) {
            continue;
        }
        ++counted;
        if (other.never_heard) {
            ++never_heard;
        } else if (is_silent(other, now)) {
            last_contact = std::min(last_contact, other.heard);
        }
    }
    const double unknown = static_cast<double>(never_heard) / static_cast<double>(counted);
    if (last_contact == now) {
        return unknown;
    }
    // Both sides of a partition divide by what was known to both when it began.
    double all = rate_at(tokens.own_rates, last_contact) + idle_rate;
    double silent = 0;
    for (const auto& [host, other] : peers_) {
        if (other.never_heard || now - other.heard > peer_lifetime) {
            continue;
        }
        const auto usage = other.usage.find(customer);
        const double rate =
            idle_rate +
            (usage == other.usage.end() ? 0 : rate_at(usage->second.rates, last_contact));
        all += rate;
        if (is_silent(other, now)) {
            silent += rate;
        }
    }
    return unknown + (1 - unknown) * silent / all;
}

void usage_limiter::drop_dead_peers(boot_time now) {
    std::erase_if(peers_,
                  [&](const auto& entry) { return now - entry.second.heard > peer_lifetime; });
}

}  // namespace masticgrade
