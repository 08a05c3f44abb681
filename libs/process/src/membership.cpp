#include "masticgrade/process/membership.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <tuple>
#include <utility>

#include "masticgrade/base/invariant.hpp"
#include "masticgrade/base/log.hpp"
#include "masticgrade/process/proof_ages.hpp"
#include "masticgrade/process/quorum.hpp"
#include "masticgrade/version/rendezvous.hpp"
#include "masticgrade/version/row_codec.hpp"

namespace masticgrade {

namespace {

constexpr logger log{"membership"};

/// Hosts that may remove members of one list. They are spread over the failure domains, so that one
/// is reachable unless most of the fleet is lost.
constexpr std::size_t max_removal_candidates = 16;
/// Bounds of the concurrent probes of suspected members. Few in normal operation, where slow gossip
/// alone makes some members look failed; enough to check a whole failure domain in a few seconds.
constexpr std::size_t min_concurrent_probes = 2;
constexpr std::size_t max_concurrent_probes = 32;
/// Limits the failure timeout of a flapping host to 16 s.
constexpr unsigned max_timeout_doublings = 3;
/// Upper bound of the random delay before a conflicting change is proposed again.
constexpr milliseconds max_retry_delay{400};

}  // namespace

table_commit make_commit(const change_members& change, std::string mark) {
    const std::string key{members_row_key};
    return {{{key, change.based_on}},
            {{key, encode_members_row(change.proposed, std::move(mark))}}};
}

membership::membership(member self, membership_settings settings, std::mt19937_64 random,
                       time_point now)
    : self_(std::move(self)),
      settings_(settings),
      random_(random),
      next_exchange_(now),
      propose_at_(now),
      rejoin_backoff_(settings.min_rejoin_backoff) {
    choose_incarnation();
}

bool membership::joined() const { return lists_.current().position(self()).has_value(); }

bool membership::reachable(const host_id& id, time_point now) const {
    const auto found = list_.hosts.find(id);
    if (found == list_.hosts.end()) {
        return false;
    }
    const auto position = lists_.current().position({id, found->second.incarnation});
    return position && now - states_[*position].last_seen() <= settings_.failure_timeout;
}

void membership::on_list_applied(const members& list, time_point now) {
    MG_PRECONDITION(list.version >= list_.version);
    if (list_known_ && list.version == list_.version) {
        return;
    }
    const bool was_joined = joined();
    record_removals(list, now);
    const auto old_list = lists_.current();
    const auto old_states = std::exchange(
        states_, std::vector<member_state>(list.hosts.size(), member_state{.listed_at = now}));
    list_ = list;
    lists_.apply(list);
    list_known_ = true;
    for (std::size_t i = 0; i < old_list.hosts.size(); ++i) {
        if (const auto position = lists_.current().position(old_list.hosts[i])) {
            states_[*position] = old_states[i];
            states_[*position].applied_list = false;
        }
    }
    candidates_ = rank_hosts_across_domains(list_, fmt::format("members-{}", list_.version),
                                            max_removal_candidates);
    settled_ = false;
    failure_detected_at_.reset();
    change_deadline_.reset();
    if (was_joined && !joined()) {
        handle_own_removal(now);
    } else if (!was_joined && joined()) {
        joined_at_ = now;
        log.info("Joined the fleet host={} incarnation={} version={}.", self_.id, self_.incarnation,
                 list_.version);
    }
    update_settled();
}

void membership::on_exchange_answer(const exchange_answer& answer, const list_report& report,
                                    time_point now) {
    MG_INVARIANT("proof_not_from_the_future", answer.sent_at <= now,
                 fmt::format("peer={}", answer.peer.id));
    on_message_received(answer.peer, answer.members_version, answer.sent_at);
    const auto positions = lists_.positions(answer.members_version);
    if (!positions) {
        return;
    }
    if (const auto ages = unpack_ages(answer.ages, positions->size())) {
        if (const auto position = lists_.current().position(answer.peer)) {
            record_reply(*position, answer.sent_at);
        }
        for (std::size_t i = 0; i < ages->size(); ++i) {
            if ((*ages)[i] && (*positions)[i]) {
                record_reply(*(*positions)[i], answer.sent_at - *(*ages)[i]);
            }
        }
    }
    if (answer.members_version != list_.version) {
        return;
    }
    for (const auto position : report.unreachable) {
        if (position < states_.size()) {
            auto& last_report_at = states_[position].last_report_at;
            last_report_at = std::max(last_report_at, answer.sent_at);
        }
    }
    if (settled_) {
        return;
    }
    for (std::size_t i = 0; i < std::min(states_.size(), report.applied.size() * 8); ++i) {
        if ((report.applied[i / 8] >> (i % 8) & 1U) != 0) {
            states_[i].applied_list = true;
        }
    }
    settled_ = report.settled;
    update_settled();
}

void membership::on_exchange_failed(const host_id& peer, time_point now) {
    const auto found = list_.hosts.find(peer);
    if (found == list_.hosts.end()) {
        return;
    }
    if (const auto position = lists_.current().position({peer, found->second.incarnation})) {
        states_[*position].last_failure_at = now;
    }
}

void membership::on_message_received(const host_incarnation& sender, fleet_version members_version,
                                     time_point now) {
    const auto position = lists_.current().position(sender);
    if (!position) {
        return;
    }
    record_alive(*position, now);
    if (members_version >= list_.version) {
        states_[*position].applied_list = true;
        update_settled();
    }
}

void membership::on_change_finished(bool committed, time_point now) {
    if (!change_deadline_) {
        return;
    }
    if (committed) {
        // The new list is applied with the next snapshot.
        return;
    }
    change_deadline_.reset();
    propose_at_ = now + jittered(max_retry_delay);
}

std::vector<membership_action> membership::tick(time_point now) {
    std::vector<membership_action> actions;
    if (!list_known_) {
        return actions;
    }
    add_gossip_exchanges(now, actions);
    add_suspect_probes(now, actions);
    auto change = propose_own_change(now);
    if (!change) {
        change = propose_removal(now);
    }
    if (change) {
        change_deadline_ = now + settings_.change_timeout;
        actions.emplace_back(std::move(*change));
    }
    return actions;
}

list_report membership::report() const {
    list_report report{.settled = settled_};
    if (!settled_) {
        report.applied.resize((states_.size() + 7) / 8);
    }
    const auto own = lists_.current().position(self());
    for (std::size_t i = 0; i < states_.size(); ++i) {
        if (!settled_ && (states_[i].applied_list || own == i)) {
            report.applied[i / 8] |= static_cast<std::uint8_t>(1U << (i % 8));
        }
        if (states_[i].unreachable()) {
            report.unreachable.push_back(static_cast<std::uint16_t>(i));
        }
    }
    return report;
}

void membership::record_removals(const members& list, time_point now) {
    std::erase_if(removals_, [&](const auto& entry) {
        return now - entry.second.last > settings_.flapping_window;
    });
    // A new incarnation counts as a removal: this host may have skipped the list without the
    // member.
    for (const auto& [id, host] : list_.hosts) {
        const auto listed = list.hosts.find(id);
        if (listed == list.hosts.end() || listed->second.incarnation != host.incarnation) {
            auto& history = removals_[id];
            ++history.count;
            history.last = now;
        }
    }
}

void membership::choose_incarnation() {
    // Not zero, so that an unset incarnation matches no process. JSON readers that use doubles keep
    // 53 bits.
    std::uniform_int_distribution<std::uint64_t> choice(1, (std::uint64_t{1} << 53) - 1);
    self_.incarnation = incarnation_number{choice(random_)};
}

void membership::handle_own_removal(time_point now) {
    if (leaving_) {
        return;
    }
    if (list_.hosts.contains(self_.id)) {
        superseded_ = true;
        log.warning("A newer process uses this host id host={}.", self_.id);
        return;
    }
    if (joined_at_ && now - *joined_at_ > settings_.max_rejoin_backoff) {
        rejoin_backoff_ = settings_.min_rejoin_backoff;
    }
    choose_incarnation();
    propose_at_ = now + rejoin_backoff_ / 2 + jittered(rejoin_backoff_ / 2);
    rejoin_backoff_ = std::min(rejoin_backoff_ * 2, settings_.max_rejoin_backoff);
    log.warning("Removed from the member list; rejoining host={} incarnation={}.", self_.id,
                self_.incarnation);
}

void membership::record_alive(std::size_t position, time_point at) {
    states_[position].last_heard_at = std::max(states_[position].last_heard_at, at);
}

void membership::record_reply(std::size_t position, time_point at) {
    record_alive(position, at);
    states_[position].view_known_at = std::max(states_[position].view_known_at, at);
}

void membership::update_settled() {
    const auto own = lists_.current().position(self());
    std::size_t applied = 0;
    for (std::size_t i = 0; i < states_.size(); ++i) {
        applied += states_[i].applied_list || own == i ? 1 : 0;
    }
    settled_ = settled_ || states_.empty() || applied >= acceptance_quorum(states_.size());
}

const member& membership::member_at(std::size_t position) const {
    return list_.hosts.at(lists_.current().hosts[position].id);
}

milliseconds membership::failure_timeout(const host_id& id, time_point now) const {
    const auto found = removals_.find(id);
    if (found == removals_.end() || now - found->second.last > settings_.flapping_window) {
        return settings_.failure_timeout;
    }
    return settings_.failure_timeout * (1U << std::min(found->second.count, max_timeout_doublings));
}

// The time up to which this host knows which members a majority has heard from. A reply that relays
// a member's proof also relays which members that member had heard from by then.
time_point membership::majority_view_known_at(time_point now) const {
    const auto own = lists_.current().position(self());
    std::vector<time_point> known_at;
    known_at.reserve(states_.size());
    for (std::size_t i = 0; i < states_.size(); ++i) {
        known_at.push_back(own == i ? now : states_[i].view_known_at);
    }
    const auto last = known_at.begin() + static_cast<std::ptrdiff_t>(known_at.size() / 2);
    std::nth_element(known_at.begin(), last, known_at.end(), std::greater<>{});
    return *last;
}

std::vector<std::size_t> membership::failed_members(time_point now) const {
    std::vector<std::size_t> failed;
    const auto view_known_at = majority_view_known_at(now);
    if (view_known_at == time_point::min() || now - view_known_at > freshness::window) {
        return failed;
    }
    const auto own = lists_.current().position(self());
    for (std::size_t i = 0; i < states_.size(); ++i) {
        const auto& state = states_[i];
        const auto limit = failure_timeout(lists_.current().hosts[i].id, now);
        if (own != i && state.unreachable() && view_known_at - state.last_seen() >= limit) {
            failed.push_back(i);
        }
    }
    std::sort(failed.begin(), failed.end(), [&](std::size_t left, std::size_t right) {
        return std::pair{states_[left].last_seen(), left} <
               std::pair{states_[right].last_seen(), right};
    });
    return failed;
}

std::optional<std::size_t> membership::reachable_candidates_before_self(time_point now) const {
    std::size_t candidates_before = 0;
    for (const auto& candidate : candidates_) {
        if (candidate == self_.id) {
            return candidates_before;
        }
        candidates_before += reachable(candidate, now) ? 1 : 0;
    }
    return std::nullopt;
}

bool membership::is_steady_state(time_point now) const {
    return states_.size() > settings_.small_fleet_size && store_answered_at_ != time_point::min() &&
           now - store_answered_at_ <= settings_.store_timeout;
}

// In the steady state, few exchanges spread too slowly which members a majority has heard from. The
// candidates that would remove an unreachable member gossip with more peers until they know.
bool membership::needs_fast_exchanges(time_point now) const {
    const auto candidates_before = reachable_candidates_before_self(now);
    if (!is_steady_state(now) || !joined() || !candidates_before || *candidates_before > 1) {
        return false;
    }
    return std::any_of(states_.begin(), states_.end(), [&](const member_state& state) {
        return state.unreachable() && now - state.last_seen() > settings_.failure_timeout;
    });
}

void membership::add_gossip_exchanges(time_point now, std::vector<membership_action>& actions) {
    if (now < next_exchange_) {
        return;
    }
    auto interval = settings_.exchange_interval;
    auto count = is_steady_state(now) ? settings_.steady_exchange_peers : settings_.exchange_peers;
    if (needs_fast_exchanges(now)) {
        interval = settings_.fast_exchange_interval;
        count = settings_.fast_exchange_peers;
    }
    std::uniform_real_distribution<double> variation(0.8, 1.2);
    next_exchange_ = now + std::chrono::duration_cast<duration>(interval * variation(random_));
    std::vector<std::size_t> others;
    others.reserve(states_.size());
    for (std::size_t i = 0; i < states_.size(); ++i) {
        if (lists_.current().hosts[i].id != self_.id) {
            others.push_back(i);
        }
    }
    std::vector<std::size_t> chosen;
    std::sample(others.begin(), others.end(), std::back_inserter(chosen), count, random_);
    for (const auto position : chosen) {
        add_exchange(position, now, actions);
    }
}

// The candidates for a removal first probe the suspected member, so that a member whose heartbeats
// only spread slowly stays listed. The number of concurrent probes grows with the number of members
// that are unreachable or reported by peers.
void membership::add_suspect_probes(time_point now, std::vector<membership_action>& actions) {
    const auto candidates_before = reachable_candidates_before_self(now);
    if (!joined() || !candidates_before || *candidates_before > 1) {
        return;
    }
    const auto view_known_at = majority_view_known_at(now);
    if (view_known_at == time_point::min()) {
        return;
    }
    std::vector<std::size_t> suspects;
    std::size_t in_flight = 0;
    std::size_t limit = min_concurrent_probes;
    for (std::size_t i = 0; i < states_.size(); ++i) {
        const auto& state = states_[i];
        limit += state.reported() || state.unreachable() ? 2 : 0;
        const bool probed = state.last_request_at != time_point::min() &&
                            now - state.last_request_at < settings_.exchange_interval;
        if (lists_.current().hosts[i].id == self_.id ||
            view_known_at - state.last_seen() <= settings_.failure_timeout / 2) {
            continue;
        }
        if (probed) {
            ++in_flight;
        } else {
            suspects.push_back(i);
        }
    }
    limit = std::min(limit, max_concurrent_probes);
    const auto count = std::min(suspects.size(), limit - std::min(limit, in_flight));
    // Members without a failed probe since they were last heard from come first, then those that
    // were heard from least recently.
    std::sort(suspects.begin(), suspects.end(), [&](std::size_t left, std::size_t right) {
        return std::tuple{states_[left].unreachable(), states_[left].last_seen(), left} <
               std::tuple{states_[right].unreachable(), states_[right].last_seen(), right};
    });
    for (std::size_t i = 0; i < count; ++i) {
        add_exchange(suspects[i], now, actions);
    }
}

void membership::add_exchange(std::size_t position, time_point now,
                              std::vector<membership_action>& actions) {
    states_[position].last_request_at = now;
    const auto& peer = member_at(position);
    actions.emplace_back(send_exchange{peer.id, peer.peer_address});
}

bool membership::may_propose(time_point now) const {
    return now >= propose_at_ && (!change_deadline_ || now >= *change_deadline_);
}

std::optional<change_members> membership::propose_own_change(time_point now) {
    if (!may_propose(now) || superseded_) {
        return std::nullopt;
    }
    change_members change{members_change_kind::join, list_.version, list_};
    if (leaving_) {
        if (!joined() || !settled_) {
            return std::nullopt;
        }
        change.kind = members_change_kind::leave;
        change.proposed.hosts.erase(self_.id);
        return change;
    }
    if (joined()) {
        return std::nullopt;
    }
    if (list_.hosts.contains(self_.id)) {
        change.kind = members_change_kind::replace_own_incarnation;
    } else if (!settled_) {
        return std::nullopt;
    }
    change.proposed.hosts[self_.id] = self_;
    return change;
}

std::optional<change_members> membership::propose_removal(time_point now) {
    const auto candidates_before = reachable_candidates_before_self(now);
    if (!joined() || !candidates_before || !settled_ || !may_propose(now)) {
        return std::nullopt;
    }
    auto failed = failed_members(now);
    if (failed.empty()) {
        failure_detected_at_.reset();
        return std::nullopt;
    }
    if (!failure_detected_at_) {
        failure_detected_at_ = now;
    }
    if (now < *failure_detected_at_ + settings_.candidate_delay * *candidates_before) {
        return std::nullopt;
    }
    failed.resize(std::min(failed.size(), removal_limit(states_.size())));
    change_members change{members_change_kind::remove, list_.version, list_};
    for (const auto position : failed) {
        const auto& id = lists_.current().hosts[position].id;
        log.info("Removing a failed member host={} remover={}.", id, self_.id);
        change.proposed.hosts.erase(id);
    }
    MG_INVARIANT(
        "removal_keeps_quorums_intersecting",
        list_.majority() + acceptance_quorum(change.proposed.hosts.size()) > list_.hosts.size(),
        fmt::format("before={} after={}", list_.hosts.size(), change.proposed.hosts.size()));
    return change;
}

milliseconds membership::jittered(milliseconds limit) {
    std::uniform_int_distribution<milliseconds::rep> choice(0, limit.count());
    return milliseconds{choice(random_)};
}

}  // namespace masticgrade
