#include "masticgrade/limits/usage_limiter.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <string_view>

namespace masticgrade {

namespace {

/// Added to each host's rate where parts are computed, so that an idle host has a part too;
/// operations per second.
constexpr double idle_rate = 0.2;
/// In a larger fleet, idle hosts together count as this many: most customers are served by a few
/// hosts, which need nearly all of the limit.
constexpr double most_idle_hosts = 8;
/// Time constant of the own rate.
constexpr double rate_time_constant_s = 1.0;
/// A pause above this (a suspended host) adds no more tokens than this long would.
constexpr double longest_refill_s = 1.0;
/// A report's totals shrink the bucket at most this far below zero, in seconds of the rate, so that
/// one overrun cannot lock a customer out for long. The users' window is 5 s; ten times the rate
/// for one round of a large fleet is 4 s of the rate above the burst.
constexpr double deepest_debt_s = 4.0;
constexpr milliseconds longest_retry_after{2000};
/// Operations that a host may admit in a round however small its part is: a burst of 3 on 7 hosts
/// could serve nobody otherwise. The users' bound leaves 20 operations for all hosts.
constexpr double least_allowance = 1.5;
/// Hosts that have it at once, drawn for each round; one operation each stays within those 20.
constexpr std::size_t favoured_hosts = 18;
/// The part of a round that is divided evenly, for callers that move to another host.
constexpr double equal_split_fraction = 0.5;
/// The part of the burst below which hosts keep to their parts.
constexpr double open_part = 0.5;
/// A round ends without the reports of one in so many live peers: in a large fleet some host is
/// always slow, and what it admits stays within its part.
constexpr std::size_t missing_peers_divisor = 10;
/// A round without live peers ends after this time.
constexpr milliseconds lonely_round{250};
constexpr seconds history_length{8};
/// A customer whose recent rate is below this, in operations per second, is idle on a host.
constexpr double idle_limit = 0.02;

/// The rate that one of `hosts` counts with where it is idle.
double idle_rate_among(double hosts) { return idle_rate * std::min(1.0, most_idle_hosts / hosts); }

double in_seconds(boot_clock::duration value) {
    return std::chrono::duration<double>(value).count();
}

}  // namespace

usage_limiter::contact usage_limiter::contact_of(const peer& other, boot_time now) {
    const auto silence = now - other.heard;
    if (silence > peer_expiry) {
        return contact::lost;
    }
    return other.never_heard || silence > silence_timeout ? contact::silent : contact::live;
}

void usage_limiter::observe_silence(boot_time now) {
    for (auto entry = peers_.begin(); entry != peers_.end();) {
        auto& other = entry->second;
        const auto state = contact_of(other, now);
        if (state != other.state) {
            if (other.state == contact::live) {
                count_rates(other, false, now);
            }
            other.state = state;
            ++view_;
        }
        entry = state == contact::lost ? peers_.erase(entry) : std::next(entry);
    }
}

void usage_limiter::count_rates(const peer& other, bool counted, boot_time now) {
    for (const auto& [customer, usage] : other.usage) {
        const auto found = buckets_.find(customer);
        if (found != buckets_.end()) {
            refill(customer, found->second, now);
            const double sign = counted ? 1 : -1;
            found->second.peer_rate += sign * usage.rate;
            found->second.peer_demand += sign * usage.demand;
        }
    }
}

double usage_limiter::assumed(const bucket& tokens, const peer_usage& usage) {
    return usage.rate * (tokens.accrued_s - usage.accrued_s);
}

void usage_limiter::configure(const std::map<customer_id, rate_limit>& limits, boot_time now) {
    std::erase_if(buckets_, [&](const auto& entry) { return !limits.contains(entry.first); });
    observe_silence(now);
    for (const auto& [customer, limit] : limits) {
        auto [found, added] = buckets_.try_emplace(customer);
        auto& tokens = found->second;
        if (added) {
            tokens.updated = now;
            tokens.rate_updated = now;
            tokens.round_started = now;
            tokens.round_part = 1.0 / static_cast<double>(peers_.size() + 1);
            for (auto& [host, other] : peers_) {
                // Peers may report a customer before this host knows of it.
                const auto usage = other.usage.find(customer);
                if (usage != other.usage.end()) {
                    usage->second.accrued_s = 0;
                    const bool counted = other.state == contact::live;
                    tokens.peer_rate += counted ? usage->second.rate : 0;
                    tokens.peer_demand += counted ? usage->second.demand : 0;
                }
            }
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
    ++tokens.asked;
    observe_silence(now);
    refill(customer, tokens, now);
    if (live_peer_count(now) == 0 && now - tokens.round_started >= lonely_round) {
        start_round(now);
    }
    const double allowance = round_allowance(tokens, silent_part(customer, tokens, now), now);
    const bool in_part = tokens.round_spent + 1 <= allowance;
    if (tokens.level < 1 || (!in_part && !draws_open_token(tokens))) {
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
    observe_silence(now);
    refill(customer, found->second, now);
    const auto missing = std::max(0.0, 1 - found->second.level);
    const milliseconds wait{
        static_cast<milliseconds::rep>(std::ceil(1000 * missing / found->second.limit.rate))};
    return std::min(wait, longest_retry_after);
}

bool usage_limiter::on_report(const host_id& reporter, incarnation_number incarnation,
                              const usage_report& report, boot_time now) {
    observe_silence(now);
    const auto departed = departed_.find(reporter);
    if (departed != departed_.end() && departed->second == incarnation) {
        return false;
    }
    const auto heard = now - report.age;
    auto [found, added] = peers_.try_emplace(reporter);
    auto& other = found->second;
    const bool is_new = added || other.never_heard || other.incarnation != incarnation;
    const bool is_later = report.uptime > other.uptime || report.leaving;
    if (!is_new && !is_later) {
        return false;
    }
    // What a silent peer admitted came out of the part that was set aside for it. All that a
    // process admitted counts only if it has just started.
    const bool has_baseline =
        is_new ? report.uptime < silence_timeout : other.state == contact::live;
    const bool was_live = other.state == contact::live;
    if (is_new) {
        forget_usage(other, now);
        expected_.insert(reporter);
        departed_.erase(reporter);
    } else if (!was_live) {
        count_rates(other, true, now);
    }
    other.incarnation = incarnation;
    other.uptime = report.uptime;
    other.heard = is_new ? heard : std::max(other.heard, heard);
    other.never_heard = false;
    other.heard_in_round = true;
    other.accepts_leases = report.accepts_leases;
    other.state = contact::live;
    if (is_new || !was_live) {
        ++view_;
    }
    for (const auto& item : report.usage) {
        take_usage(other, item, has_baseline, now);
    }
    end_idle_usage(other, report, now);
    if (report.leaving) {
        forget_usage(other, now);
        departed_[reporter] = incarnation;
        peers_.erase(found);
        ++view_;
    }
    start_round_when_heard(now);
    return true;
}

void usage_limiter::forget_usage(peer& other, boot_time now) {
    if (other.state == contact::live) {
        count_rates(other, false, now);
    }
    other.usage.clear();
}

void usage_limiter::take_usage(peer& other, const customer_usage& item, bool has_baseline,
                               boot_time now) {
    auto [entry, added] = other.usage.try_emplace(item.customer);
    auto& known = entry->second;
    const auto found = buckets_.find(item.customer);
    if (found == buckets_.end()) {
        known.admitted = item.admitted;
        known.rate = item.rate;
        known.demand = item.demand;
        return;
    }
    auto& tokens = found->second;
    refill(item.customer, tokens, now);
    if (added) {
        known.accrued_s = tokens.accrued_s;
    }
    if (has_baseline && item.admitted >= known.admitted) {
        const double used =
            static_cast<double>(item.admitted - known.admitted) - assumed(tokens, known);
        tokens.level = std::clamp(tokens.level - used, -deepest_debt_s * tokens.limit.rate,
                                  tokens.limit.burst);
    }
    tokens.peer_rate += item.rate - known.rate;
    tokens.peer_demand += item.demand - known.demand;
    known.admitted = item.admitted;
    known.rate = item.rate;
    known.demand = item.demand;
    known.accrued_s = tokens.accrued_s;
    remember(known.rates, now, item.rate);
}

void usage_limiter::end_idle_usage(peer& other, const usage_report& report, boot_time now) {
    std::set<std::string_view> reported;
    for (const auto& item : report.usage) {
        reported.insert(item.customer.str());
    }
    for (auto entry = other.usage.begin(); entry != other.usage.end();) {
        if (reported.contains(entry->first.str())) {
            ++entry;
            continue;
        }
        const auto found = buckets_.find(entry->first);
        if (found != buckets_.end()) {
            auto& tokens = found->second;
            refill(entry->first, tokens, now);
            tokens.level =
                std::min(tokens.level + assumed(tokens, entry->second), tokens.limit.burst);
            tokens.peer_rate -= entry->second.rate;
            tokens.peer_demand -= entry->second.demand;
        }
        entry = other.usage.erase(entry);
    }
}

void usage_limiter::start_round_when_heard(boot_time now) {
    std::size_t live = 0;
    std::size_t missing = 0;
    for (const auto& [host, other] : peers_) {
        if (other.state == contact::live) {
            ++live;
            missing += other.heard_in_round ? 0 : 1;
        }
    }
    if (missing <= live / missing_peers_divisor) {
        start_round(now);
    }
}

usage_limiter::admission_state usage_limiter::state_of(const customer_id& customer,
                                                       boot_time now) const {
    const auto found = buckets_.find(customer);
    if (found == buckets_.end()) {
        return {};
    }
    const auto& tokens = found->second;
    const double reserved_fraction = silent_part(customer, tokens, now);
    return {tokens.level, round_allowance(tokens, reserved_fraction, now) - tokens.round_spent,
            reserved_fraction};
}

void usage_limiter::expect_peers(const std::set<host_id>& hosts, boot_time now) {
    observe_silence(now);
    for (const auto& host : hosts) {
        // A host that was lost or has left is not taken for a silent one again.
        if (expected_.insert(host).second) {
            auto& other = peers_[host];
            other.heard = now - silence_timeout - milliseconds{1};
            other.never_heard = true;
            ++view_;
        }
    }
}

void usage_limiter::start_round(boot_time now) {
    std::size_t hosts = 1;
    for (auto& [host, other] : peers_) {
        other.heard_in_round = false;
        hosts += other.state == contact::live ? 1 : 0;
    }
    const auto count = static_cast<double>(hosts);
    // An even part of a large fleet is below one operation and serves nobody.
    const double even = equal_split_fraction * std::min(1.0, most_idle_hosts / count);
    const double idle = idle_rate_among(count);
    std::uniform_int_distribution<std::size_t> draw{0, hosts - 1};
    for (auto& [customer, tokens] : buckets_) {
        refill(customer, tokens, now);
        const double own = tokens.own_demand + idle;
        const double all = std::max(own, own + idle * (count - 1) + tokens.peer_demand);
        tokens.round_started = now;
        tokens.round_level = std::max(tokens.level, 0.0);
        tokens.round_part = even / count + (1 - even) * own / all;
        tokens.round_spent = 0;
        tokens.round_favoured = draw(random_) < favoured_hosts;
        const double demand = tokens.own_demand + tokens.peer_demand;
        const bool is_large = count > most_idle_hosts;
        const bool is_within = demand <= tokens.limit.rate;
        tokens.round_open = !is_large ? 0 : is_within ? 1 : tokens.limit.rate / demand;
    }
}

bool usage_limiter::draws_open_token(const bucket& tokens) {
    if (tokens.round_open <= 0 || tokens.level < 1 + open_part * tokens.limit.burst) {
        return false;
    }
    return std::uniform_real_distribution<>{}(random_) < tokens.round_open;
}

double usage_limiter::round_allowance(const bucket& tokens, double reserved_fraction,
                                      boot_time now) const {
    const double elapsed = in_seconds(now - tokens.round_started);
    const double refilled = tokens.limit.rate * (1 - reserved_fraction) * elapsed;
    const double available = std::min(tokens.round_level + refilled,
                                      tokens.limit.burst * (1 - reserved_fraction) + refilled);
    const double least = tokens.round_favoured ? least_allowance : 0;
    return std::max(least, tokens.round_part * available);
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
        if (tokens.own_demand < idle_limit && tokens.asked == tokens.counted_asked) {
            tokens.own_rate = tokens.own_demand = 0;
            tokens.admitted = tokens.counted_admitted = 0;
            tokens.own_rates.clear();
            continue;
        }
        remember(tokens.own_rates, now, tokens.own_rate);
        result.usage.push_back({customer, tokens.admitted, tokens.own_rate, tokens.own_demand});
    }
    return result;
}

std::size_t usage_limiter::live_peer_count(boot_time now) const {
    return static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(),
        [&](const auto& entry) { return contact_of(entry.second, now) == contact::live; }));
}

bool usage_limiter::is_live(const host_id& host, boot_time now) const {
    const auto found = peers_.find(host);
    return found != peers_.end() && contact_of(found->second, now) == contact::live;
}

bool usage_limiter::accepts_leases(const host_id& host, boot_time since) const {
    const auto found = peers_.find(host);
    return found != peers_.end() && found->second.heard >= since && found->second.accepts_leases;
}

double usage_limiter::local_load_fraction(boot_time now) const {
    double own = idle_rate;
    double all = idle_rate * static_cast<double>(live_peer_count(now) + 1);
    for (const auto& [customer, tokens] : buckets_) {
        own += tokens.own_rate;
        all += tokens.own_rate + tokens.peer_rate;
    }
    return std::min(1.0, own / all);
}

void usage_limiter::refill(const customer_id& customer, bucket& tokens, boot_time now) {
    const double elapsed = std::min(in_seconds(now - tokens.updated), longest_refill_s);
    if (elapsed <= 0) {
        return;
    }
    tokens.updated = now;
    update_own_rate(tokens, now);
    const double reserved_fraction = silent_part(customer, tokens, now);
    tokens.accrued_s += elapsed;
    tokens.level += (tokens.limit.rate * (1 - reserved_fraction) - tokens.peer_rate) * elapsed;
    tokens.level = std::clamp(tokens.level, -deepest_debt_s * tokens.limit.rate,
                              tokens.limit.burst * (1 - reserved_fraction));
}

void usage_limiter::update_own_rate(bucket& tokens, boot_time now) const {
    const double elapsed = in_seconds(now - tokens.rate_updated);
    constexpr double shortest_sample_s = 0.1;
    if (elapsed < shortest_sample_s) {
        return;
    }
    const double weight = 1 - std::exp(-elapsed / rate_time_constant_s);
    const auto follow = [&](double& rate, std::uint64_t total, std::uint64_t& counted) {
        rate += weight * (static_cast<double>(total - counted) / elapsed - rate);
        counted = total;
    };
    follow(tokens.own_rate, tokens.admitted, tokens.counted_admitted);
    follow(tokens.own_demand, tokens.asked, tokens.counted_asked);
    tokens.rate_updated = now;
}

double usage_limiter::silent_part(const customer_id& customer, const bucket& tokens,
                                  boot_time now) const {
    if (tokens.set_aside_view != view_) {
        tokens.reserved_fraction = compute_silent_part(customer, tokens, now);
        tokens.set_aside_view = view_;
    }
    return tokens.reserved_fraction;
}

double usage_limiter::compute_silent_part(const customer_id& customer, const bucket& tokens,
                                          boot_time now) const {
    auto last_contact = now;
    std::size_t never_heard = 0;
    for (const auto& [host, other] : peers_) {
        if (other.never_heard) {
            ++never_heard;
        } else if (other.state == contact::silent) {
            last_contact = std::min(last_contact, other.heard);
        }
    }
    const double unknown =
        static_cast<double>(never_heard) / static_cast<double>(peers_.size() + 1);
    if (last_contact == now) {
        return unknown;
    }
    // Both sides of a partition divide by what was known to both when it began.
    const double idle = idle_rate_among(static_cast<double>(peers_.size() + 1 - never_heard));
    double all = rate_at(tokens.own_rates, last_contact) + idle;
    double silent = 0;
    for (const auto& [host, other] : peers_) {
        if (other.never_heard) {
            continue;
        }
        const auto usage = other.usage.find(customer);
        const double rate =
            idle + (usage == other.usage.end() ? 0 : rate_at(usage->second.rates, last_contact));
        all += rate;
        if (other.state == contact::silent) {
            silent += rate;
        }
    }
    return unknown + (1 - unknown) * silent / all;
}

}  // namespace masticgrade
