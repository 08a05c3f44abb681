/// Runs one scenario of real edge processes against stand-ins: a fixed order of faults round the
/// crash of a primary, each begun by what is observed. Ends with code 1 when a promotion loses an
/// acknowledged write or the group does not serve again.

#include <algorithm>
#include <boost/program_options.hpp>
#include <csignal>
#include <deque>
#include <iostream>

#include "host_fleet.hpp"
#include "soak_caller.hpp"
#include "soak_world.hpp"

using namespace masticgrade;
using namespace masticgrade::soak;

namespace {

namespace po = boost::program_options;

constexpr std::size_t host_count = 4;
constexpr std::size_t caller_count = 16;
/// Commits follow each other within a few milliseconds.
constexpr std::size_t many_callers = 48;
/// Writes that must be in some logs only before the primary crashes.
constexpr std::size_t newest_writes = 20;
/// As many as the users saw lost by each promotion.
constexpr std::size_t last_writes = 2;
constexpr milliseconds delayed_answers{500};
/// Hosts without a reason to wait have promoted an instance by then.
constexpr seconds promotion_opportunity{10};
/// An entry that is gone is out of all hosts' lists by then, and its instance out of their records
/// if they remove it at all.
constexpr seconds removal_opportunity{7};
constexpr milliseconds log_transfer{500};
/// All hosts have read a new entry by then.
constexpr milliseconds entry_update{1000};
constexpr seconds never_listed{600};
/// The platform carries out a promotion call without an answer this late.
constexpr milliseconds late_call{8000};
/// Times of the users' runs: a target crashes this long after the call for it, and starts again
/// empty after a while.
constexpr milliseconds target_crash{11};
constexpr milliseconds target_restart{400};
/// Far longer than the lifetime of entries.
constexpr seconds long_transfer{10};
constexpr milliseconds open_commits{300};

const std::vector<soak_customer> customers{{"parish", "key-of-the-parish", 300, 300, false},
                                           {"council", "key-of-the-council", 100, 100, false}};

class scenario {
public:
    scenario(std::uint64_t seed, const std::string& edge, const std::string& logs,
             std::size_t callers, std::size_t calling_hosts, store_fault fault)
        : hosts_(edge, logs, host_count, configured(world_, fault)) {
        for (std::size_t i = 0; i < callers; ++i) {
            const auto& customer = customers[i % customers.size()];
            callers_.emplace_back(
                caller_settings{customer.name + "-" + std::to_string(i), customer.key,
                                [this](std::size_t index) { return hosts_.port(index); },
                                calling_hosts, 10, seed + i, &world_.sent(), false});
        }
        await("service at the start", [&] { return served() > 10 * callers; });
        primary_ = world_.primary().value_or(0);
        deaf_ = (primary_ + 1) % 3;
        newest_ = (primary_ + 2) % 3;
    }

    soak_world& world() { return world_; }
    host_fleet& hosts() { return hosts_; }
    [[nodiscard]] std::size_t primary() const { return primary_; }
    /// The replica that misses the newest commits.
    [[nodiscard]] std::size_t deaf() const { return deaf_; }
    /// The replica that has them besides the primary.
    [[nodiscard]] std::size_t newest() const { return newest_; }

    void await(const std::string& what, const std::function<bool()>& condition) {
        std::cout << "waits: " << what << std::endl;
        if (!wait_until(condition)) {
            std::cerr << "violation: not seen: " << what << std::endl;
            failed_ = true;
        }
    }
    static void pause(duration length) { std::this_thread::sleep_for(length); }

    /// From now on only the primary and the newest replica receive; returns when callers know of
    /// enough writes that the other replica lacks.
    void write_without_deaf_replica() {
        deaf_since_ = steady_clock::now();
        world_.set_deaf(deaf_, true);
        await("writes that only the primary and the newest replica have",
              [&] { return world_.missing_writes(deaf_) >= newest_writes; });
    }
    /// From now on only the primary and a replica that has joined receive.
    void write_with_joined_replica_only(std::size_t joined) {
        await("all writes in the log of the new replica",
              [&] { return world_.missing_writes(joined) == 0; });
        deaf_since_ = steady_clock::now();
        world_.set_deaf(deaf_, true);
        world_.set_deaf(newest_, true);
        await("writes that only the primary and the new replica have", [&] {
            return world_.missing_writes(deaf_) >= newest_writes &&
                   world_.missing_writes(newest_) >= newest_writes;
        });
    }
    /// The same, with very few such writes. Answers are delayed, so that no host has sent a write
    /// after it had seen a position which the deaf replica lacks.
    void write_last_without_deaf_replica() {
        for (const auto instance : {primary_, deaf_, newest_}) {
            world_.set_instance_link(instance, link_fault::delay);
        }
        pause(delayed_answers);
        world_.stop_receiving_after(deaf_, last_writes);
        await("the last writes, which only the primary and the newest replica have",
              [&] { return world_.has_stopped_receiving(); });
        pause(delayed_answers);
        for (const auto instance : {deaf_, newest_}) {
            world_.set_instance_link(instance, link_fault::none);
        }
    }
    /// Hosts that have acknowledged a write that the deaf replica lacks.
    [[nodiscard]] std::set<std::size_t> hosts_that_know() {
        return world_.sent().acknowledging_hosts(deaf_since_);
    }
    /// Gives the hosts the time to promote an instance; the old primary returns with its log and
    /// the group must serve, whether they have or not.
    void return_primary_after_opportunity() {
        world_.set_deaf(deaf_, false);
        const auto before = world_.promotions();
        const auto end = steady_clock::now() + promotion_opportunity;
        while (steady_clock::now() < end && world_.promotions() == before) {
            pause(milliseconds{20});
        }
        std::cout << "promotions before the return of the primary: " << world_.promotions() - before
                  << std::endl;
        world_.restart_instances();
        await_service("service after the return of the primary");
    }
    void await_service(const std::string& what) {
        const auto before = served();
        await(what, [&] { return served() > before + 10 * callers_.size(); });
    }

    /// Whether the run passed. Precondition: called once.
    bool finish() {
        world_.end_all_faults();
        await_service("service after all faults");
        for (auto& caller : callers_) {
            caller.stop();
            failed_ = failed_ || !caller.violations().empty();
        }
        callers_.clear();
        world_.check_acknowledged();
        return !failed_ && world_.violations().empty();
    }

private:
    static const soak_world& configured(soak_world& world, store_fault fault) {
        world.set_store_fault(fault);
        world.configure(customers);
        return world;
    }
    [[nodiscard]] std::size_t served() const {
        std::size_t sum = 0;
        for (const auto& caller : callers_) {
            sum += caller.served();
        }
        return sum;
    }

    soak_world world_{host_count};
    host_fleet hosts_;
    std::deque<soak_caller> callers_;
    std::size_t primary_ = 0;
    std::size_t deaf_ = 1;
    std::size_t newest_ = 2;
    time_point deaf_since_{};
    bool failed_ = false;
};

void cut_off_newest_replica(scenario& run) {
    run.world().set_cut_off(run.newest(), true);
    run.await("the end of its entry", [&] { return !run.world().is_listed(run.newest()); });
    scenario::pause(removal_opportunity);
    run.write_without_deaf_replica();
}

// Guards against hosts that take a replica for gone while it still receives.
void replica_cut_off(scenario& run) {
    cut_off_newest_replica(run);
    run.world().crash_primary();
    run.return_primary_after_opportunity();
}

// Guards against a decision that is safe only while the hosts live that acknowledged the commits.
void replica_cut_off_hosts_killed(scenario& run) {
    cut_off_newest_replica(run);
    run.hosts().kill_with_primary(run.hosts_that_know(), run.world());
    run.return_primary_after_opportunity();
}

// Guards against hosts that count the empty log of a new process as the log of the old one.
void replica_restarted_empty(scenario& run) {
    run.write_without_deaf_replica();
    run.world().crash_primary();
    run.world().restart_empty(run.newest(), log_transfer);
    run.return_primary_after_opportunity();
}

// The same, without the hosts that remember the acknowledgements.
void replica_restarted_empty_hosts_killed(scenario& run) {
    run.write_without_deaf_replica();
    run.hosts().kill_with_primary(run.hosts_that_know(), run.world());
    run.world().restart_empty(run.newest(), log_transfer);
    run.return_primary_after_opportunity();
}

// Guards against hosts that take the start in an old entry for that of the process that answers.
void replica_restarted_empty_entry_late(scenario& run) {
    run.write_without_deaf_replica();
    run.hosts().kill_with_primary(run.hosts_that_know(), run.world());
    run.world().restart_empty(run.newest(), log_transfer, never_listed);
    run.return_primary_after_opportunity();
}

// Guards against hosts that take a record of log holders which was never complete for all of them.
void log_holders_not_recorded(scenario& run) {
    cut_off_newest_replica(run);
    run.hosts().kill_with_primary(run.hosts_that_know(), run.world());
    run.world().set_store_fault(store_fault::none);
    run.return_primary_after_opportunity();
}

void replace_newest_replica(scenario& run) {
    run.world().set_draining(run.newest(), true);
    run.await_service("service while a replica drains");
    run.world().replace(run.newest(), log_transfer, never_listed);
    run.await("all writes in the log of the successor",
              [&] { return run.world().missing_writes(run.newest()) == 0; });
    scenario::pause(removal_opportunity);
    run.write_without_deaf_replica();
}

// Guards against hosts that ignore the successor of an instance that has ended.
void successor_not_listed(scenario& run) {
    replace_newest_replica(run);
    run.world().crash_primary();
    run.return_primary_after_opportunity();
}

// The same, without the hosts that remember the acknowledgements.
void successor_not_listed_hosts_killed(scenario& run) {
    replace_newest_replica(run);
    run.hosts().kill_with_primary(run.hosts_that_know(), run.world());
    run.return_primary_after_opportunity();
}

/// The primary crashes, and the target starts again empty when the first call for it arrives.
void restart_target(scenario& run, promotion_fault fault) {
    run.world().set_promotion_fault(fault, late_call);
    run.world().crash_primary();
    run.await("a promotion call", [&] { return !run.world().promotion_calls().empty(); });
    run.world().restart_empty(run.world().promotion_calls().front(), log_transfer);
    run.world().set_promotion_fault(promotion_fault::none, {});
    run.return_primary_after_opportunity();
}

// Guards against a call that is repeated for a target that has started again since it was chosen.
void target_restarted_before_repeated_call(scenario& run) {
    restart_target(run, promotion_fault::lost);
}

// Guards against a call without an answer that is carried out although its target has started
// again, because no call with a higher fence has made the platform refuse it.
void target_restarted_before_late_call(scenario& run) {
    restart_target(run, promotion_fault::late);
    scenario::pause(late_call);
}

// Guards against a group that waits for ever for a replica that is gone for good.
void replica_gone_for_good(scenario& run) {
    run.world().set_cut_off(run.deaf(), true);
    run.world().crash_instance(run.deaf());
    run.await("the end of its entry", [&] { return !run.world().is_listed(run.deaf()); });
    scenario::pause(removal_opportunity);
    run.await_service("service with one replica");
    const auto started = steady_clock::now();
    run.world().crash_primary();
    run.await("a promotion", [&] { return run.world().promotions() > 0; });
    std::cout << "promoted after "
              << std::chrono::duration_cast<milliseconds>(steady_clock::now() - started).count()
              << " ms" << std::endl;
    run.world().restart_instances();
    run.await_service("service of the promoted replica");
}

/// A replica crashes, then the primary; the other replica lacks the newest writes. Both are back
/// with their logs under new ids, the primary before any other instance may be promoted.
void return_renamed(scenario& run, bool kills_hosts) {
    run.write_without_deaf_replica();
    run.world().crash_instance(run.newest());
    if (kills_hosts) {
        run.hosts().kill_with_primary(run.hosts_that_know(), run.world());
    } else {
        run.world().crash_primary();
    }
    run.world().set_deaf(run.deaf(), false);
    run.world().restart_renamed(run.newest());
    scenario::pause(promotion_opportunity);
    run.world().restart_renamed(run.primary());
    run.await_service("service of the instances under new ids");
}

// Guards against hosts that do not take back a primary and a replica under new ids, or promote the
// replica that lacks writes before.
void instances_returned_renamed(scenario& run) { return_renamed(run, false); }

// The same, without the hosts that remember the acknowledgements.
void instances_returned_renamed_hosts_killed(scenario& run) { return_renamed(run, true); }

// Guards against a group that never serves again after its primary has ended for good and a replica
// with all writes has crashed and returned under another id.
void primary_gone_replica_returned_renamed(scenario& run) {
    run.world().crash_instance(run.newest());
    run.world().crash_primary();
    run.world().restart_renamed(run.newest());
    run.await("a promotion", [&] { return run.world().promotions() > 0; });
    run.await_service("service without the old primary");
}

// Guards against an attempt that steps down a primary which has returned with its log meanwhile,
// and then promotes nobody for ever. The newest replica can't be held before the primary is back,
// and has a new id; the hosts have no memory.
void primary_returned_during_failover(scenario& run) {
    run.world().crash_instance(run.newest());
    run.hosts().kill_with_primary({0, 1, 2, 3}, run.world());
    run.world().restart_instance(run.newest());
    run.world().set_instance_link(run.newest(), link_fault::refuse);
    run.await("a held replica", [&] { return run.world().is_held(run.deaf()); });
    run.world().restart_instance(run.primary());
    scenario::pause(entry_update);
    run.world().set_instance_link(run.newest(), link_fault::none);
    scenario::pause(promotion_opportunity);
    run.await_service("service after the return of the primary");
}

/// The target of the only possible promotion crashes 11 ms after the call and is empty when the
/// call takes effect. The other replica lacks the newest writes.
void restart_target_of_late_call(scenario& run, milliseconds effect) {
    run.write_without_deaf_replica();
    run.world().set_promotion_fault(promotion_fault::late, target_crash + target_restart + effect);
    run.world().restart_next_target_empty(target_crash, target_restart);
    run.world().crash_primary();
    run.await("a promotion call", [&] { return !run.world().promotion_calls().empty(); });
    run.world().set_promotion_fault(promotion_fault::none, {});
    run.await("the end of the late call", [&] { return run.world().pending_promotions() == 0; });
    run.return_primary_after_opportunity();
}

// Guards against a call without an answer that takes effect during its attempt, when its target
// has started again empty.
void late_call_target_restarts_empty(scenario& run) {
    restart_target_of_late_call(run, milliseconds{1900});
}

// Guards against a call without an answer that takes effect when its attempt has ended and no
// other replica may be promoted.
void late_call_target_restarts_empty_attempt_ended(scenario& run) {
    restart_target_of_late_call(run, milliseconds{9500});
}

// Guards against hosts that use a primary which says that it leads and has lost its log.
void promoted_target_restarts_empty(scenario& run) {
    const auto old_primary = run.primary();
    run.world().crash_primary();
    run.await("a promotion", [&] { return run.world().promotions() > 0; });
    scenario::pause(seconds{1});
    const auto target = run.world().crash_primary().value_or(run.newest());
    scenario::pause(milliseconds{200});
    run.world().restart_primary_empty(target);
    scenario::pause(promotion_opportunity);
    run.world().restart_instance(old_primary);
    run.await_service("service after the return of the old primary");
}

/// The newest replica ends, and its heir gets a part of its log.
void begin_transfer_to_heir(scenario& run) {
    run.world().replace(run.newest(), long_transfer, milliseconds{0});
    run.await("a part of the log", [&] { return run.world().log_size(run.newest()) > 0; });
    run.await("the entry of the heir", [&] { return run.world().is_listed(run.newest()); });
}

/// The primary crashes during the transfer.
void crash_primary_during_transfer(scenario& run, bool kills_hosts) {
    run.write_without_deaf_replica();
    const auto knowing = run.hosts_that_know();
    begin_transfer_to_heir(run);
    if (kills_hosts) {
        run.hosts().kill_with_primary(knowing, run.world());
    } else {
        run.world().crash_primary();
    }
    run.return_primary_after_opportunity();
}

// Guards against hosts that take the part of a log which an heir has for the whole log; the other
// replica receives and is cut off from the store and the hosts.
void transfer_stopped_by_hold(scenario& run) {
    run.world().set_cut_off(run.deaf(), true);
    begin_transfer_to_heir(run);
    run.world().crash_primary();
    run.return_primary_after_opportunity();
}

// The same; the other replica lacks the newest writes.
void transfer_stopped_by_hold_other_behind(scenario& run) {
    crash_primary_during_transfer(run, false);
}

// The same, without the hosts that remember the acknowledgements.
void transfer_stopped_by_hold_hosts_killed(scenario& run) {
    crash_primary_during_transfer(run, true);
}

// The same; only the last two writes are missing, and all hosts live.
void transfer_stopped_by_hold_last_writes(scenario& run) {
    run.write_last_without_deaf_replica();
    begin_transfer_to_heir(run);
    run.world().crash_primary();
    run.return_primary_after_opportunity();
}

/// The entries of the instances outlive their processes, and the newest replica is empty.
void restart_empty_behind_entry(scenario& run, bool kills_hosts) {
    run.write_without_deaf_replica();
    run.world().set_entries_frozen(true);
    if (kills_hosts) {
        run.hosts().kill_with_primary(run.hosts_that_know(), run.world());
    } else {
        run.world().crash_primary();
    }
    run.world().restart_empty(run.newest(), log_transfer);
    scenario::pause(removal_opportunity);
    run.world().set_entries_frozen(false);
    run.return_primary_after_opportunity();
}

// Guards against hosts that take an entry for proof that its process still runs, when the entry
// has outlived the process for longer than the lifetime of entries.
void entry_outlives_process(scenario& run) { restart_empty_behind_entry(run, false); }

// The same, without the hosts that remember the acknowledgements.
void entry_outlives_process_hosts_killed(scenario& run) { restart_empty_behind_entry(run, true); }

// The same; only the last two writes are missing, and all hosts live.
void entry_outlives_process_last_writes(scenario& run) {
    run.write_last_without_deaf_replica();
    run.world().set_entries_frozen(true);
    run.world().crash_primary();
    run.world().set_deaf(run.newest(), false);
    run.world().restart_empty(run.newest(), log_transfer);
    scenario::pause(removal_opportunity);
    run.world().set_entries_frozen(false);
    run.return_primary_after_opportunity();
}

// Guards against a resume of an earlier attempt that takes effect while this attempt relies on its
// hold: a replica other than the target then receives commits which the target lacks.
void resume_carried_out_late(scenario& run) {
    // Of logs of the same length, hosts promote the first one.
    const auto target = std::min(run.deaf(), run.newest());
    const auto other = std::max(run.deaf(), run.newest());
    run.world().hold_back_resumes(other);
    run.world().set_instance_link(target, link_fault::refuse);
    // Commits of the primary stay open until a replica receives them.
    run.world().set_deaf(target, true);
    run.world().set_deaf(other, true);
    scenario::pause(open_commits);
    run.world().set_instance_link(run.primary(), link_fault::cut);
    run.await("a held replica", [&] { return run.world().is_held(other); });
    run.world().set_deaf(other, false);
    run.await("a resume", [&] { return run.world().resumes_held_back() > 0; });
    run.world().set_instance_link(target, link_fault::none);
    run.await("the held target", [&] { return run.world().is_held(target); });
    run.world().set_deaf(target, false);
    run.await("a promotion call", [&] { return !run.world().promotion_calls().empty(); });
    std::cout << "resumes carried out late: " << run.world().carry_out_resumes() << std::endl;
    run.await("the end of the call", [&] { return run.world().pending_promotions() == 0; });
    run.world().set_instance_link(run.primary(), link_fault::none);
    run.await_service("service when the primary is reached again");
}

// Guards against hosts that rely on a replica which no record of log holders names: it joins while
// the record can't be written, and alone receives the newest writes.
void replica_joins_unrecorded(scenario& run) {
    run.world().set_store_fault(store_fault::refuse_group_rows);
    const auto joined = run.world().join(log_transfer, milliseconds{0});
    run.await("the entry of the new replica", [&] { return run.world().is_listed(joined); });
    scenario::pause(entry_update);
    run.world().set_cut_off(joined, true);
    run.await("the end of its entry", [&] { return !run.world().is_listed(joined); });
    run.world().set_deaf(run.deaf(), true);
    run.world().set_deaf(run.newest(), true);
    // Hosts may refuse writes meanwhile.
    scenario::pause(seconds{2});
    run.hosts().kill_with_primary({0, 1, 2, 3}, run.world());
    run.world().set_store_fault(store_fault::none);
    run.world().set_deaf(run.newest(), false);
    run.return_primary_after_opportunity();
}

/// A replica joins and crashes with the primary before its first entry.
void crash_unlisted_replica(scenario& run, const std::function<void()>& kill_hosts) {
    const auto joined = run.world().join(log_transfer, never_listed);
    run.write_with_joined_replica_only(joined);
    run.world().crash_instance(joined);
    kill_hosts();
    run.world().set_deaf(run.newest(), false);
    run.return_primary_after_opportunity();
}

// Guards against hosts that take all recorded logs for all logs: the newest writes are on the
// primary and on a replica that no host has heard of.
void joined_replica_never_listed(scenario& run) {
    crash_unlisted_replica(run, [&] { run.world().crash_primary(); });
}

// The same, without the hosts that remember the acknowledgements.
void joined_replica_never_listed_hosts_killed(scenario& run) {
    crash_unlisted_replica(
        run, [&] { run.hosts().kill_with_primary(run.hosts_that_know(), run.world()); });
}

// The same, without any host that has seen a position.
void joined_replica_never_listed_all_hosts_killed(scenario& run) {
    crash_unlisted_replica(run, [&] { run.hosts().kill_with_primary({0, 1, 2, 3}, run.world()); });
}

// Guards against hosts that count the log of a replica which has left with the newest writes.
void draining_replica_gone_for_good_hosts_killed(scenario& run) {
    run.world().set_draining(run.newest(), true);
    run.write_without_deaf_replica();
    run.world().crash_instance(run.newest());
    run.hosts().kill_with_primary(run.hosts_that_know(), run.world());
    run.world().set_deaf(run.deaf(), false);
    scenario::pause(promotion_opportunity);
    run.world().restart_instance(run.primary());
    run.await_service("service after the return of the primary");
}

// Guards against a group that never serves again although its last primary runs with its log: it
// has stepped down, and nobody remembers what was acknowledged.
void primary_stepped_down_hosts_killed(scenario& run) {
    run.world().set_promotion_fault(promotion_fault::lost, {});
    run.world().set_draining(run.primary(), true);
    run.await("a promotion call", [&] { return !run.world().promotion_calls().empty(); });
    for (std::size_t host = 0; host < host_count; ++host) {
        run.hosts().kill(host);
    }
    run.world().set_promotion_fault(promotion_fault::none, {});
    run.await_service("service after the hosts have started again");
}

struct scenario_entry {
    std::function<void(scenario&)> body;
    /// The number of hosts that callers use.
    std::size_t calling_hosts = host_count;
    /// Of the store, before the hosts start.
    store_fault first_fault = store_fault::none;
    std::size_t callers = caller_count;
};

const std::map<std::string, scenario_entry> scenarios{
    {"replica_cut_off", {replica_cut_off}},
    {"replica_cut_off_hosts_killed", {replica_cut_off_hosts_killed}},
    {"replica_cut_off_calling_hosts_killed", {replica_cut_off_hosts_killed, 2}},
    {"replica_restarted_empty", {replica_restarted_empty}},
    {"replica_restarted_empty_hosts_killed", {replica_restarted_empty_hosts_killed}},
    {"replica_restarted_empty_entry_late", {replica_restarted_empty_entry_late}},
    {"log_holders_not_recorded",
     {log_holders_not_recorded, host_count, store_fault::refuse_group_rows}},
    {"successor_not_listed", {successor_not_listed}},
    {"successor_not_listed_hosts_killed", {successor_not_listed_hosts_killed}},
    {"target_restarted_before_repeated_call", {target_restarted_before_repeated_call}},
    {"target_restarted_before_late_call", {target_restarted_before_late_call}},
    {"replica_gone_for_good", {replica_gone_for_good}},
    {"instances_returned_renamed", {instances_returned_renamed}},
    {"instances_returned_renamed_hosts_killed", {instances_returned_renamed_hosts_killed}},
    {"primary_returned_during_failover", {primary_returned_during_failover}},
    {"primary_gone_replica_returned_renamed", {primary_gone_replica_returned_renamed}},
    {"late_call_target_restarts_empty", {late_call_target_restarts_empty}},
    {"late_call_target_restarts_empty_attempt_ended",
     {late_call_target_restarts_empty_attempt_ended}},
    {"promoted_target_restarts_empty", {promoted_target_restarts_empty}},
    {"transfer_stopped_by_hold", {transfer_stopped_by_hold}},
    {"transfer_stopped_by_hold_other_behind", {transfer_stopped_by_hold_other_behind}},
    {"transfer_stopped_by_hold_hosts_killed", {transfer_stopped_by_hold_hosts_killed}},
    {"transfer_stopped_by_hold_last_writes",
     {transfer_stopped_by_hold_last_writes, host_count, store_fault::none, many_callers}},
    {"entry_outlives_process", {entry_outlives_process}},
    {"entry_outlives_process_last_writes",
     {entry_outlives_process_last_writes, host_count, store_fault::none, many_callers}},
    {"entry_outlives_process_hosts_killed", {entry_outlives_process_hosts_killed}},
    {"resume_carried_out_late", {resume_carried_out_late}},
    {"replica_joins_unrecorded", {replica_joins_unrecorded}},
    {"joined_replica_never_listed", {joined_replica_never_listed}},
    {"joined_replica_never_listed_hosts_killed", {joined_replica_never_listed_hosts_killed}},
    {"joined_replica_never_listed_all_hosts_killed",
     {joined_replica_never_listed_all_hosts_killed}},
    {"draining_replica_gone_for_good_hosts_killed", {draining_replica_gone_for_good_hosts_killed}},
    {"primary_stepped_down_hosts_killed", {primary_stepped_down_hosts_killed}},
};

}  // namespace

int main(int count, char** arguments) {
    std::signal(SIGPIPE, SIG_IGN);
    std::string name;
    std::string edge = MG_EDGE;
    std::string logs = "scenario-logs";
    std::uint64_t seed = 1;
    po::options_description flags{"promotion_scenario"};
    flags.add_options()("help", "print this text")("scenario", po::value(&name)->required(),
                                                   "name of the scenario")("seed", po::value(&seed),
                                                                           "seed of the callers")(
        "edge", po::value(&edge), "edge program of the hosts")("logs", po::value(&logs),
                                                               "folder for settings and logs");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(count, arguments, flags), values);
        if (values.contains("help")) {
            std::cout << flags;
            return 0;
        }
        po::notify(values);
        const auto& entry = scenarios.at(name);
        scenario run{seed, edge, logs, entry.callers, entry.calling_hosts, entry.first_fault};
        entry.body(run);
        const bool passed = run.finish();
        std::cout << name << " seed " << seed << (passed ? " passed" : " FAILED")
                  << ": promotions=" << run.world().promotions()
                  << " statements=" << run.world().statements() << std::endl;
        return passed ? 0 : 1;
    } catch (const std::exception& failure) {
        std::cerr << "promotion_scenario: " << failure.what() << std::endl;
        return 2;
    }
}
