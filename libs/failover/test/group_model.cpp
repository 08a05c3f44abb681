#include "group_model.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace masticgrade::test {

namespace {

constexpr milliseconds tick_interval{5};

}  // namespace

group_model::group_model(std::uint64_t seed, int instances) : random_(seed) {
    for (int i = 0; i < instances; ++i) {
        instance added;
        added.id = instance_id{fmt::format("i{}", i)};
        instances_.push_back(std::move(added));
    }
    hosts_.resize(host_count);
    for (int i = 0; i < host_count; ++i) {
        hosts_[index(i)].id = host_id{fmt::format("h{}", i)};
    }
    for (int i = 0; i < host_count; ++i) {
        start_host(i);
    }
    measure_gaps();
    schedule(tick_interval, [this] { tick(); });
}

void group_model::measure_gaps() {
    last_acknowledged_.assign(host_count, now_);
    longest_gap_.assign(host_count, duration::zero());
}

void group_model::start_host(int number) {
    auto& started = hosts_[index(number)];
    ++started.epoch;
    started.backlog.clear();
    started.attempt.reset();
    started.pending.clear();
    started.operations.clear();
    started.known_record = {};
    started.detector = std::make_unique<failure_detector>(started.id, failure_detector_settings{});
    std::vector<instance_id> ids;
    for (const auto& known : instances_) {
        ids.push_back(known.id);
    }
    started.writes = std::make_unique<acknowledgement_tracker>(ids);
    std::vector<host_id> monitors;
    for (const auto& monitor : hosts_) {
        monitors.push_back(monitor.id);
    }
    perform(number, started.detector->on_monitors(monitors, now_));
    perform(number, started.detector->on_group(ids, started.known_record, now_));
}

bool group_model::chance(double probability) {
    return std::uniform_real_distribution<>{}(random_) < probability;
}

duration group_model::delay() {
    if (chance(fault_rate_)) {
        return milliseconds{std::uniform_int_distribution<>{10, 3000}(random_)};
    }
    return microseconds{std::uniform_int_distribution<>{200, 2000}(random_)};
}

void group_model::schedule(duration time, std::function<void()> run) {
    events_.push({now_ + time, next_sequence_++, std::move(run)});
}

void group_model::deliver(const std::function<bool()>& reachable,
                          const std::function<void()>& run) {
    const int copies = chance(fault_rate_) ? 0 : chance(fault_rate_) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        schedule(delay(), [reachable, run] {
            if (reachable()) {
                run();
            }
        });
    }
}

void group_model::run_on_host(int number, std::uint64_t epoch, std::function<void()> run) {
    auto& receiver = hosts_[index(number)];
    if (receiver.epoch != epoch) {
        return;
    }
    if (receiver.paused) {
        receiver.backlog.push_back(std::move(run));
    } else {
        run();
    }
}

void group_model::advance(duration time) {
    const auto end = now_ + time;
    while (!events_.empty() && events_.top().at <= end) {
        auto next = events_.top();
        events_.pop();
        now_ = next.at;
        next.run();
    }
    now_ = end;
    check();
}

void group_model::advance_to_promotion(duration limit) {
    const auto end = now_ + limit;
    for (const auto before = promoted_at_.size(); promoted_at_.size() == before && now_ < end;) {
        advance(milliseconds{1});
    }
}

void group_model::tick() {
    for (auto& restarted : instances_) {
        // A restarted instance keeps its term and log, and is sealed until it gets a role.
        if (restarted.previously_down && !restarted.down) {
            restarted.role = instance_role::sealed;
        }
        restarted.previously_down = restarted.down;
    }
    const int count = static_cast<int>(instances_.size());
    for (int from = 0; from < count; ++from) {
        for (int to = 0; to < count; ++to) {
            if (from != to) {
                replicate(from, to);
            }
        }
    }
    for (int i = 0; i < host_count; ++i) {
        if (!hosts_[index(i)].paused) {
            tick_host(i);
        }
        if (chance(0.02)) {
            send_record(i, std::uniform_int_distribution<>{0, host_count - 1}(random_));
        }
    }
    schedule(tick_interval, [this] { tick(); });
}

void group_model::tick_host(int number) {
    auto& ticked = hosts_[index(number)];
    if (now_ >= ticked.detector->next_wakeup()) {
        perform(number, ticked.detector->on_time(now_));
    }
    if (ticked.attempt && now_ >= ticked.attempt->next_wakeup()) {
        handle_promotion_event(number, time_passed{});
    }
    const auto wakeup = ticked.writes->next_wakeup();
    if (wakeup && now_ >= *wakeup) {
        perform(number, ticked.writes->on_time(now_));
    }
    for (auto& [key, op] : ticked.operations) {
        if (!op.awaiting_confirmation && !op.finished && now_ >= op.retry_at) {
            run_operation(number, op);
        }
    }
    if (chance(0.02)) {
        read_store(number);
    }
}

void group_model::replicate(int from, int to) {
    // A sealed primary still sends its log to replicas that have its term. A planned switchover
    // depends on this.
    const auto& primary = instances_[index(from)];
    if (primary.down || primary.isolated || primary.log.empty()) {
        return;
    }
    const auto term = primary.last_term();
    const auto& follower = instances_[index(to)];
    const bool follows = follower.leader == primary.id && follower.term == term;
    if (!follows || follower.role != instance_role::replica || now_ < follower.replication_start ||
        (follower.last_term() == term && follower.log.size() >= primary.log.size())) {
        return;
    }
    const auto sender = primary.id;
    const auto log = std::make_shared<const group_log>(primary.log);
    deliver([this, to] { return !instances_[index(to)].down && !instances_[index(to)].isolated; },
            [this, to, term, sender, log] {
                auto& receiver = instances_[index(to)];
                if (receiver.term == term && receiver.leader == sender &&
                    receiver.role == instance_role::replica) {
                    receive_log(receiver, *log);
                }
            });
}

void group_model::receive_log(instance& follower, const group_log& log) {
    const auto differ =
        std::mismatch(follower.log.begin(), follower.log.end(), log.begin(), log.end());
    const auto common = static_cast<std::size_t>(differ.first - follower.log.begin());
    if (common == log.size() && follower.last_term() == follower.term) {
        return;
    }
    // The transfer may end after any entry.
    const auto length = std::uniform_int_distribution<std::size_t>{common, log.size()}(random_);
    follower.log.assign(log.begin(), log.begin() + static_cast<std::ptrdiff_t>(length));
}

void group_model::on_record(int number, const group_record& record) {
    auto& seeing = hosts_[index(number)];
    if (record.version <= seeing.known_record.version) {
        return;
    }
    seeing.known_record = record;
    std::vector<instance_id> ids;
    for (const auto& known : instances_) {
        ids.push_back(known.id);
    }
    perform(number, seeing.detector->on_group(ids, record, now_));
    handle_promotion_event(number, record_observed{record});
    perform(number,
            record.phase == group_phase::active
                ? seeing.writes->on_term(record.term, record.primary, record.start_position, now_)
                : seeing.writes->on_newer_term(record.term, now_));
}

void group_model::send_record(int from, int to) {
    if (hosts_[index(from)].paused || hosts_[index(from)].isolated) {
        return;
    }
    const auto record = hosts_[index(from)].known_record;
    const auto epoch = hosts_[index(to)].epoch;
    deliver([this, to] { return !hosts_[index(to)].isolated; },
            [=, this] { run_on_host(to, epoch, [=, this] { on_record(to, record); }); });
}

void group_model::check() {
    const int at = primary_index();
    if (at < 0) {
        return;
    }
    const auto& primary = instances_[index(at)];
    std::map<std::string, entry_kind> found;
    for (const auto& entry : primary.log) {
        if (!entry.key.empty() && !found.emplace(entry.key, entry.kind).second) {
            add_violation(fmt::format("key {} ran twice at term {}", entry.key, row_.term));
        }
    }
    const auto expect = [&](const std::set<std::string>& keys, entry_kind kind, const char* what) {
        for (const auto& key : keys) {
            const auto entry = found.find(key);
            if (entry == found.end() || entry->second != kind) {
                add_violation(fmt::format("{} {} is not on primary {} of term {}", what, key,
                                          primary.id, row_.term));
            }
        }
    };
    expect(acknowledged_, entry_kind::execution, "acknowledged write");
    expect(cancelled_, entry_kind::cancellation, "cancellation of");
}

void group_model::check_held_by_majority(const operation& op) {
    const auto holds = [&](const instance& holder) {
        return std::any_of(holder.log.begin(), holder.log.end(),
                           [&](const auto& entry) { return entry.key == op.key; });
    };
    const auto holders = std::count_if(instances_.begin(), instances_.end(), holds);
    if (static_cast<std::size_t>(holders) <= instances_.size() / 2) {
        add_violation(
            fmt::format("{} acknowledged at term {} with {} holders", op.key, op.term, holders));
    }
}

int group_model::primary_index() const {
    if (row_.phase != group_phase::active || row_.primary.empty()) {
        return -1;
    }
    const int at = index_of(row_.primary);
    const auto& primary = instances_[index(at)];
    // A primary that is already sealed for the next term still has the log of this term.
    return primary.last_term() >= row_.term ? at : -1;
}

int group_model::newest_primary() const {
    return promoted_at_.empty() ? 0 : index_of(promoted_at_.rbegin()->second);
}

int group_model::index_of(const instance_id& id) const {
    const auto found = std::find_if(instances_.begin(), instances_.end(),
                                    [&](const auto& known) { return known.id == id; });
    return static_cast<int>(found - instances_.begin());
}

void group_model::set_instance_isolated(int number, bool isolated) {
    instances_[index(number)].isolated = isolated;
    for (int i = 0; i < host_count; ++i) {
        cut_link(i, number, isolated);
    }
}

void group_model::isolate_together(int number, int target) {
    set_instance_isolated(target, true);
    for (int i = 0; i < static_cast<int>(instances_.size()); ++i) {
        cut_link(number, i, i != target);
    }
    set_host_isolated(number, true);
}

void group_model::cut_link(int number, int target, bool cut) {
    auto& links = hosts_[index(number)].cut_links;
    if (cut) {
        links.insert(target);
    } else {
        links.erase(target);
    }
}

void group_model::set_host_paused(int number, bool paused) {
    auto& changed = hosts_[index(number)];
    changed.paused = paused;
    if (!paused) {
        for (const auto& run : std::exchange(changed.backlog, {})) {
            run();
        }
    }
}

void group_model::restart_host(int number) {
    hosts_[index(number)].paused = false;
    start_host(number);
}

void group_model::heal() {
    fault_rate_ = 0;
    store_mode_ = store_mode::up;
    heal_links();
}

void group_model::heal_links() {
    for (auto& healed : instances_) {
        healed.down = false;
        healed.isolated = false;
    }
    for (int i = 0; i < host_count; ++i) {
        hosts_[index(i)].isolated = false;
        hosts_[index(i)].cut_links.clear();
        set_host_paused(i, false);
    }
}

}  // namespace masticgrade::test
