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

/// Hosts that may remove members of one list; with so many, spread over the failure domains, one
/// is reachable unless most of the fleet is lost.
constexpr std::size_t removal_candidates = 16;
/// Silent members that a candidate asks at the same time: few in normal operation, where slow
/// gossip makes some look silent, and enough to check a whole failure domain in a few seconds.
constexpr std::size_t suspects_at_once = 2;
constexpr std::size_t most_suspects_at_once = 32;
/// Doublings of the silence limit of a flapping host: at most 16 s.
constexpr unsigned silence_doublings = 3;
/// Upper bound of the random pause before a change is proposed again after it lost.
constexpr milliseconds retry_pause{400};

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
    return position && now - states_[*position].last_sign() <= settings_.failure_timeout;
}

void membership::on_list_applied(const members& list, time_point now) {
    MG_PRECONDITION(list.version >= list_.version);
    if (list_known_ && list.version == list_.version) {
        return;
    }
    const bool was_joined = joined();
    note_removals(list, now);
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
                                            removal_candidates);
    settled_ = false;
    silent_since_.reset();
    change_deadline_.reset();
    if (was_joined && !joined()) {
        note_own_removal(now);
    } else if (!was_joined && joined()) {
        joined_at_ = now;
        log.info("Joined host={} incarnation={} version={}.", self_.id, self_.incarnation,
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
            add_reply(*position, answer.sent_at);
        }
        for (std::size_t i = 0; i < ages->size(); ++i) {
            if ((*ages)[i] && (*positions)[i]) {
                add_reply(*(*positions)[i], answer.sent_at - *(*ages)[i]);
            }
        }
    }
    if (answer.members_version != list_.version) {
        return;
    }
    for (const auto position : report.unreachable) {
        if (position < states_.size()) {
            auto& reported_at = states_[position].reported_at;
            reported_at = std::max(reported_at, answer.sent_at);
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
        states_[*position].failed_at = now;
    }
}

void membership::on_message_received(const host_incarnation& sender, fleet_version members_version,
                                     time_point now) {
    const auto position = lists_.current().position(sender);
    if (!position) {
        return;
    }
    add_sign(*position, now);
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
        // The new list arrives with the next snapshot.
        return;
    }
    change_deadline_.reset();
    propose_at_ = now + jittered(retry_pause);
}

std::vector<membership_action> membership::tick(time_point now) {
    std::vector<membership_action> actions;
    if (!list_known_) {
        return actions;
    }
    add_random_exchanges(now, actions);
    add_suspect_exchanges(now, actions);
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

void membership::note_removals(const members& list, time_point now) {
    std::erase_if(removals_, [&](const auto& entry) {
        return now - entry.second.last > settings_.flapping_window;
    });
    // A new incarnation counts as well: the list without the host may never have been seen here.
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
    // Never zero, so that an unset incarnation matches no process. 53 bits survive any JSON reader.
    std::uniform_int_distribution<std::uint64_t> choice(1, (std::uint64_t{1} << 53) - 1);
    self_.incarnation = incarnation_number{choice(random_)};
}

void membership::note_own_removal(time_point now) {
    if (leaving_) {
        return;
    }
    if (list_.hosts.contains(self_.id)) {
        superseded_ = true;
        log.warning("A newer process runs under this id host={}.", self_.id);
        return;
    }
    if (joined_at_ && now - *joined_at_ > settings_.max_rejoin_backoff) {
        rejoin_backoff_ = settings_.min_rejoin_backoff;
    }
    choose_incarnation();
    propose_at_ = now + rejoin_backoff_ / 2 + jittered(rejoin_backoff_ / 2);
    rejoin_backoff_ = std::min(rejoin_backoff_ * 2, settings_.max_rejoin_backoff);
    log.warning("Removed from the members; joining again host={} incarnation={}.", self_.id,
                self_.incarnation);
}

void membership::add_sign(std::size_t position, time_point at) {
    states_[position].heard_at = std::max(states_[position].heard_at, at);
}

void membership::add_reply(std::size_t position, time_point at) {
    add_sign(position, at);
    states_[position].told_at = std::max(states_[position].told_at, at);
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
    return settings_.failure_timeout * (1U << std::min(found->second.count, silence_doublings));
}

// The time up to which this host knows what a majority has heard: a reply that relays the proof of
// a member also relays what that member had heard of all others by then.
time_point membership::majority_told_at(time_point now) const {
    const auto own = lists_.current().position(self());
    std::vector<time_point> told;
    told.reserve(states_.size());
    for (std::size_t i = 0; i < states_.size(); ++i) {
        told.push_back(own == i ? now : states_[i].told_at);
    }
    const auto last = told.begin() + static_cast<std::ptrdiff_t>(told.size() / 2);
    std::nth_element(told.begin(), last, told.end(), std::greater<>{});
    return *last;
}

std::vector<std::size_t> membership::silent_members(time_point now) const {
    std::vector<std::size_t> silent;
    const auto told_at = majority_told_at(now);
    if (told_at == time_point::min() || now - told_at > freshness::window) {
        return silent;
    }
    const auto own = lists_.current().position(self());
    for (std::size_t i = 0; i < states_.size(); ++i) {
        const auto& state = states_[i];
        const auto limit = failure_timeout(lists_.current().hosts[i].id, now);
        if (own != i && state.unreachable() && told_at - state.last_sign() >= limit) {
            silent.push_back(i);
        }
    }
    std::sort(silent.begin(), silent.end(), [&](std::size_t left, std::size_t right) {
        return std::pair{states_[left].last_sign(), left} <
               std::pair{states_[right].last_sign(), right};
    });
    return silent;
}

std::optional<std::size_t> membership::reachable_candidates_ahead(time_point now) const {
    std::size_t ahead = 0;
    for (const auto& candidate : candidates_) {
        if (candidate == self_.id) {
            return ahead;
        }
        ahead += reachable(candidate, now) ? 1 : 0;
    }
    return std::nullopt;
}

bool membership::is_calm(time_point now) const {
    return states_.size() > settings_.small_fleet_size && store_answered_at_ != time_point::min() &&
           now - store_answered_at_ <= settings_.store_timeout;
}

// With few exchanges a host learns too slowly what a majority has heard. The hosts that would
// remove a member that they cannot reach ask more peers until they know.
bool membership::is_search_needed(time_point now) const {
    const auto ahead = reachable_candidates_ahead(now);
    if (!is_calm(now) || !joined() || !ahead || *ahead > 1) {
        return false;
    }
    return std::any_of(states_.begin(), states_.end(), [&](const member_state& state) {
        return state.unreachable() && now - state.last_sign() > settings_.failure_timeout;
    });
}

void membership::add_random_exchanges(time_point now, std::vector<membership_action>& actions) {
    if (now < next_exchange_) {
        return;
    }
    auto interval = settings_.exchange_interval;
    auto count = is_calm(now) ? settings_.steady_exchange_peers : settings_.exchange_peers;
    if (is_search_needed(now)) {
        interval = settings_.probe_interval;
        count = settings_.probe_peers;
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

// The hosts that would remove a silent member first ask it themselves, so that a member whose signs
// were merely slow to spread stays. They ask few at a time unless others cannot reach more.
void membership::add_suspect_exchanges(time_point now, std::vector<membership_action>& actions) {
    const auto ahead = reachable_candidates_ahead(now);
    if (!joined() || !ahead || *ahead > 1) {
        return;
    }
    const auto told_at = majority_told_at(now);
    if (told_at == time_point::min()) {
        return;
    }
    std::vector<std::size_t> suspects;
    std::size_t under_way = 0;
    std::size_t limit = suspects_at_once;
    for (std::size_t i = 0; i < states_.size(); ++i) {
        const auto& state = states_[i];
        limit += state.reported() || state.unreachable() ? 2 : 0;
        const bool asked = state.asked_at != time_point::min() &&
                           now - state.asked_at < settings_.exchange_interval;
        if (lists_.current().hosts[i].id == self_.id ||
            told_at - state.last_sign() <= settings_.failure_timeout / 2) {
            continue;
        }
        if (asked) {
            ++under_way;
        } else {
            suspects.push_back(i);
        }
    }
    limit = std::min(limit, most_suspects_at_once);
    const auto count = std::min(suspects.size(), limit - std::min(limit, under_way));
    // Those that were not asked since their last sign come first, then the longest silent.
    std::sort(suspects.begin(), suspects.end(), [&](std::size_t left, std::size_t right) {
        return std::tuple{states_[left].unreachable(), states_[left].last_sign(), left} <
               std::tuple{states_[right].unreachable(), states_[right].last_sign(), right};
    });
    for (std::size_t i = 0; i < count; ++i) {
        add_exchange(suspects[i], now, actions);
    }
}

void membership::add_exchange(std::size_t position, time_point now,
                              std::vector<membership_action>& actions) {
    states_[position].asked_at = now;
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
    const auto ahead = reachable_candidates_ahead(now);
    if (!joined() || !ahead || !settled_ || !may_propose(now)) {
        return std::nullopt;
    }
    auto silent = silent_members(now);
    if (silent.empty()) {
        silent_since_.reset();
        return std::nullopt;
    }
    if (!silent_since_) {
        silent_since_ = now;
    }
    if (now < *silent_since_ + settings_.candidate_delay * *ahead) {
        return std::nullopt;
    }
    silent.resize(std::min(silent.size(), removal_limit(states_.size())));
    change_members change{members_change_kind::remove, list_.version, list_};
    for (const auto position : silent) {
        const auto& id = lists_.current().hosts[position].id;
        log.info("Removing a silent member host={} remover={}.", id, self_.id);
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
