#include <doctest/doctest.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <thread>

#include "fakes.hpp"
#include "group_failover.hpp"
#include "local_group.hpp"

using namespace masticgrade;
using namespace masticgrade::test;

namespace {

const group_id group_name{"ledger"};
const std::string lock_row = "failover/ledger";
/// Of the entries in the directory, which the fakes remove at once.
constexpr milliseconds entry_lifetime{400};

log_index first_term(std::uint64_t number) { return {term_number{1}, log_position{number}}; }

/// A host that has confirmed the failover, and had read the primary's position before.
host_acknowledgements confirmation(const char* host, acknowledged_bounds bounds) {
    return {host_id{host}, boot_time{}, bounds, dated_position{boot_clock::now(), first_term(9)}};
}

/// The announcement of a failover that this number of hosts, last heard then, does not confirm.
failover_announcement unanswered(std::size_t hosts, boot_time heard_at) {
    failover_announcement result;
    for (std::size_t i = 0; i < hosts; ++i) {
        result.unconfirmed.emplace(host_id{"silent-" + std::to_string(i)}, heard_at);
    }
    return result;
}

/// The confirmation of a host that has read the primary's position and acknowledged nothing since.
host_acknowledgements position_told(log_index position) {
    auto result = confirmation("host-2", {});
    result.newest_proof = dated_position{boot_clock::now(), position};
    return result;
}

failover_record record_of(std::set<log_holder> holders = {}) {
    failover_record result;
    result.log_holders = std::move(holders);
    return result;
}

/// Runs the failover of a group without a primary and with the replicas "b" and "c" on one host.
class failover_fixture {
public:
    failover_fixture() : failover_fixture(std::make_shared<fake_store>()) {}
    /// A host that starts with the given store.
    explicit failover_fixture(std::shared_ptr<fake_store> present_store)
        : store_(std::move(present_store)), store(*store_) {
        connector.add("b", false).position = 10;
        connector.add("c", false).position = 12;
        group_settings_.name = group_name;
        group_settings_.max_connections = 20;
        auto environment = make_local_environment(context_.get_executor(), connector, metrics);
        group = std::make_shared<backend_group>(group_name, std::move(environment));
        prove_leadership(*group);
        if (store.value_of(lock_row).empty()) {
            const auto recorded = record_of({holder_of("b"), holder_of("c")});
            store.put(lock_row, encode_failover_row(recorded, host_id{"host-2"}));
        }
        update();
    }

    void update() { group->update(group_settings_, connector.entries(), {}); }
    void set_sync_replicas(unsigned number) {
        group_settings_.sync_replicas = number;
        update();
    }

    /// Replaces the hosts by one that knows only what the directory and the failover row tell.
    void restart_host() {
        confirmations.clear();
        auto environment = make_local_environment(context_.get_executor(), connector, metrics);
        group = std::make_shared<backend_group>(group_name, std::move(environment));
        const auto row =
            decode_failover_row({lock_row, fleet_version{1}, store.value_of(lock_row)});
        group->on_failover_row(row.record, boot_clock::now());
        update();
    }

    /// Records the log holders and replaces the host by one that knows nothing else.
    void record_log_holders(const std::set<log_holder>& holders,
                            const std::map<log_holder, log_index>& bounds = {}) {
        auto recorded = record_of(holders);
        recorded.log_bounds = bounds;
        store.put(lock_row, encode_failover_row(recorded, host_id{"host-2"}));
        restart_host();
    }

    /// Records the primary and replaces the host by one that knows nothing else.
    void record_primary(const recorded_primary& primary) {
        failover_record recorded;
        recorded.primary = primary;
        store.put(lock_row, encode_failover_row(recorded, host_id{"host-2"}));
        restart_host();
    }

    /// The instance crashes and its entry lapses.
    void lose(const std::string& name) {
        connector.at(name).refuses_connections = true;
        connector.at(name).is_listed = false;
    }

    /// Whether an attempt has been refused for this reason.
    [[nodiscard]] bool has_refused(const std::string& reason) {
        const auto counter = "masticgrade_promotions_refused_total{kind=\"" + reason + "\"}";
        return metrics.scrape().find(counter) != std::string::npos;
    }

    /// Runs the failover for at least one attempt that ends without a promotion.
    void run_without_promotion() {
        unsigned checks = 0;
        run_until([&] { return ++checks > 200 || !promotions.orders.empty(); });
        CHECK(promotions.orders.empty());
    }

    /// Runs the failover until `done` returns true, for at most 10 s.
    void run_until(const std::function<bool()>& done) {
        failover_environment environment{
            context_.get_executor(),
            host_id{"host-1"},
            store,
            promotions,
            connector,
            metrics,
            [] { return std::vector{host_id{"host-1"}}; },
            [this] { return read_directory(); },
            [this](const group_id&, const instance_entry&) { return ask_others(); },
            [this](const group_id&, std::uint64_t) { return announce(); },
            [](const group_id&, std::uint64_t) {},
            {},
            entry_lifetime,
            entries};
        auto failover = std::make_shared<group_failover>(group, std::move(environment));
        boost::asio::co_spawn(context_, failover->run(), boost::asio::detached);
        const auto deadline = steady_clock::now() + seconds{10};
        context_.restart();
        while (!done() && steady_clock::now() < deadline) {
            context_.run_for(milliseconds{20});
        }
        failover->stop();
        context_.run_for(milliseconds{200});
        // A later run stands for another process, so that this one must not act beside it.
        const auto end = steady_clock::now() + seconds{2};
        while (failover->is_promoting() && steady_clock::now() < end) {
            context_.run_for(milliseconds{20});
        }
    }

private:
    std::shared_ptr<fake_store> store_;

public:
    fake_connector connector;
    fake_store& store;
    fake_promotions promotions{connector};
    gateway_metrics metrics;
    std::shared_ptr<backend_group> group;
    std::function<void()> on_directory_read = [] {};
    entry_history entries{entry_lifetime};
    /// Other hosts that don't confirm that they stopped using the primary.
    std::size_t silent_hosts = 0;
    /// The answers of those that confirm.
    std::vector<host_acknowledgements> confirmations{position_told(first_term(9))};

private:
    boost::asio::awaitable<failover_announcement> announce() {
        auto told = unanswered(silent_hosts, boot_clock::now());
        told.confirmed = confirmations;
        co_return told;
    }
    boost::asio::awaitable<primary_replies> ask_others() { co_return primary_replies{}; }

    boost::asio::awaitable<void> read_directory() {
        on_directory_read();
        update();
        entries.on_read(connector.entries(), boot_clock::now());
        co_return;
    }

    boost::asio::io_context context_{1};
    group_settings group_settings_;
};

}  // namespace

// A group must not remain without a primary, nor be led by a replica with a shorter log.
TEST_CASE("the replica with the longest log is promoted exactly once") {
    failover_fixture fixture;
    fixture.run_until([&] { return fixture.group->primary() == instance_id{"c"}; });
    REQUIRE(fixture.promotions.orders.size() == 1);
    CHECK(fixture.promotions.orders[0].target == instance_id{"c"});
    CHECK(fixture.promotions.orders[0].fence == 1);
    CHECK(fixture.connector.at("b").held == term_number{2});
    CHECK(fixture.store.value_of(lock_row).find("\"open\":false") != std::string::npos);
    CHECK(fixture.store.value_of(lock_row).find("\"target\":\"c\"") != std::string::npos);
}

// Guards against the loss of commits that only a replica has which joined before the primary
// crashed and was never listed, when the hosts that acknowledged them have been killed.
TEST_CASE("recorded log holders prove nothing although all of them are held") {
    failover_fixture fixture;
    auto recorded = record_of({holder_of("b"), holder_of("c")});
    SUBCASE("without the primary") {}
    SUBCASE("with the primary, which is lost") {
        fixture.connector.add("a", true).position = 14;
        fixture.lose("a");
        recorded.log_holders.insert(holder_of("a"));
    }
    SUBCASE("no row") { recorded = {}; }
    fixture.store.put(lock_row, encode_failover_row(recorded, host_id{"host-2"}));
    fixture.restart_host();
    fixture.run_without_promotion();

    // What all hosts have acknowledged is a proof.
    auto answer = confirmation("host-2", {first_term(9), first_term(12)});
    answer.newest_proof = dated_position{boot_clock::now(), first_term(12)};
    fixture.confirmations = {answer};
    fixture.run_until([&] { return !fixture.promotions.orders.empty(); });
    REQUIRE_FALSE(fixture.promotions.orders.empty());
    CHECK(fixture.promotions.orders[0].target == instance_id{"c"});
}

// Guards against the loss of acknowledged commits by a host that has just started, or has served
// readers only: two instances are down, and only one of them has the latest commits.
TEST_CASE("nothing is promoted while two instances that may have the latest commits are down") {
    failover_fixture fixture;
    fixture.connector.add("a", true).position = 12;
    fixture.connector.add("d", false).position = 9;
    for (const auto* name : {"a", "c"}) {
        fixture.connector.at(name).refuses_connections = true;
        fixture.connector.at(name).is_listed = false;
    }
    auto recorded = record_of();
    for (const auto* name : {"a", "b", "c", "d"}) {
        recorded.log_holders.insert(holder_of(name));
    }
    fixture.store.put(lock_row, encode_failover_row(recorded, host_id{"host-2"}));
    fixture.restart_host();
    unsigned checks = 0;
    fixture.run_until([&] { return ++checks > 250 || !fixture.promotions.orders.empty(); });
    CHECK(fixture.promotions.orders.empty());

    fixture.connector.at("c").refuses_connections = false;
    fixture.connector.at("c").is_listed = true;
    fixture.update();
    fixture.run_without_promotion();
    fixture.confirmations = {position_told(first_term(12))};
    fixture.run_until([&] { return !fixture.promotions.orders.empty(); });
    REQUIRE_FALSE(fixture.promotions.orders.empty());
    CHECK(fixture.promotions.orders[0].target == instance_id{"c"});
}

// A group that waits for a missing log must serve again without a promotion when its old primary is
// back.
TEST_CASE("a group that waits for a log is led by its old primary again when that returns") {
    failover_fixture fixture;
    auto& old_primary = fixture.connector.add("a", true);
    old_primary.position = 14;
    fixture.group->on_acknowledged(first_term(14), first_term(13));
    old_primary.refuses_connections = true;
    old_primary.is_listed = false;
    fixture.update();
    unsigned checks = 0;
    fixture.run_until([&] { return ++checks > 200 || !fixture.promotions.orders.empty(); });
    REQUIRE(fixture.promotions.orders.empty());
    CHECK(fixture.has_refused("acknowledged_commit_missing"));

    old_primary.refuses_connections = false;
    old_primary.is_listed = true;
    fixture.update();
    fixture.run_until([&] {
        return fixture.group->primary() == instance_id{"a"} &&
               fixture.group->may_lead(instance_id{"a"}, boot_clock::now());
    });
    CHECK(fixture.group->primary() == instance_id{"a"});
    CHECK(fixture.group->may_lead(instance_id{"a"}, boot_clock::now()));
    CHECK(fixture.promotions.orders.empty());
}

// Unknown logs keep a group without a primary only if they may hold a promised commit.
TEST_CASE("a promotion follows the configured number of synchronous replicas") {
    unsigned sync_replicas = 0;
    SUBCASE("none") {}
    SUBCASE("two") { sync_replicas = 2; }
    failover_fixture fixture;
    fixture.connector.add("a", true).position = 12;
    fixture.connector.add("d", false).position = 11;
    for (const auto* name : {"a", "c"}) {
        fixture.connector.at(name).refuses_connections = true;
        fixture.connector.at(name).is_listed = false;
    }
    auto recorded = record_of();
    for (const auto* name : {"a", "b", "c", "d"}) {
        recorded.log_holders.insert(holder_of(name));
    }
    fixture.store.put(lock_row, encode_failover_row(recorded, host_id{"host-2"}));
    fixture.restart_host();
    fixture.set_sync_replicas(sync_replicas);
    if (sync_replicas > 0) {
        fixture.run_without_promotion();
        fixture.confirmations = {position_told(first_term(11))};
    }
    fixture.run_until([&] { return !fixture.promotions.orders.empty(); });
    REQUIRE(fixture.promotions.orders.size() == 1);
    CHECK(fixture.promotions.orders[0].target == instance_id{"d"});
}

// A host that is cut off from a running instance removes it from the log holders, although the
// primary still replicates to it.
TEST_CASE("a running instance that was removed from the log holders is asked before a promotion") {
    failover_fixture fixture;
    fixture.connector.add("d", false).position = 14;
    auto recorded = record_of();
    for (const auto* name : {"b", "c", "d"}) {
        recorded.log_holders.insert(holder_of(name));
    }
    fixture.store.put(lock_row, encode_failover_row(recorded, host_id{"host-2"}));
    fixture.restart_host();
    fixture.confirmations = {position_told(first_term(9))};
    fixture.connector.at("d").is_listed = false;
    fixture.update();
    recorded.log_holders.erase(holder_of("d"));
    fixture.store.put(lock_row, encode_failover_row(recorded, host_id{"host-2"}));
    unsigned checks = 0;
    fixture.run_until([&] { return ++checks > 50 || !fixture.promotions.orders.empty(); });
    CHECK(fixture.promotions.orders.empty());

    fixture.connector.at("d").is_listed = true;
    fixture.update();
    fixture.run_until([&] { return !fixture.promotions.orders.empty(); });
    REQUIRE_FALSE(fixture.promotions.orders.empty());
    CHECK(fixture.promotions.orders[0].target == instance_id{"d"});
}

// Guards against the loss of a new primary's commits: the only replica left ends in the term
// before, and this host has seen commits of the new term acknowledged.
TEST_CASE("a replica whose log ends in an earlier term than acknowledged commits is not promoted") {
    failover_fixture fixture;
    fixture.connector.at("b").position = 40;
    fixture.connector.add("d", false).position = 39;
    fixture.group->on_acknowledged(log_index{term_number{2}, log_position{13}});
    fixture.update();
    fixture.connector.at("c").refuses_connections = true;
    fixture.connector.at("c").is_listed = false;
    fixture.update();
    unsigned checks = 0;
    fixture.run_until([&] { return ++checks > 250 || !fixture.promotions.orders.empty(); });
    CHECK(fixture.promotions.orders.empty());
}

// Guards against the loss of acknowledged commits by a host that takes the logs it knows for all:
// with no unknown log it did not compare the target with what it had acknowledged itself.
TEST_CASE("a replica that lacks a commit acknowledged by a host is not promoted") {
    failover_fixture fixture;
    SUBCASE("by the host that promotes") {
        fixture.group->on_acknowledged(first_term(14), first_term(13));
    }
    SUBCASE("by a host that confirms") {
        fixture.confirmations = {confirmation("host-2", {first_term(9), first_term(10)}),
                                 confirmation("host-3", {first_term(13), first_term(14)})};
    }
    unsigned checks = 0;
    bool has_ended = false;
    fixture.run_until([&] {
        const bool is_held = fixture.connector.at("c").held != term_number{};
        const auto row = decode_failover_row({lock_row, {}, fixture.store.value_of(lock_row)});
        has_ended = has_ended || (row.record.fence > 0 && !row.record.open && !is_held);
        return ++checks > 200 || !fixture.promotions.orders.empty();
    });
    CHECK(fixture.promotions.orders.empty());
    // The replicas receive log entries while the group waits.
    CHECK(has_ended);

    fixture.connector.add("d", false).position = 14;
    fixture.update();
    fixture.run_until([&] { return !fixture.promotions.orders.empty(); });
    REQUIRE_FALSE(fixture.promotions.orders.empty());
    CHECK(fixture.promotions.orders[0].target == instance_id{"d"});
}

// Guards against the promotion of a target that lacks a commit which a running replica had: its log
// was counted as known too early, and no host that was heard had acknowledged the commit.
TEST_CASE("a replica that lacks a commit which another replica was seen to have is not promoted") {
    failover_fixture fixture;
    SUBCASE("by the host that promotes") {
        fixture.confirmations.clear();
        fixture.group->on_log_seen(instance_id{"d"}, first_term(13));
    }
    SUBCASE("by a host that confirms") {
        auto told = confirmation("host-2", {});
        told.newest_proof.reset();
        told.replicas = {{instance_id{"d"}, first_term(13)}};
        fixture.confirmations = {told};
    }
    fixture.run_without_promotion();
    CHECK(fixture.has_refused("replicated_commit_missing"));

    fixture.connector.add("d", false).position = 13;
    fixture.confirmations = {position_told(first_term(13))};
    fixture.update();
    fixture.run_until([&] { return !fixture.promotions.orders.empty(); });
    REQUIRE_FALSE(fixture.promotions.orders.empty());
    CHECK(fixture.promotions.orders[0].target == instance_id{"d"});
}

// Guards against promotions by hosts that have started since the commit was acknowledged, when
// those that knew of it have been killed.
TEST_CASE("what a refused attempt knew of acknowledged commits binds hosts that started since") {
    failover_fixture fixture;
    SUBCASE("a replica was seen to have it") {
        fixture.confirmations.clear();
        fixture.group->on_log_seen(instance_id{"d"}, first_term(13));
    }
    SUBCASE("it was acknowledged") {
        fixture.confirmations = {confirmation("host-2", {first_term(12), first_term(14)})};
    }
    fixture.run_without_promotion();
    fixture.restart_host();
    fixture.run_without_promotion();
    CHECK(fixture.has_refused("required_commit_missing"));

    fixture.connector.add("d", false).position = 13;
    fixture.confirmations = {position_told(first_term(13))};
    fixture.update();
    fixture.run_until([&] {
        const auto row = decode_failover_row({lock_row, {}, fixture.store.value_of(lock_row)});
        return !row.record.open && row.record.target == instance_id{"d"};
    });
    const auto row = decode_failover_row({lock_row, {}, fixture.store.value_of(lock_row)});
    CHECK(row.record.target == instance_id{"d"});
    CHECK(row.record.required == std::nullopt);
}

// Guards against the loss of commits that were acknowledged just before the crash: the position in
// an answer may include commits that were not, and nothing tells which of them a replica has that
// no host has heard of.
TEST_CASE("a target below what may have been acknowledged waits for the primary's log") {
    failover_fixture fixture;
    auto& old_primary = fixture.connector.add("a", true);
    old_primary.position = 15;
    fixture.lose("a");
    fixture.group->on_acknowledged(first_term(14), first_term(11));
    fixture.confirmations = {confirmation("host-2", {first_term(10), first_term(15)})};
    fixture.update();
    fixture.run_without_promotion();
    CHECK(fixture.has_refused("position_not_reached"));

    old_primary.refuses_connections = false;
    old_primary.is_listed = true;
    fixture.update();
    fixture.run_until([&] { return fixture.group->may_lead(instance_id{"a"}, boot_clock::now()); });
    CHECK(fixture.group->may_lead(instance_id{"a"}, boot_clock::now()));
    CHECK(fixture.promotions.orders.empty());
}

// A group need not wait for lost logs if all hosts tell that nothing more was acknowledged.
TEST_CASE("two unknown logs are tolerated if the target has all that hosts have acknowledged") {
    failover_fixture fixture;
    fixture.connector.add("a", true).position = 12;
    fixture.connector.add("d", false).position = 11;
    for (const auto* name : {"a", "c"}) {
        fixture.connector.at(name).refuses_connections = true;
        fixture.connector.at(name).is_listed = false;
    }
    auto recorded = record_of();
    for (const auto* name : {"a", "b", "c", "d"}) {
        recorded.log_holders.insert(holder_of(name));
    }
    fixture.store.put(lock_row, encode_failover_row(recorded, host_id{"host-2"}));
    fixture.restart_host();
    auto answer = confirmation("host-2", {first_term(9), first_term(11)});
    answer.newest_proof = dated_position{boot_clock::now(), first_term(11)};
    bool is_allowed = true;
    SUBCASE("all are heard") {}
    SUBCASE("a host has acknowledged more") {
        answer.bounds->up_to = first_term(12);
        is_allowed = false;
    }
    SUBCASE("a host of an earlier release does not tell") {
        answer.bounds.reset();
        is_allowed = false;
    }
    SUBCASE("a host has started since the last position proof") {
        answer.started = boot_clock::now() + milliseconds{1};
        is_allowed = false;
    }
    SUBCASE("a host does not confirm") {
        fixture.silent_hosts = 1;
        is_allowed = false;
    }
    fixture.confirmations = {answer};
    unsigned checks = 0;
    fixture.run_until([&] { return ++checks > 250 || !fixture.promotions.orders.empty(); });
    REQUIRE(fixture.promotions.orders.size() == (is_allowed ? 1 : 0));
    if (is_allowed) {
        CHECK(fixture.promotions.orders[0].target == instance_id{"d"});
    }
}

// One unknown log beside a dead primary's holds no commit that the others lack, if the primary has
// told the end of its own log.
TEST_CASE("a primary that has stepped down is replaced although another instance is gone") {
    failover_fixture fixture;
    fixture.connector.add("a", true).position = 12;
    fixture.connector.at("b").is_listed = false;
    fixture.connector.at("b").refuses_connections = true;
    fixture.connector.at("a").entry.leaving = true;
    auto recorded = record_of();
    for (const auto* name : {"a", "b", "c"}) {
        recorded.log_holders.insert(holder_of(name));
    }
    fixture.store.put(lock_row, encode_failover_row(recorded, host_id{"host-2"}));
    fixture.restart_host();
    fixture.run_until([&] { return !fixture.promotions.orders.empty(); });
    REQUIRE(fixture.promotions.orders.size() == 1);
    CHECK(fixture.promotions.orders[0].target == instance_id{"c"});
}

// A replica that was cut off from the store and the hosts was the only one with the newest commits;
// the remaining one was promoted.
TEST_CASE("a log holder that is not listed but runs is held and has to be covered") {
    failover_fixture fixture;
    fixture.connector.add("a", true).position = 14;
    fixture.lose("a");
    fixture.connector.at("c").position = 14;
    fixture.connector.at("c").is_listed = false;
    fixture.connector.add("d", false).position = 9;
    fixture.record_log_holders({holder_of("a"), holder_of("b"), holder_of("c"), holder_of("d")});
    fixture.confirmations = {position_told(first_term(9))};
    fixture.run_without_promotion();
    CHECK(fixture.has_refused("longer_log_unlisted"));

    fixture.connector.at("c").is_listed = true;
    fixture.update();
    fixture.run_until([&] { return !fixture.promotions.orders.empty(); });
    REQUIRE_FALSE(fixture.promotions.orders.empty());
    CHECK(fixture.promotions.orders[0].target == instance_id{"c"});
}

// A replica that stays held would lack all later commits when it is the only one left.
TEST_CASE("an unlisted replica that was held is resumed after an attempt without a promotion") {
    failover_fixture fixture;
    fixture.connector.add("a", true).position = 14;
    fixture.lose("a");
    auto& unlisted = fixture.connector.at("c");
    unlisted.position = 14;
    fixture.connector.add("d", false).position = 9;
    std::set<log_holder> holders{holder_of("a"), holder_of("b"), holder_of("d")};
    bool was_held = false;
    SUBCASE("under its own id") {
        unlisted.is_listed = false;
        holders.insert(holder_of("c"));
    }
    SUBCASE("as the instance at the address of a log holder") {
        unlisted.is_listed = false;
        holders.insert({instance_id{"e"}, unlisted.entry.address, 0});
    }
    SUBCASE("after its entry lapsed during the attempt") {
        holders.insert(holder_of("c"));
        fixture.on_directory_read = [&] { unlisted.is_listed = false; };
    }
    fixture.record_log_holders(holders);
    fixture.set_sync_replicas(2);
    bool was_resumed = false;
    fixture.run_until([&] {
        was_held = was_held || unlisted.held != term_number{};
        was_resumed = was_resumed || (was_held && unlisted.held == term_number{});
        return was_resumed;
    });
    CHECK(was_held);
    CHECK(was_resumed);
    CHECK(fixture.promotions.orders.empty());
}

// The replica had the newest commits and knows nothing after its restart; its hold counted as that
// of the earlier log, and the remaining replica was promoted.
TEST_CASE("a replica that has started again is not counted as its earlier process") {
    failover_fixture fixture;
    fixture.connector.add("a", true).position = 12;
    fixture.lose("a");
    auto& restarted = fixture.connector.at("c");
    const auto restart = [&] {
        restarted.entry.start_time = 1;
        restarted.position = 0;
    };
    SUBCASE("before the attempt") { restart(); }
    SUBCASE("between the hold and the choice") { fixture.on_directory_read = restart; }
    SUBCASE("at another address") {
        restart();
        restarted.entry.address = endpoint_address{"other.example:1"};
    }
    fixture.record_log_holders({holder_of("a"), holder_of("b"), holder_of("c")});
    fixture.run_without_promotion();
}

// An instance that takes over the address of another one has its log only when the transfer has
// ended.
TEST_CASE("a log that is still in transfer is not counted as that of the log holder") {
    failover_fixture fixture;
    fixture.connector.add("a", true).position = 12;
    fixture.lose("a");
    fixture.lose("c");
    auto& successor = fixture.connector.add("d", false);
    successor.entry.address = fixture.connector.at("c").entry.address;
    successor.entry.start_time = 1;
    successor.position = 3;
    fixture.record_log_holders({holder_of("a"), holder_of("b"), holder_of("c")});
    SUBCASE("it grows") {
        fixture.on_directory_read = [&] { successor.position = successor.position % 6 + 1; };
    }
    SUBCASE("it is empty") { successor.position = 0; }
    fixture.run_without_promotion();
}

// The log of an instance that has taken over another one's address may be incomplete, since the
// hold stops its transfer.
TEST_CASE("a log that an instance at the same address has taken over is no proof by itself") {
    failover_fixture fixture;
    fixture.connector.add("a", true).position = 12;
    fixture.lose("a");
    fixture.lose("c");
    auto& successor = fixture.connector.add("d", false);
    successor.entry.address = fixture.connector.at("c").entry.address;
    successor.entry.start_time = 1;
    successor.position = 12;
    std::map<log_holder, log_index> bounds{{holder_of("c"), first_term(12)}};
    SUBCASE("up to the bound") {}
    SUBCASE("not up to the bound") { bounds[holder_of("c")] = first_term(13); }
    SUBCASE("the bound is unknown") { bounds.clear(); }
    fixture.record_log_holders({holder_of("a"), holder_of("b"), holder_of("c")}, bounds);
    fixture.run_without_promotion();

    fixture.confirmations = {position_told(first_term(12))};
    fixture.run_until([&] { return !fixture.promotions.orders.empty(); });
    REQUIRE_FALSE(fixture.promotions.orders.empty());
    CHECK(fixture.promotions.orders[0].target == instance_id{"d"});
}

// The hold was answered by the empty process, whose entry came later than the choice, and the
// remaining replica was promoted without the newest commits.
TEST_CASE("a replica that registers its restart after the hold is not counted as held") {
    failover_fixture fixture;
    fixture.connector.add("a", true).position = 12;
    fixture.lose("a");
    auto& restarted = fixture.connector.at("c");
    restarted.position = 0;
    fixture.record_log_holders({holder_of("a"), holder_of("b"), holder_of("c")});
    unsigned reads = 0;
    fixture.on_directory_read = [&] { restarted.entry.start_time = ++reads > 2 ? 1 : 0; };
    fixture.run_without_promotion();
}

// The store has turned the new process away and still lists the earlier one, whose log counted as
// known 4 s after the hold of the empty one.
TEST_CASE("a replica whose entry outlives its process is not counted as held") {
    failover_fixture fixture;
    fixture.connector.add("a", true).position = 12;
    fixture.lose("a");
    auto& restarted = fixture.connector.at("c");
    auto& other = fixture.connector.at("b");
    restarted.position = 0;
    other.entry.start_time = 1;
    fixture.record_log_holders({holder_of("a"), holder_of("b", 1), holder_of("c")});
    fixture.on_directory_read = [&] { ++other.entry.sequence; };
    fixture.run_without_promotion();

    // The process with the log is back.
    restarted.position = 12;
    restarted.entry.start_time = 1;
    fixture.update();
    fixture.on_directory_read = [&] {
        ++other.entry.sequence;
        ++restarted.entry.sequence;
    };
    fixture.record_log_holders({holder_of("a"), holder_of("b", 1), holder_of("c", 1)});
    fixture.confirmations = {position_told(first_term(12))};
    fixture.run_until([&] { return !fixture.promotions.orders.empty(); });
    REQUIRE_FALSE(fixture.promotions.orders.empty());
    CHECK(fixture.promotions.orders[0].target == instance_id{"c"});
}

// The attempt ordered the only instance with all commits to step down, and promoted none.
TEST_CASE("a primary that returns with its log during an attempt is not replaced") {
    failover_fixture fixture;
    auto& primary = fixture.connector.add("a", true);
    primary.position = 12;
    fixture.lose("a");
    fixture.record_log_holders({holder_of("a"), holder_of("b"), holder_of("c")});
    fixture.on_directory_read = [&] {
        primary.refuses_connections = false;
        primary.is_listed = true;
        primary.entry.start_time = 1;
        primary.entry.claims_primary = true;
    };
    fixture.run_until([&] { return !fixture.group->primary_is_dead(steady_clock::now()); });
    CHECK(primary.is_primary);
    CHECK(fixture.promotions.orders.empty());
    CHECK(fixture.group->primary() == instance_id{"a"});
}

// The instance receives and acknowledges commits although its entry has not reached the directory.
TEST_CASE("an unlisted instance at the address of a log holder has to be covered") {
    failover_fixture fixture;
    fixture.connector.add("a", true).position = 14;
    fixture.lose("a");
    fixture.lose("c");
    auto& successor = fixture.connector.add("d", false);
    successor.entry.address = fixture.connector.at("c").entry.address;
    successor.entry.start_time = 1;
    successor.position = 14;
    successor.is_listed = false;
    fixture.connector.add("e", false).position = 9;
    fixture.record_log_holders({holder_of("a"), holder_of("b"), holder_of("c"), holder_of("e")});
    fixture.set_sync_replicas(2);
    fixture.confirmations = {position_told(first_term(9))};
    fixture.run_without_promotion();
    CHECK(fixture.has_refused("longer_log_unlisted"));

    successor.position = 10;
    fixture.run_until([&] { return !fixture.promotions.orders.empty(); });
    REQUIRE_FALSE(fixture.promotions.orders.empty());
    CHECK(fixture.promotions.orders[0].target == instance_id{"b"});
}

// The short log of the new process was taken for all that the primary had ever acknowledged.
TEST_CASE("a primary that has started again empty does not tell its earlier log") {
    failover_fixture fixture;
    auto& primary = fixture.connector.add("a", true);
    primary.position = 0;
    primary.entry.start_time = 1;
    primary.entry.leaving = true;
    fixture.record_log_holders({holder_of("a"), holder_of("b"), holder_of("c")});
    SUBCASE("another replica is lost") {
        fixture.lose("c");
        fixture.update();
        fixture.run_without_promotion();
    }
    SUBCASE("a host knows what was acknowledged") {
        fixture.confirmations = {position_told(first_term(9))};
        fixture.run_until([&] { return !fixture.promotions.orders.empty(); });
        REQUIRE_FALSE(fixture.promotions.orders.empty());
        CHECK(fixture.promotions.orders[0].target == instance_id{"c"});
    }
}

// No acknowledged commit is on the new process of the primary and its earlier one only, and a held
// replica does not receive what the primary has written since. The old primary has stepped down and
// is no candidate, so its group would have no primary for good.
TEST_CASE("a primary that has started again with its log is replaced by a shorter log") {
    failover_fixture fixture;
    auto& primary = fixture.connector.add("a", true);
    primary.position = 15;
    primary.entry.start_time = 1;
    primary.entry.leaving = true;
    std::set<log_holder> holders{holder_of("a"), holder_of("b"), holder_of("c")};
    SUBCASE("only its earlier process is recorded") {}
    SUBCASE("both processes are recorded") { holders.insert(holder_of("a", 1)); }
    fixture.record_log_holders(holders);
    fixture.confirmations = {position_told(first_term(9))};
    fixture.run_until([&] { return !fixture.promotions.orders.empty(); });
    REQUIRE_FALSE(fixture.promotions.orders.empty());
    CHECK(fixture.promotions.orders[0].target == instance_id{"c"});
}

// Guards against a group that waits for good although its last primary runs: the holder of the lock
// ordered it to step down and was killed with all other hosts, so that nobody remembers what was
// acknowledged.
TEST_CASE("the process that led last is promoted again, whatever hosts remember") {
    failover_fixture fixture;
    auto& last = fixture.connector.add("a", false);
    last.position = 15;
    last.entry.start_time = 1;
    bool writes_entry = true;
    bool is_allowed = true;
    recorded_primary recorded{log_holder_of(last.entry), fixture.store.era()};
    SUBCASE("it runs") {}
    SUBCASE("only a later process under its id runs") {
        recorded.process.start_time = 0;
        is_allowed = false;
    }
    SUBCASE("its entry may have outlived it") {
        writes_entry = false;
        is_allowed = false;
    }
    SUBCASE("the row may be an older copy") {
        recorded.era = store_era{fixture.store.era().value() + 1};
        is_allowed = false;
    }
    fixture.record_primary(recorded);
    fixture.on_directory_read = [&] { last.entry.sequence += writes_entry ? 1 : 0; };
    if (!is_allowed) {
        fixture.run_without_promotion();
        return;
    }
    fixture.run_until([&] { return !fixture.promotions.orders.empty(); });
    REQUIRE_FALSE(fixture.promotions.orders.empty());
    CHECK(fixture.promotions.orders[0].target == instance_id{"a"});
}

// The same for a primary that has stepped down in an attempt without a promotion, and is gone.
TEST_CASE("the recorded end of the last primary's log proves a target") {
    failover_fixture fixture;
    fixture.connector.add("a", false).position = 12;
    fixture.lose("a");
    recorded_primary recorded{holder_of("a"), fixture.store.era(), first_term(12)};
    SUBCASE("the target reaches it") {
        fixture.record_primary(recorded);
        fixture.run_until([&] { return !fixture.promotions.orders.empty(); });
        REQUIRE_FALSE(fixture.promotions.orders.empty());
        CHECK(fixture.promotions.orders[0].target == instance_id{"c"});
    }
    SUBCASE("the target does not reach it") {
        recorded.end = first_term(13);
        fixture.record_primary(recorded);
        fixture.run_without_promotion();
    }
}

// Guards against a group that never serves again: its primary stepped down, and ended with all
// hosts while the holder of the lock waited for a replica that has more.
TEST_CASE("the end of the old primary's log is recorded while an attempt waits") {
    failover_fixture fixture;
    auto& primary = fixture.connector.add("a", true);
    primary.position = 15;
    primary.entry.leaving = true;
    fixture.silent_hosts = 1;
    fixture.update();
    std::optional<recorded_primary> recorded;
    fixture.run_until([&] {
        const auto row = decode_failover_row({lock_row, {}, fixture.store.value_of(lock_row)});
        const bool is_first_attempt = row.record.open && row.record.fence == 1;
        recorded = is_first_attempt ? row.record.primary : std::nullopt;
        return recorded && recorded->end;
    });
    REQUIRE(recorded);
    CHECK(recorded->process == log_holder_of(primary.entry));
    CHECK(recorded->era == fixture.store.era());
    CHECK(recorded->end == first_term(15));
    CHECK(fixture.promotions.orders.empty());
}

// Guards against a planned switch that leaves the group without a primary for the time of an
// attempt, or for good if its hosts end: the replicas lack commits that may have been acknowledged.
TEST_CASE("a primary that has stepped down leads again if no other replica may be promoted") {
    failover_fixture fixture;
    auto& primary = fixture.connector.add("a", true);
    primary.position = 15;
    primary.entry.leaving = true;
    fixture.confirmations = {confirmation("host-2", {first_term(11), first_term(14)})};
    fixture.update();
    const auto started = steady_clock::now();
    fixture.run_until([&] { return !fixture.promotions.orders.empty(); });
    REQUIRE_FALSE(fixture.promotions.orders.empty());
    CHECK(fixture.promotions.orders[0].target == instance_id{"a"});
    CHECK(steady_clock::now() - started < seconds{3});
}

// Guards against a group that never serves again: its primary's entry ended before a host had begun
// a failover, and only one replica is left.
TEST_CASE("the only listed instance is promoted if it does not lead") {
    failover_fixture fixture;
    fixture.lose("b");
    fixture.update();
    REQUIRE(fixture.group->entries().size() == 1);
    fixture.run_until([&] { return !fixture.promotions.orders.empty(); });
    REQUIRE_FALSE(fixture.promotions.orders.empty());
    CHECK(fixture.promotions.orders[0].target == instance_id{"c"});
}

// Nobody could take over.
TEST_CASE("a primary that is the only listed instance is not replaced") {
    failover_fixture fixture;
    fixture.connector.add("a", true).position = 12;
    fixture.connector.at("a").entry.leaving = true;
    fixture.lose("b");
    fixture.lose("c");
    fixture.update();
    fixture.run_without_promotion();
    CHECK(fixture.connector.at("a").is_primary);
}

// A second promotion after another host has finished one would lose the commits that the new
// primary has acknowledged in the meantime.
TEST_CASE("the result of another host's finished promotion is adopted") {
    failover_fixture fixture;
    fixture.store.put(lock_row,
                      R"({"fence":4,"holder":"host-2","target":"b","open":false,"mark":"1"})");
    fixture.run_until([&] { return fixture.group->primary() == instance_id{"b"}; });
    CHECK(fixture.promotions.orders.empty());
    CHECK(fixture.connector.at("c").held == term_number{});
}

// Two hosts must not run a failover of the same group at the same time.
TEST_CASE("nothing is promoted while another host holds the failover lock") {
    failover_fixture fixture;
    fixture.store.put(lock_row,
                      R"({"fence":4,"holder":"host-2","target":"","open":true,"mark":"1"})");
    unsigned checks = 0;
    fixture.run_until([&] { return ++checks > 60; });
    CHECK(fixture.promotions.orders.empty());
    CHECK(fixture.connector.at("b").held == term_number{});
}

// A commit to the store may take effect although its answer is lost.
TEST_CASE("a lost store answer is resolved by reading the lock row") {
    failover_fixture fixture;
    fixture.store.answers_to_lose = 1;
    fixture.run_until([&] { return fixture.group->primary() == instance_id{"c"}; });
    REQUIRE(fixture.promotions.orders.size() == 1);
    CHECK(fixture.promotions.orders[0].fence == 1);
}

// A replica that starts after the hold can receive, and so acknowledge, commits that no other
// replica has.
TEST_CASE("a replica that registers after the hold is also held before a promotion") {
    failover_fixture fixture;
    fixture.on_directory_read = [&] {
        if (fixture.promotions.orders.empty()) {
            fixture.connector.add("d", false).position = 14;
        }
    };
    fixture.run_until([&] { return fixture.group->primary().has_value(); });
    REQUIRE(fixture.promotions.orders.size() == 1);
    CHECK(fixture.promotions.orders[0].target == instance_id{"d"});
}

namespace {

/// Calls `change` once, when the attempt renews its lock for the first promotion request.
void change_before_request(failover_fixture& fixture, std::function<void()> change) {
    fixture.store.on_commit = [done = false,
                               change = std::move(change)](const table_commit& written) mutable {
        for (const auto& row : written.puts) {
            if (!done && decode_failover_row({row.key, fleet_version{1}, row.value})
                             .record.request_pending) {
                done = true;
                change();
            }
        }
    };
}

/// The instance starts again under its id and has lost its log.
void restart_empty(fake_instance& instance) {
    instance.held = {};
    instance.position = 0;
}

}  // namespace

// Guards against the promotion of an instance that has lost its log since it was chosen.
TEST_CASE("a target that starts again after it was chosen is not promoted") {
    failover_fixture fixture;
    fixture.group->on_acknowledged(first_term(12), first_term(11));
    auto& target = fixture.connector.at("c");
    bool has_restarted = false;
    change_before_request(fixture, [&] {
        has_restarted = true;
        restart_empty(target);
    });
    unsigned checks = 0;
    fixture.run_until([&] { return ++checks > 100 || !fixture.promotions.orders.empty(); });
    REQUIRE(has_restarted);
    CHECK(fixture.promotions.orders.empty());
    // No request is under way, so hosts may use a primary again.
    const auto row = decode_failover_row({lock_row, {}, fixture.store.value_of(lock_row)}).record;
    CHECK_FALSE(row.request_pending);

    target.position = 12;
    fixture.run_until([&] { return !fixture.promotions.orders.empty(); });
    REQUIRE(fixture.promotions.orders.size() == 1);
    CHECK(fixture.promotions.orders[0].target == instance_id{"c"});
}

// Guards against a resume order of an earlier attempt that is carried out after the hold: the
// released replica receives, and so acknowledges, commits that the chosen target lacks.
TEST_CASE("a target is chosen anew if another replica has received more since the choice") {
    failover_fixture fixture;
    auto& other = fixture.connector.at("b");
    change_before_request(fixture, [&] {
        other.held = {};
        other.position = 14;
    });
    fixture.run_until([&] { return !fixture.promotions.orders.empty(); });
    REQUIRE_FALSE(fixture.promotions.orders.empty());
    CHECK(fixture.promotions.orders[0].target == instance_id{"b"});
}

namespace {

bool row_is_open(const failover_fixture& fixture) {
    return decode_failover_row({lock_row, fleet_version{1}, fixture.store.value_of(lock_row)})
        .record.open;
}

failover_record present_record(const failover_fixture& fixture) {
    return decode_failover_row({lock_row, {}, fixture.store.value_of(lock_row)}).record;
}

/// Whether the call promotes nothing: it only makes the platform refuse earlier ones.
bool names_no_instance(const fake_promotions::order& order) {
    return order.target != instance_id{"a"} && order.target != instance_id{"b"} &&
           order.target != instance_id{"c"};
}

}  // namespace

// A request whose answer is lost may be carried out many seconds later, and then promoted a target
// that had lost its log since the request was sent.
TEST_CASE("an unanswered promotion request is voided when its target starts again") {
    failover_fixture fixture;
    fixture.group->on_acknowledged(first_term(12), first_term(11));
    auto& target = fixture.connector.at("c");
    auto& promotions = fixture.promotions;
    promotions.outcomes = {promotion_outcome::unknown};
    std::vector<time_point> called_at;
    bool restarts = true;
    SUBCASE("when it ends") {
        promotions.on_promote = [&] { restart_empty(target); };
    }
    SUBCASE("while it is under way") {
        promotions.unknown_after = milliseconds{1500};
        promotions.on_promote = [&] { restart_empty(target); };
    }
    SUBCASE("before it is sent again, with a silent target") {
        promotions.on_promote = [&] {
            target.answer_delay = promotions.orders.size() == 1 ? seconds{20} : milliseconds{0};
        };
        restarts = false;
    }
    const auto restart_target = std::move(promotions.on_promote);
    std::vector<failover_record> rows;
    promotions.on_promote = [&] {
        called_at.push_back(steady_clock::now());
        rows.push_back(present_record(fixture));
        if (promotions.orders.size() == 1) {
            restart_target();
        }
    };
    unsigned checks = 0;
    fixture.run_until([&] {
        if (!restarts && promotions.orders.size() == 1 && ++checks == 20) {
            restart_empty(target);
            target.answer_delay = milliseconds{0};
        }
        return promotions.orders.size() > 1 && !row_is_open(fixture);
    });
    REQUIRE(promotions.orders.size() == 2);
    CHECK(promotions.orders[0].target == instance_id{"c"});
    CHECK(names_no_instance(promotions.orders[1]));
    CHECK(promotions.orders[1].fence > promotions.orders[0].fence);
    CHECK(called_at[1] - called_at[0] < milliseconds{1000});
    // The next holder must know the request and exceed both fencing tokens.
    REQUIRE(rows[0].requests.size() == 1);
    CHECK(rows[0].requests[0].target == instance_id{"c"});
    CHECK(rows[0].requests[0].position == first_term(12));
    CHECK(rows[1].requests == rows[0].requests);
    CHECK(rows[1].fence == promotions.orders[1].fence);
    CHECK(promotions.carry_out(promotions.orders[0]) == promotion_outcome::refused);
    CHECK_FALSE(target.is_primary);
    // No request may be carried out, so hosts may use a primary again.
    CHECK_FALSE(present_record(fixture).request_pending);
    CHECK(present_record(fixture).requests.empty());
    CHECK(fixture.metrics.scrape().find("masticgrade_promotion_orders_unsafe_total") ==
          std::string::npos);

    target.position = 12;
    fixture.run_until([&] { return fixture.group->primary() == instance_id{"c"}; });
    REQUIRE(promotions.orders.size() == 3);
    CHECK(promotions.orders[2].target == instance_id{"c"});
    CHECK(promotions.orders[2].fence > promotions.orders[1].fence);
}

// Until the platform has answered a call with a higher fencing token, the earlier one may still be
// carried out.
TEST_CASE("a promotion request that cannot be voided leaves the row open") {
    failover_fixture fixture;
    fixture.group->on_acknowledged(first_term(12), first_term(11));
    auto& target = fixture.connector.at("c");
    auto& promotions = fixture.promotions;
    promotions.outcomes.assign(100, promotion_outcome::unknown);
    promotions.on_promote = [&] {
        if (promotions.orders.size() == 1) {
            restart_empty(target);
        }
    };
    bool was_closed = false;
    fixture.run_until([&] {
        was_closed = was_closed || (!promotions.orders.empty() && !row_is_open(fixture));
        return fixture.metrics.scrape().find("masticgrade_promotion_orders_unsafe_total") !=
               std::string::npos;
    });
    CHECK_FALSE(was_closed);
    const auto row = present_record(fixture);
    CHECK(row.open);
    CHECK(row.request_pending);
    REQUIRE(row.requests.size() == 1);
    CHECK(row.requests[0].target == instance_id{"c"});
    CHECK(fixture.metrics.scrape().find("masticgrade_promotion_orders_unsafe_total") !=
          std::string::npos);
    REQUIRE(promotions.orders.size() > 1);
    for (std::size_t i = 1; i < promotions.orders.size(); ++i) {
        CHECK(names_no_instance(promotions.orders[i]));
    }

    // Another host voids it before it decides.
    promotions.outcomes.clear();
    target.position = 12;
    const auto sent = promotions.orders.size();
    fixture.run_until([&] { return fixture.group->primary() == instance_id{"c"}; });
    // The first host may have sent one more in the meantime.
    REQUIRE(promotions.orders.size() >= sent + 2);
    CHECK(promotions.orders.back().target == instance_id{"c"});
    for (std::size_t i = sent; i + 1 < promotions.orders.size(); ++i) {
        CHECK(names_no_instance(promotions.orders[i]));
    }
}

// A call that the platform has accepted takes effect although it is voided. An empty log was then
// used as that of the new primary.
TEST_CASE("a target that was promoted after it had lost its log is not used") {
    failover_fixture fixture;
    fixture.group->on_acknowledged(first_term(12), first_term(11));
    auto& target = fixture.connector.at("c");
    auto& promotions = fixture.promotions;
    promotions.outcomes = {promotion_outcome::unknown};
    promotions.on_promote = [&] {
        if (promotions.orders.size() == 1) {
            restart_empty(target);
        } else if (promotions.orders.size() == 2) {
            promotions.carry_out(promotions.orders[0]);
            REQUIRE(target.is_primary);
        }
    };
    const instance_id lost{"c"};
    bool was_used = false;
    const auto watch = [&] {
        was_used = was_used || (fixture.group->primary() == lost &&
                                fixture.group->may_lead(lost, boot_clock::now()));
    };
    fixture.run_until([&] {
        watch();
        return promotions.orders.size() > 1 && !row_is_open(fixture);
    });
    const auto row = present_record(fixture);
    CHECK(row.target == lost);
    CHECK(row.target_position == first_term(12));
    CHECK(row.requests.empty());
    CHECK(fixture.metrics.scrape().find("log_lost") != std::string::npos);

    // Its term does not make it the longest log.
    fixture.connector.add("d", false).position = 13;
    fixture.update();
    fixture.run_until([&] {
        watch();
        return fixture.group->primary() == instance_id{"d"};
    });
    CHECK(fixture.group->primary() == instance_id{"d"});
    CHECK_FALSE(was_used);
    for (std::size_t i = 1; i < promotions.orders.size(); ++i) {
        CHECK(promotions.orders[i].target != lost);
    }
}

// An instance that starts again under its id has lost its log, and says that it leads until another
// one is promoted. Commits that it acknowledges then replace those that it had acknowledged before.
TEST_CASE("a primary that has started again is used only if it has its log") {
    failover_fixture fixture;
    auto& primary = fixture.connector.add("a", true);
    const instance_id id{"a"};
    primary.position = 12;
    primary.entry.start_time = 1;
    failover_record recorded{3, false, id, term_number{1}};
    recorded.log_holders = {holder_of("a", 1), holder_of("b"), holder_of("c")};
    recorded.target_start_time = 1;
    recorded.target_position = first_term(11);
    fixture.store.put(lock_row, encode_failover_row(recorded, host_id{"host-2"}));
    fixture.restart_host();
    fixture.run_until([&] { return fixture.group->may_lead(id, boot_clock::now()); });
    REQUIRE(fixture.group->primary() == id);
    REQUIRE(fixture.group->may_lead(id, boot_clock::now()));

    primary.entry.start_time = 2;
    SUBCASE("with its log") {
        fixture.update();
        CHECK_FALSE(fixture.group->may_lead(id, boot_clock::now()));
        fixture.run_until([&] { return fixture.group->may_lead(id, boot_clock::now()); });
        CHECK(fixture.group->may_lead(id, boot_clock::now()));
        CHECK(fixture.promotions.orders.empty());
    }
    SUBCASE("without its log") {
        primary.position = 0;
        fixture.confirmations = {position_told(first_term(12))};
        fixture.update();
        bool was_used = fixture.group->may_lead(id, boot_clock::now());
        fixture.run_until([&] {
            was_used = was_used || fixture.group->may_lead(id, boot_clock::now());
            return !fixture.promotions.orders.empty();
        });
        CHECK_FALSE(was_used);
        REQUIRE_FALSE(fixture.promotions.orders.empty());
        CHECK(fixture.promotions.orders[0].target == instance_id{"c"});
    }
}

// No statement is sent to it, so that none is refused because it does not lead.
TEST_CASE("a primary that has started again as a replica is replaced") {
    failover_fixture fixture;
    auto& primary = fixture.connector.add("a", true);
    primary.position = 12;
    primary.entry.start_time = 1;
    fixture.update();
    REQUIRE(fixture.group->primary() == instance_id{"a"});
    primary.entry.start_time = 2;
    fixture.update();
    primary.is_primary = false;
    primary.position = 11;
    fixture.run_until([&] { return fixture.group->primary() == instance_id{"c"}; });
    CHECK(fixture.group->primary() == instance_id{"c"});
}

// The directory may list the earlier process for a while.
TEST_CASE("a primary that reports a shorter log than it had is not used") {
    failover_fixture fixture;
    fixture.connector.add("a", true).position = 12;
    fixture.update();
    const instance_id id{"a"};
    const auto now = boot_clock::now();
    fixture.group->on_status(id, {true, term_number{1}, first_term(12), {}});
    REQUIRE(fixture.group->may_lead(id, now));
    // The status was requested before the commit at 13 was seen.
    fixture.group->on_status(id, {true, term_number{1}, first_term(12), {}}, first_term(12));
    CHECK(fixture.group->may_lead(id, now));
    fixture.group->on_status(id, {true, term_number{1}, first_term(0), {}}, first_term(13));
    CHECK_FALSE(fixture.group->may_lead(id, now));
    CHECK(fixture.group->primary_is_dead(steady_clock::now()));
}

// A silent target may be starting again.
TEST_CASE("no promotion request is sent while the target is silent") {
    failover_fixture fixture;
    auto& target = fixture.connector.at("c");
    change_before_request(fixture, [&] { target.answer_delay = seconds{20}; });
    unsigned checks = 0;
    fixture.run_until([&] { return ++checks > 100 || !fixture.promotions.orders.empty(); });
    REQUIRE(target.answer_delay == seconds{20});
    CHECK(fixture.promotions.orders.empty());
    target.answer_delay = milliseconds{0};
    fixture.run_until([&] { return !fixture.promotions.orders.empty(); });
    REQUIRE_FALSE(fixture.promotions.orders.empty());
    CHECK(fixture.promotions.orders[0].target == instance_id{"c"});
}

// A promotion request whose answer is lost may still be carried out.
TEST_CASE("an unanswered promotion request is repeated with the same target and fence") {
    failover_fixture fixture;
    fixture.promotions.outcomes = {promotion_outcome::unknown};
    fixture.run_until([&] { return fixture.group->primary().has_value(); });
    REQUIRE(fixture.promotions.orders.size() == 2);
    CHECK(fixture.promotions.orders[0].target == fixture.promotions.orders[1].target);
    CHECK(fixture.promotions.orders[0].fence == fixture.promotions.orders[1].fence);
}

// After a failed promotion, replicas must not stay held, since held replicas receive no log
// entries.
TEST_CASE("replicas are released after a refused promotion") {
    failover_fixture fixture;
    fixture.promotions.outcomes = {promotion_outcome::refused};
    fixture.run_until([&] { return fixture.promotions.orders.size() == 2; });
    REQUIRE(fixture.promotions.orders.size() >= 2);
    CHECK(fixture.promotions.orders[1].fence > fixture.promotions.orders[0].fence);
}

// A replica that isn't held may continue to acknowledge commits of the old primary.
TEST_CASE("nothing is promoted while a registered replica does not answer") {
    failover_fixture fixture;
    fixture.connector.at("b").refuses_connections = true;
    unsigned checks = 0;
    fixture.run_until([&] { return ++checks > 100; });
    CHECK(fixture.promotions.orders.empty());
}

namespace {

enum class write_outcome { acknowledged, in_doubt, not_run };

/// A group whose primary "a" only the second of two hosts reaches. The first host finds it dead and
/// runs the failover; the primary continues to lead.
class partitioned_fixture {
public:
    partitioned_fixture() {
        connector.add("a", true).position = 12;
        connector.add("b", false).position = 12;
        connector.add("c", false).position = 10;
        settings_.name = group_name;
        settings_.max_connections = 20;
        store.put(lock_row,
                  encode_failover_row(record_of({holder_of("a"), holder_of("b"), holder_of("c")}),
                                      host_id{"host-2"}));
        first = make_group(first_connector_);
        second = make_group(connector);
        for (const auto& group : {first, second}) {
            group->add_proof(instance_id{"a"}, started_, first_term(12));
        }
    }

    std::shared_ptr<backend_group> make_group(instance_connector& reached) {
        auto environment = make_local_environment(context.get_executor(), reached, metrics_);
        auto group = std::make_shared<backend_group>(group_name, std::move(environment));
        prove_leadership(*group);
        group->update(settings_, connector.entries(), {});
        return group;
    }

    void start_unanswered_statements() {
        // The probes of a silent primary are not part of this test.
        for (int i = 0; i < 3; ++i) {
            boost::asio::co_spawn(context, use_primary(first, milliseconds{50}),
                                  boost::asio::detached);
        }
    }

    /// Starts the failover on the first host. `silent_hosts` other hosts don't confirm.
    std::shared_ptr<group_failover> start_failover(std::size_t silent_hosts) {
        failover_environment environment{
            context.get_executor(),
            host_id{"host-1"},
            store,
            promotions,
            first_connector_,
            metrics_,
            [] { return std::vector{host_id{"host-1"}}; },
            [this]() -> boost::asio::awaitable<void> {
                first->update(settings_, connector.entries(), {});
                entries_.on_read(connector.entries(), boot_clock::now());
                co_return;
            },
            [this](const group_id&, const instance_entry& primary) { return ask_others(primary); },
            [this, silent_hosts](const group_id&, std::uint64_t fence) {
                return announce(silent_hosts, fence);
            },
            [](const group_id&, std::uint64_t) {},
            {},
            entry_lifetime,
            entries_};
        auto failover = std::make_shared<group_failover>(first, std::move(environment));
        boost::asio::co_spawn(context, failover->run(), boost::asio::detached);
        start_unanswered_statements();
        return failover;
    }

    /// Whether the host can use a connection to the primary within the time.
    boost::asio::awaitable<bool> use_primary(std::shared_ptr<backend_group> group,
                                             milliseconds patience) {
        acquire_request request;
        request.queue_entry.customer = customer_id{"parish"};
        request.queue_entry.needs_primary = true;
        request.queue_entry.deadline = steady_clock::now() + patience;
        request.queue_entry.latest_start = request.queue_entry.deadline;
        auto result = co_await group->acquire(std::move(request));
        auto* lease = std::get_if<connection_lease>(&result);
        if (lease == nullptr) {
            co_return false;
        }
        try {
            const auto begun =
                co_await lease->begin(false, std::nullopt, steady_clock::now() + patience);
            co_return begun.code == answer_code::done;
        } catch (const connection_error&) {
            co_return false;
        }
    }

    /// Sends a write from the second host and sets `outcome` when it ends. Returns when the primary
    /// has run it.
    void start_write(std::optional<write_outcome>& outcome) {
        boost::asio::co_spawn(
            context, write(second),
            [&outcome](const std::exception_ptr&, write_outcome result) { outcome = result; });
        context.restart();
        while (connector.at("a").commits == 0 && !outcome) {
            context.run_for(milliseconds{5});
        }
    }

    static boost::asio::awaitable<write_outcome> write(std::shared_ptr<backend_group> group) {
        acquire_request request;
        request.queue_entry.customer = customer_id{"parish"};
        request.queue_entry.needs_primary = true;
        request.queue_entry.deadline = steady_clock::now() + seconds{10};
        request.queue_entry.latest_start = request.queue_entry.deadline;
        const auto deadline = request.queue_entry.deadline;
        auto result = co_await group->acquire(std::move(request));
        auto* lease = std::get_if<connection_lease>(&result);
        if (lease == nullptr) {
            co_return write_outcome::not_run;
        }
        try {
            const backend_statement statement{statement_id{"w"}, "write x", std::nullopt};
            const auto answer = co_await lease->execute(statement, true, true, deadline);
            co_return answer.code == answer_code::done ? write_outcome::acknowledged
                                                       : write_outcome::not_run;
        } catch (const connection_error& failure) {
            co_return failure.may_have_run() ? write_outcome::in_doubt : write_outcome::not_run;
        }
    }

    /// Runs until a promotion was requested, for at most 10 s.
    void run_until_promoted() {
        context.restart();
        const auto deadline = steady_clock::now() + seconds{10};
        while (promotions.orders.empty() && steady_clock::now() < deadline) {
            first->tick(steady_clock::now());
            context.run_for(milliseconds{5});
        }
    }

    /// Runs both hosts for the time.
    void run_for(milliseconds length) {
        const auto until = steady_clock::now() + length;
        context.restart();
        while (steady_clock::now() < until) {
            first->tick(steady_clock::now());
            context.run_for(milliseconds{5});
        }
    }

    /// Runs until the first host has asked the others about the primary. A process that was
    /// suspended forgets what made the primary look dead, until further statements get no answer.
    void run_until_asked() {
        const auto give_up = steady_clock::now() + seconds{30};
        while (!first_asked_at && steady_clock::now() < give_up) {
            run_for(seconds{2});
            if (!first_asked_at) {
                start_unanswered_statements();
            }
        }
    }

    bool second_host_uses_primary() {
        context.restart();
        std::optional<bool> used;
        boost::asio::co_spawn(context, use_primary(second, milliseconds{100}),
                              [&](const std::exception_ptr&, bool result) { used = result; });
        while (!used) {
            context.run_for(milliseconds{5});
        }
        return *used;
    }

    /// Whether a host has acquired the failover lock.
    [[nodiscard]] bool lock_was_acquired() const {
        return decode_failover_row({lock_row, {}, store.value_of(lock_row)}).record.fence > 0;
    }

    void first_reaches_primary(bool reached) {
        first_connector_.set_unreachable(reached ? std::set<std::string>{}
                                                 : std::set<std::string>{"a"});
    }

    boost::asio::io_context context{1};
    fake_connector connector;
    fake_store store;
    fake_promotions promotions{connector};
    std::shared_ptr<backend_group> first;
    std::shared_ptr<backend_group> second;
    /// Whether the second host answers queries about the primary.
    bool second_answers = false;
    /// Other hosts that are asked about the primary and don't reply.
    std::size_t silent_when_asked = 0;
    /// Other hosts that reply without having used the primary.
    std::size_t hosts_without_evidence = 0;
    /// Time until the other hosts reply.
    milliseconds reply_delay{0};
    std::function<void()> on_asked = [] {};
    std::optional<time_point> first_asked_at;

private:
    boost::asio::awaitable<primary_replies> ask_others(instance_entry primary) {
        const auto now = steady_clock::now();
        first_asked_at = first_asked_at.value_or(now);
        on_asked();
        boost::asio::steady_timer timer{context, reply_delay};
        co_await timer.async_wait(boost::asio::use_awaitable);
        primary_replies replies(silent_when_asked);
        replies.resize(silent_when_asked + hosts_without_evidence, primary_reply{});
        if (second_answers) {
            replies.emplace_back(second->report_primary(primary.id));
        }
        co_return replies;
    }

    boost::asio::awaitable<failover_announcement> announce(std::size_t silent_hosts,
                                                           std::uint64_t fence) {
        // The position was proven after such a host is known to have acknowledged nothing more.
        auto told = unanswered(silent_hosts, started_ - silent_host_lifetime);
        if (silent_hosts == 0) {
            second->on_failover_begun(fence);
            told.confirmed.push_back({host_id{"host-2"}, boot_time{}, second->acknowledged(),
                                      second->newest_proven_position()});
        }
        co_return told;
    }

    const boot_time started_ = boot_clock::now();
    partitioned_connector first_connector_{connector, {"a"}};
    gateway_metrics metrics_;
    group_settings settings_;
    entry_history entries_{entry_lifetime};
};

}  // namespace

// An old primary that the promoting host does not reach continues to answer other hosts, whose
// reads would lack commits that the new primary has acknowledged.
TEST_CASE("a host that does not hear of a failover has stopped using the old primary") {
    partitioned_fixture fixture;
    CHECK(fixture.second_host_uses_primary());
    const auto failover = fixture.start_failover(1);
    fixture.run_until_promoted();
    failover->stop();
    REQUIRE(fixture.promotions.orders.size() == 1);
    REQUIRE(fixture.connector.at("a").is_primary);
    CHECK_FALSE(fixture.second_host_uses_primary());
}

TEST_CASE("a host that confirms a failover stops using the old primary at once") {
    partitioned_fixture fixture;
    const auto started = steady_clock::now();
    const auto failover = fixture.start_failover(0);
    fixture.run_until_promoted();
    failover->stop();
    REQUIRE(fixture.promotions.orders.size() == 1);
    CHECK(steady_clock::now() - started < leadership_evidence::expiry_wait);
    CHECK_FALSE(fixture.second_host_uses_primary());
}

// A commit that was under way when its host confirmed the failover is not in the promoted log if a
// replica receives it only after the target has been chosen.
TEST_CASE("a commit answered after its host confirmed a failover is not acknowledged") {
    partitioned_fixture fixture;
    auto& primary = fixture.connector.at("a");
    auto& target = fixture.connector.at("b");
    auto& restarted = fixture.connector.at("c");
    primary.sync_candidates = {&target, &restarted};
    target.held = term_number{2};
    restarted.held = term_number{2};
    std::optional<write_outcome> outcome;
    fixture.start_write(outcome);
    // A restart ends the hold of a replica.
    fixture.promotions.on_promote = [&] { restarted.held = {}; };
    const auto failover = fixture.start_failover(0);
    fixture.run_until_promoted();
    fixture.run_for(milliseconds{100});
    failover->stop();
    REQUIRE(fixture.promotions.orders.size() == 1);
    REQUIRE(fixture.promotions.orders[0].target == instance_id{"b"});
    REQUIRE(restarted.position == primary.position);
    REQUIRE(target.position < primary.position);
    REQUIRE(outcome);
    CHECK(*outcome == write_outcome::in_doubt);
    // Replicas have received it, so a later failover takes it into account.
    const auto told = fixture.second->acknowledged();
    REQUIRE(told);
    CHECK(told->up_to == primary.end_of_log());
    CHECK_FALSE(told->beyond);
}

// The directory lists the earlier process for a while after a primary has started again empty.
TEST_CASE("a primary is not used after a connection has found its log shorter") {
    partitioned_fixture fixture;
    auto& primary = fixture.connector.at("a");
    const instance_id id{"a"};
    REQUIRE(fixture.second_host_uses_primary());
    REQUIRE(fixture.second->may_lead(id, boot_clock::now()));
    primary.position = 0;
    primary.breaks_connections = true;
    CHECK_FALSE(fixture.second_host_uses_primary());
    primary.breaks_connections = false;
    CHECK_FALSE(fixture.second_host_uses_primary());
    CHECK_FALSE(fixture.second->may_lead(id, boot_clock::now()));
    CHECK(fixture.second->primary_is_unconfirmed());
    primary.position = 12;
    fixture.second->on_status(id, {true, term_number{1}, primary.end_of_log(), {}},
                              fixture.second->highest_position(id));
    CHECK(fixture.second->may_lead(id, boot_clock::now()));
}

// A holder that was suspended for longer than its lock lasts would promote a second instance after
// its successor has promoted one.
TEST_CASE("a holder whose lock was taken while it was suspended sends no promotion request") {
    failover_fixture fixture;
    bool taken = false;
    const auto renew = [&] {
        fixture.store.put(
            lock_row,
            R"({"fence":2,"holder":"host-2","target":"","term":0,"open":true,"mark":"1"})");
    };
    fixture.on_directory_read = [&] {
        if (!std::exchange(taken, true)) {
            std::this_thread::sleep_for(seconds{4});
            renew();
        }
    };
    // A lock that is not renewed may be taken over.
    fixture.store.on_scan = [&] {
        if (taken) {
            renew();
        }
    };
    unsigned checks = 0;
    fixture.run_until([&] { return taken && ++checks > 50; });
    CHECK(fixture.promotions.orders.empty());
}

// While the row of a failover is open, no host uses a primary; a holder that ends must not leave it
// open.
TEST_CASE("the row of an abandoned failover is closed while the primary is alive") {
    failover_fixture fixture;
    auto& primary = fixture.connector.add("a", true);
    primary.position = 12;
    fixture.update();
    fixture.store.put(lock_row, encode_failover_row({4, true, {}, {}}, host_id{"host-2"}));
    fixture.group->on_failover_row(failover_record{4, true, {}, {}}, boot_clock::now());
    CHECK_FALSE(fixture.group->may_lead(instance_id{"a"}, boot_clock::now()));
    fixture.run_until([&] { return fixture.group->may_lead(instance_id{"a"}, boot_clock::now()); });
    CHECK(fixture.group->may_lead(instance_id{"a"}, boot_clock::now()));
    CHECK(fixture.promotions.orders.empty());
    CHECK(fixture.store.value_of(lock_row).find("\"open\":false") != std::string::npos);
}

namespace {

/// A group with the live primary "a" whose failover row was left open by a holder that is gone. Its
/// promotion request for "b" may still be carried out.
failover_record leave_request_pending(failover_fixture& fixture) {
    fixture.connector.add("a", true).position = 12;
    fixture.connector.at("b").held = term_number{2};
    fixture.connector.at("c").held = term_number{2};
    fixture.update();
    failover_record record{4, true, {}, {}};
    record.request_pending = true;
    fixture.store.put(lock_row, encode_failover_row(record, host_id{"host-2"}));
    fixture.group->on_failover_row(record, boot_clock::now());
    return record;
}

}  // namespace

// Guards against a late promotion call of a holder that is gone: it would discard what the old
// primary has acknowledged since the row was closed in its favour.
TEST_CASE("an abandoned failover is closed only after its pending promotion request is fenced") {
    failover_fixture fixture;
    leave_request_pending(fixture);
    bool open_when_fenced = false;
    bool held_when_fenced = false;
    fixture.promotions.on_promote = [&] {
        open_when_fenced = row_is_open(fixture);
        held_when_fenced = fixture.connector.at("b").held != term_number{};
    };
    fixture.run_until([&] { return !row_is_open(fixture); });
    REQUIRE(fixture.promotions.orders.size() == 1);
    CHECK(names_no_instance(fixture.promotions.orders[0]));
    CHECK(fixture.promotions.orders[0].fence > 4);
    CHECK(fixture.promotions.carry_out({instance_id{"b"}, 4}) == promotion_outcome::refused);
    CHECK(open_when_fenced);
    CHECK(held_when_fenced);
    CHECK_FALSE(row_is_open(fixture));
    CHECK(fixture.connector.at("b").held == term_number{});
    CHECK(fixture.group->may_lead(instance_id{"a"}, boot_clock::now()));
}

// An instance that refuses a status request counts as alive, but may have started again without its
// log. The request that fences pending ones would promote it.
TEST_CASE("pending requests are not fenced by an instance that no longer leads") {
    failover_fixture fixture;
    leave_request_pending(fixture);
    auto& former = fixture.connector.at("a");
    former.is_busy = true;
    bool stays_busy = false;
    SUBCASE("it has lost its log and remains busy") {
        stays_busy = true;
        former.is_primary = false;
        former.position = 0;
    }
    SUBCASE("it has lost its log") {
        former.is_primary = false;
        former.position = 0;
    }
    SUBCASE("it leads an earlier term") {
        fixture.group->on_status(instance_id{"b"}, {false, term_number{3}, {}, {}});
    }
    bool has_lock = false;
    fixture.store.on_commit = [&](const table_commit&) {
        has_lock = true;
        former.is_busy = stays_busy;
    };
    unsigned checks = 0;
    fixture.run_until([&] {
        checks += has_lock ? 1 : 0;
        return checks > 50 || !fixture.promotions.orders.empty();
    });
    REQUIRE(has_lock);
    for (const auto& order : fixture.promotions.orders) {
        CHECK(order.target != instance_id{"a"});
    }
}

TEST_CASE("a failover row stays open while the platform does not confirm its fencing token") {
    failover_fixture fixture;
    leave_request_pending(fixture);
    fixture.promotions.outcomes = {promotion_outcome::unknown, promotion_outcome::unknown};
    unsigned calls_while_open = 0;
    fixture.promotions.on_promote = [&] { calls_while_open += row_is_open(fixture) ? 1 : 0; };
    fixture.run_until([&] { return !row_is_open(fixture); });
    REQUIRE(fixture.promotions.orders.size() == 3);
    CHECK(calls_while_open == 3);
    CHECK(names_no_instance(fixture.promotions.orders.back()));
    CHECK_FALSE(row_is_open(fixture));
}

// A failover that ends without a promotion must not hide the pending request of an earlier one.
TEST_CASE("an attempt that finds no target leaves a pending request in the row") {
    failover_fixture fixture;
    failover_record record{4, true, {}, {}};
    record.request_pending = true;
    fixture.store.put(lock_row, encode_failover_row(record, host_id{"host-1"}));
    fixture.connector.at("b").refuses_connections = true;
    fixture.promotions.outcomes.assign(100, promotion_outcome::unknown);
    unsigned checks = 0;
    bool was_closed = false;
    fixture.run_until([&] {
        was_closed = was_closed || !row_is_open(fixture);
        return ++checks > 250;
    });
    CHECK_FALSE(was_closed);
    for (const auto& order : fixture.promotions.orders) {
        CHECK(names_no_instance(order));
    }
    const auto row =
        decode_failover_row({lock_row, fleet_version{1}, fixture.store.value_of(lock_row)});
    CHECK(row.record.open);
    CHECK(row.record.request_pending);
}

// Guards against a replica that stays held for good: it would lack all later commits when it is the
// only one left.
TEST_CASE("a replica whose resume request was lost is resumed later") {
    failover_fixture fixture;
    leave_request_pending(fixture);
    fixture.promotions.on_promote = [&] { fixture.connector.at("c").refuses_connections = true; };
    bool was_held_after_closing = false;
    fixture.run_until([&] {
        auto& replica = fixture.connector.at("c");
        if (!row_is_open(fixture) && !was_held_after_closing) {
            was_held_after_closing = replica.held != term_number{};
            replica.refuses_connections = false;
        }
        return was_held_after_closing && replica.held == term_number{};
    });
    CHECK(was_held_after_closing);
    CHECK(fixture.connector.at("c").held == term_number{});
}

// Until the outcome is recorded, no host uses the new primary.
TEST_CASE("a promotion whose outcome the store did not accept is recorded later") {
    failover_fixture fixture;
    fixture.promotions.on_promote = [&] { fixture.store.failures = 2; };
    fixture.run_until([&] {
        return fixture.store.value_of(lock_row).find("\"target\":\"c\"") != std::string::npos;
    });
    CHECK(fixture.promotions.orders.size() == 1);
    CHECK(fixture.store.value_of(lock_row).find("\"open\":false") != std::string::npos);
}

TEST_CASE("an unreadable failover row allows no primary and is replaced") {
    failover_fixture fixture;
    fixture.store.put(lock_row, "not json");
    const auto row = decode_failover_row({lock_row, fleet_version{1}, "not json"});
    CHECK(row.record.open);
    // The log holders of the row are lost, so that only the acknowledgements prove anything.
    fixture.confirmations = {confirmation("host-2", {first_term(9), first_term(12)})};
    fixture.confirmations[0].newest_proof = dated_position{boot_clock::now(), first_term(12)};
    fixture.run_until([&] { return fixture.group->primary() == instance_id{"c"}; });
    CHECK(fixture.store.value_of(lock_row).find("\"target\":\"c\"") != std::string::npos);
}

// On the grown lsf-lager site, hosts whose connections failed during an overload replaced primaries
// that were alive but at their connection limit.
TEST_CASE("a primary that refuses a connection because of its limit is not replaced") {
    partitioned_fixture fixture;
    fixture.connector.at("a").at_connection_limit = true;
    fixture.connector.at("a").fails_probes = true;
    fixture.first = fixture.make_group(fixture.connector);
    fixture.connector.at("a").refuses_connections = true;
    const auto deadline = steady_clock::now() + seconds{10};
    while (!fixture.first->primary_is_dead(steady_clock::now()) && steady_clock::now() < deadline) {
        boost::asio::co_spawn(fixture.context,
                              fixture.use_primary(fixture.first, milliseconds{150}),
                              boost::asio::detached);
        fixture.run_for(milliseconds{100});
    }
    REQUIRE(fixture.first->primary_is_dead(steady_clock::now()));
    fixture.connector.at("a").refuses_connections = false;
    const auto failover = fixture.start_failover(0);
    fixture.run_for(seconds{1});
    failover->stop();
    CHECK(fixture.promotions.orders.empty());
    CHECK_FALSE(fixture.first->primary_is_dead(steady_clock::now()));
}

// A host that is itself cut off or slow must not replace a primary that serves the other hosts.
TEST_CASE("a primary that answers another host is not replaced") {
    partitioned_fixture fixture;
    fixture.second_answers = true;
    const auto failover = fixture.start_failover(0);
    for (int i = 0; i < 15; ++i) {
        CHECK(fixture.second_host_uses_primary());
        fixture.run_for(milliseconds{100});
    }
    failover->stop();
    CHECK(fixture.promotions.orders.empty());
}

// Guards against the replacement of a primary that is well: a large configuration filled the links
// of many hosts, so that neither the primary nor any other host replied to one of them.
TEST_CASE("a host that no other host replies to replaces no primary at once") {
    partitioned_fixture fixture;
    fixture.silent_when_asked = 5;
    const auto failover = fixture.start_failover(0);
    const auto deadline = steady_clock::now() + seconds{5};
    while (!fixture.first_asked_at && steady_clock::now() < deadline) {
        fixture.run_for(milliseconds{20});
    }
    REQUIRE(fixture.first_asked_at);
    fixture.run_for(inconclusive_limit - milliseconds{200});
    failover->stop();
    CHECK(fixture.promotions.orders.empty());
    CHECK(fixture.second_host_uses_primary());
}

// In the incident the links stayed full for 8 s, longer than a host may wait for other hosts.
TEST_CASE("a host that reaches neither hosts nor replicas does not acquire the failover lock") {
    partitioned_fixture fixture;
    fixture.silent_when_asked = 5;
    fixture.connector.at("b").refuses_connections = true;
    fixture.connector.at("c").refuses_connections = true;
    const auto failover = fixture.start_failover(0);
    fixture.run_for(2 * inconclusive_limit);
    failover->stop();
    REQUIRE(fixture.first_asked_at);
    CHECK_FALSE(fixture.lock_was_acquired());
    CHECK(fixture.second_host_uses_primary());
}

// In the incident the links became free for moments: the replies of hosts that never use the
// primary arrived, and it would have answered as well.
TEST_CASE("a primary that answers once other hosts reply is not replaced") {
    partitioned_fixture fixture;
    fixture.silent_when_asked = 2;
    fixture.hosts_without_evidence = 3;
    fixture.on_asked = [&] { fixture.first_reaches_primary(true); };
    const auto failover = fixture.start_failover(0);
    fixture.run_for(seconds{2});
    failover->stop();
    REQUIRE(fixture.first_asked_at);
    CHECK(fixture.promotions.orders.empty());
    CHECK_FALSE(fixture.lock_was_acquired());
}

// Over a slow link, replicas answered in their 500 ms and hosts in their 250 ms, but a primary that
// was well had only 150 ms.
TEST_CASE("a primary that answers as slowly as the replicas is not replaced") {
    partitioned_fixture fixture;
    fixture.hosts_without_evidence = 3;
    SUBCASE("all answers take 200 ms") {
        fixture.reply_delay = milliseconds{200};
        for (const auto* name : {"a", "b", "c"}) {
            fixture.connector.at(name).answer_delay = milliseconds{200};
        }
    }
    SUBCASE("the connection to the primary is ready in time, but its status is late") {
        fixture.connector.at("a").answer_delay = milliseconds{300};
    }
    // A probe that succeeds would show that the primary is alive.
    fixture.connector.at("a").fails_probes = true;
    fixture.on_asked = [&] { fixture.first_reaches_primary(true); };
    const auto failover = fixture.start_failover(0);
    fixture.run_until_asked();
    fixture.run_for(seconds{2});
    failover->stop();
    REQUIRE(fixture.first_asked_at);
    CHECK(fixture.promotions.orders.empty());
    CHECK_FALSE(fixture.lock_was_acquired());
    CHECK_FALSE(fixture.first->primary_is_dead(steady_clock::now()));
}

// Guards against rounds that take as long as all silent instances together.
TEST_CASE("silent instances delay a round by the time of one") {
    partitioned_fixture fixture;
    fixture.hosts_without_evidence = 3;
    for (const auto* name : {"d", "e", "f"}) {
        fixture.connector.add(name, false).position = 10;
    }
    fixture.first = fixture.make_group(fixture.connector);
    for (const auto* name : {"a", "d", "e", "f"}) {
        fixture.connector.at(name).answer_delay = seconds{60};
    }
    fixture.connector.at("a").fails_probes = true;
    const auto failover = fixture.start_failover(0);
    const auto deadline = steady_clock::now() + seconds{5};
    while (!fixture.lock_was_acquired() && steady_clock::now() < deadline) {
        fixture.run_for(milliseconds{20});
    }
    failover->stop();
    REQUIRE(fixture.first_asked_at);
    CHECK(fixture.lock_was_acquired());
    CHECK(steady_clock::now() - *fixture.first_asked_at < seconds{1});
}

// A group whose replicas were overloaded was not failed over: refusals counted as silence.
TEST_CASE("replicas that refuse a status request show that this host is connected") {
    partitioned_fixture fixture;
    fixture.hosts_without_evidence = 3;
    // Refusals don't tell the term, which hosts with traffic know.
    fixture.first->set_primary(instance_id{"a"}, term_number{1}, "test");
    SUBCASE("they are busy") {
        for (const auto* name : {"b", "c"}) {
            fixture.connector.at(name).is_busy = true;
        }
    }
    SUBCASE("they are at their connection limit") {
        for (const auto* name : {"b", "c"}) {
            fixture.connector.at(name).at_connection_limit = true;
        }
    }
    const auto failover = fixture.start_failover(0);
    const auto deadline = steady_clock::now() + seconds{5};
    while (!fixture.lock_was_acquired() && steady_clock::now() < deadline) {
        fixture.run_for(milliseconds{20});
    }
    CHECK(fixture.lock_was_acquired());
    for (const auto* name : {"b", "c"}) {
        fixture.connector.at(name).at_connection_limit = false;
    }
    fixture.run_until_promoted();
    failover->stop();
    CHECK(fixture.promotions.orders.size() == 1);
}

// An instance with another id at the address of a replica does not show that a replica could be
// promoted.
TEST_CASE("a refusal by an instance with another id is no answer of a replica") {
    partitioned_fixture fixture;
    fixture.hosts_without_evidence = 3;
    for (const auto* name : {"b", "c"}) {
        fixture.connector.at(name).has_other_id = true;
    }
    const auto failover = fixture.start_failover(0);
    fixture.run_for(seconds{1});
    failover->stop();
    REQUIRE(fixture.first_asked_at);
    CHECK_FALSE(fixture.lock_was_acquired());
}

// Replicas are busy for moments in an overload; each such round started the limit anew.
TEST_CASE("a round in which all replicas are busy does not delay the failover") {
    partitioned_fixture fixture;
    fixture.silent_when_asked = 5;
    unsigned rounds = 0;
    fixture.on_asked = [&] {
        ++rounds;
        for (const auto* name : {"b", "c"}) {
            fixture.connector.at(name).is_busy = rounds % 2 == 0;
        }
    };
    const auto failover = fixture.start_failover(0);
    fixture.run_until_promoted();
    failover->stop();
    REQUIRE(fixture.promotions.orders.size() == 1);
    CHECK(rounds >= 3);
    CHECK(steady_clock::now() - *fixture.first_asked_at < inconclusive_limit + seconds{1});
}

// A busy primary was replaced when a row had been left open: its refusal counted only if this host
// had found it dead before.
TEST_CASE("a refusal by a primary that was not found dead shows that it is alive") {
    failover_fixture fixture;
    fixture.connector.add("a", true).position = 12;
    fixture.connector.at("a").is_busy = true;
    fixture.update();
    const failover_record abandoned{4, true, {}, {}};
    fixture.store.put(lock_row, encode_failover_row(abandoned, host_id{"host-2"}));
    fixture.group->on_failover_row(abandoned, boot_clock::now());
    REQUIRE_FALSE(fixture.group->primary_is_dead(steady_clock::now()));
    fixture.run_until([&] { return fixture.group->may_lead(instance_id{"a"}, boot_clock::now()); });
    CHECK(fixture.promotions.orders.empty());
    CHECK(fixture.group->may_lead(instance_id{"a"}, boot_clock::now()));
}

// Rounds of a host that reaches nothing load the link that is full.
TEST_CASE("a host that reaches neither hosts nor replicas asks again after the usual delay") {
    partitioned_fixture fixture;
    fixture.silent_when_asked = 5;
    fixture.connector.at("b").refuses_connections = true;
    fixture.connector.at("c").refuses_connections = true;
    unsigned rounds = 0;
    fixture.on_asked = [&] { ++rounds; };
    const auto failover = fixture.start_failover(0);
    fixture.run_for(seconds{2});
    failover->stop();
    CHECK(rounds >= 2);
    CHECK(rounds <= 5);
}

// Guards against a second attempt without a verdict: the primary may have answered others
// meanwhile.
TEST_CASE("an attempt that ended without a promotion is followed by a new verdict") {
    partitioned_fixture fixture;
    fixture.silent_when_asked = 5;
    std::vector<time_point> ordered_at;
    fixture.promotions.outcomes = {promotion_outcome::refused};
    fixture.promotions.on_promote = [&] { ordered_at.push_back(steady_clock::now()); };
    const auto failover = fixture.start_failover(0);
    fixture.run_until_promoted();
    const auto deadline = steady_clock::now() + seconds{5};
    while (ordered_at.size() < 2 && steady_clock::now() < deadline) {
        fixture.run_for(milliseconds{20});
    }
    failover->stop();
    REQUIRE(ordered_at.size() >= 2);
    CHECK(ordered_at[1] - ordered_at[0] >= inconclusive_limit);
}

// A group must not remain without a primary because the hosts that could confirm its death have
// failed with it.
TEST_CASE("a primary is replaced in time although no other host replies") {
    partitioned_fixture fixture;
    fixture.silent_when_asked = 5;
    const auto failover = fixture.start_failover(0);
    fixture.run_until_promoted();
    failover->stop();
    REQUIRE(fixture.promotions.orders.size() == 1);
    REQUIRE(fixture.first_asked_at);
    const auto waited = steady_clock::now() - *fixture.first_asked_at;
    CHECK(waited >= inconclusive_limit);
    CHECK(waited < inconclusive_limit + seconds{1});
}

// Two holders promoted with one fencing token: the store had been restored to a copy without the
// first promotion, and the second holder had started after that.
TEST_CASE("fencing tokens are not reused after a restore of the store") {
    const auto store = std::make_shared<fake_store>();
    store->copy();
    const auto promote = [&] {
        failover_fixture fixture{store};
        fixture.run_until([&] { return fixture.group->primary() == instance_id{"c"}; });
        REQUIRE(fixture.promotions.orders.size() == 1);
        return fixture.promotions.orders[0].fence;
    };
    const auto first = promote();
    store->restore();
    const auto second = promote();
    CHECK(second > first);
    store->restore();
    CHECK(promote() > second);
}

// The holder of a lock that a restore of the store had erased sent its order, although another host
// could acquire the lock.
TEST_CASE("a holder whose lock was lost by a restore of the store sends no order") {
    failover_fixture fixture;
    fixture.store.copy();
    bool restored = false;
    bool replaced = false;
    SUBCASE("the lock row is missing") {}
    SUBCASE("another lock row has the version of the lost one") { replaced = true; }
    fixture.on_directory_read = [&] {
        if (std::exchange(restored, true)) {
            return;
        }
        fixture.store.restore();
        if (replaced) {
            fixture.store.put(lock_row,
                              R"({"fence":4294967297,"holder":"host-2","open":true,"mark":"1"})");
        }
    };
    fixture.run_until([&] { return !fixture.promotions.orders.empty(); });
    REQUIRE(restored);
    for (const auto& order : fixture.promotions.orders) {
        CHECK(order.fence > fence_base(store_era{2}));
    }
}

// A group that had been failed over remained without a usable primary after a restore of the store
// to a copy from before the promotion.
TEST_CASE("a promotion that a restore of the store has lost is recorded again") {
    failover_fixture fixture;
    std::string holder;
    SUBCASE("the copy has no row") {}
    SUBCASE("the copy has the lock of the attempt") { holder = "host-2"; }
    if (!holder.empty()) {
        fixture.store.put(lock_row,
                          R"({"fence":1,"holder":"host-2","target":"","open":true,"mark":"1"})");
    }
    fixture.store.copy();
    fixture.store.put(lock_row,
                      R"({"fence":1,"holder":"host-2","target":"c","term":1,"open":false})");
    fixture.connector.at("c").is_primary = true;
    fixture.group->on_failover_row(failover_record{1, false, instance_id{"c"}, term_number{1}},
                                   boot_clock::now(), store_era{1});
    fixture.store.restore();
    const auto row =
        holder.empty() ? std::optional<failover_record>{} : failover_record{1, true, {}, {}};
    fixture.group->on_failover_row(row, boot_clock::now(), store_era{2});
    REQUIRE(fixture.group->last_failover_is_lost());
    const auto started = steady_clock::now();
    fixture.run_until([&] { return !fixture.group->last_failover_is_lost(); });
    // The lock of an attempt that is known to have ended need not expire.
    CHECK(steady_clock::now() - started < seconds{5});
    CHECK(fixture.promotions.orders.empty());
    const auto value = fixture.store.value_of(lock_row);
    CHECK(value.find("\"open\":false") != std::string::npos);
    CHECK(value.find("\"target\":\"c\"") != std::string::npos);
    CHECK(fixture.group->last_failover().fence > fence_base(store_era{2}));
    CHECK(fixture.group->may_lead(instance_id{"c"}, boot_clock::now()));
}

// Hosts that started later took the replaced primary for the current one.
TEST_CASE("a promotion during which the store is restored is recorded") {
    failover_fixture fixture;
    fixture.store.copy();
    fixture.promotions.on_promote = [&] { fixture.store.restore(); };
    fixture.run_until([&] {
        return fixture.group->primary().has_value() &&
               !fixture.group->last_failover().target.empty();
    });
    CHECK(fixture.promotions.orders.size() == 1);
    const auto value = fixture.store.value_of(lock_row);
    CHECK(value.find("\"target\":\"c\"") != std::string::npos);
    CHECK(value.find("\"open\":false") != std::string::npos);
    CHECK(fixture.group->last_failover().fence > fence_base(store_era{2}));
}
