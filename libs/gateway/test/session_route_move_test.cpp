#include <doctest/doctest.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "caller_session.hpp"
#include "fakes.hpp"
#include "local_group.hpp"

using namespace masticgrade;
using namespace masticgrade::test;

namespace {

const std::string key = "key-of-the-parish";
const customer_id customer{"parish"};
const group_id ledger{"ledger"};
const group_id archive{"archive"};

caller_statement read(const std::string& id) {
    return make_statement(id, "read x", plain_statement{access_kind::read});
}
caller_statement write(const std::string& id) {
    return make_statement(id, "write x", plain_statement{access_kind::write});
}
caller_statement begin() { return make_statement("b", "begin", begin_transaction{}); }
caller_statement commit(const std::string& id) {
    return make_statement(id, "commit", commit_transaction{});
}

/// Two database groups, each with a primary and a replica, and a session whose database an operator
/// moves between them. The replica of the ledger receives nothing.
class moving_route {
public:
    moving_route()
        : limiter_(boot_clock::now() - seconds{30}),
          environment_{context_.get_executor(), control_, limiter_, metrics_,
                       [this](const group_id& name) { return groups_.at(name); }} {
        limiter_.configure({{customer, {1000, 1000}}}, boot_clock::now() - seconds{30});
        add_group(ledger, ledger_instances);
        add_group(archive, archive_instances);
        // Each log has its own numbers.
        ledger_instances.at("ledger-primary").position = 40;
        ledger_instances.at("ledger-replica").position = 40;
        archive_instances.at("archive-primary").position = 3;
        archive_instances.at("archive-replica").position = 3;
        prove_positions();
        move_to(ledger);
    }

    void move_to(const group_id& name) {
        auto configuration = std::make_shared<gateway_configuration>();
        configuration->version = ++version_;
        database_route route;
        route.database = "bookings";
        route.group = name;
        route.consistency = read_consistency::session;
        route.max_staleness = seconds{60};
        route.statement_timeout = milliseconds{2000};
        route.latency_objective = milliseconds{500};
        configuration->routes[route.database] = route;
        masticgrade::configuration owners;
        auto& owner = owners.customers[customer];
        owner.name = customer;
        const auto hash = to_key_hash(digest_key(key));
        owner.keys.push_back({key_id{hash.str()}, hash});
        configuration->keys = std::make_shared<const key_index>(owners, operations{});
        control_.apply({std::move(configuration), {}}, boot_clock::now());
    }

    void move_after(milliseconds delay, const group_id& name) {
        const auto move = [this, delay, name]() -> boost::asio::awaitable<void> {
            boost::asio::steady_timer timer{context_, delay};
            co_await timer.async_wait(boost::asio::use_awaitable);
            move_to(name);
        };
        boost::asio::co_spawn(context_, move, boost::asio::detached);
    }

    /// Proves positions that are recent enough for the routes' staleness.
    void prove_positions() {
        for (const auto& [name, group] : groups_) {
            group->add_proof(instance_id{name.str() + "-primary"}, boot_clock::now(),
                             instances_of(name).at(name.str() + "-replica").end_of_log());
        }
    }

    void run(const std::shared_ptr<fake_caller>& caller) {
        session_ = std::make_shared<caller_session>(caller, environment_);
        boost::asio::co_spawn(context_, session_->run(), boost::asio::detached);
        context_.restart();
        context_.run();
    }

    fake_connector& instances_of(const group_id& name) {
        return name == ledger ? ledger_instances : archive_instances;
    }

    fake_connector ledger_instances;
    fake_connector archive_instances;

private:
    void add_group(const group_id& name, fake_connector& instances) {
        instances.add(name.str() + "-primary", true);
        instances.add(name.str() + "-replica", false);
        auto group = std::make_shared<backend_group>(
            name, make_local_environment(context_.get_executor(), instances, metrics_));
        prove_leadership(*group);
        group_settings settings;
        settings.name = name;
        settings.max_connections = 20;
        group->update(settings, instances.entries(), {});
        groups_[name] = group;
    }

    boost::asio::io_context context_{1};
    control_state control_;
    usage_limiter limiter_;
    gateway_metrics metrics_;
    std::map<group_id, std::shared_ptr<backend_group>> groups_;
    session_environment environment_;
    std::shared_ptr<caller_session> session_;
    std::uint64_t version_ = 0;
};

}  // namespace

// Guards against a session that misses its own commit after its database has moved to another group
// and back: the commit on the other group replaced the position that its reads required.
TEST_CASE("a session sees its own commit after its route has moved to another group and back") {
    moving_route fixture;
    std::vector<caller_statement> statements{write("first")};
    std::map<std::size_t, std::function<void()>> before;
    std::size_t read_index = 0;
    SUBCASE("single statements") {
        before[1] = [&] { fixture.move_to(archive); };
        statements.push_back(write("second"));
    }
    SUBCASE("transactions") {
        statements = {begin(), write("w1"), commit("first")};
        before[3] = [&] { fixture.move_to(archive); };
        statements.insert(statements.end(), {begin(), write("w2"), commit("second")});
    }
    SUBCASE("a commit under way as the route moves") {
        fixture.ledger_instances.at("ledger-primary").answer_delay = milliseconds{40};
        fixture.move_after(milliseconds{10}, archive);
        statements.push_back(write("second"));
    }
    SUBCASE("a primary of a later term on the other group") {
        fixture.archive_instances.at("archive-primary").term = term_number{9};
        before[1] = [&] { fixture.move_to(archive); };
        statements.push_back(write("second"));
    }
    read_index = statements.size();
    // The read fails on the primary, and the replica lacks the commit.
    before[read_index] = [&] {
        fixture.ledger_instances.at("ledger-primary").breaks_before.insert("read x");
        fixture.move_to(ledger);
    };
    statements.push_back(read("r1"));
    const auto caller = std::make_shared<fake_caller>(session_request{"bookings", key}, statements);
    caller->before = before;
    fixture.run(caller);

    REQUIRE(caller->answers.size() == statements.size());
    for (std::size_t i = 0; i < read_index; ++i) {
        CHECK(caller->answers[i].code == answer_code::done);
    }
    const auto& primary = fixture.ledger_instances.at("ledger-primary");
    const auto& replica = fixture.ledger_instances.at("ledger-replica");
    CHECK(primary.position == 41);
    CHECK(replica.position == 40);
    CHECK(replica.runs_of("r1") == 0);
}

// Guards against reads that wait for a position of another group's log, which has more entries.
TEST_CASE("a read on another group does not require the session's commit of the first one") {
    moving_route fixture;
    const auto caller =
        std::make_shared<fake_caller>(session_request{"bookings", key},
                                      std::vector<caller_statement>{write("first"), read("r1")});
    caller->before[1] = [&] { fixture.move_to(archive); };
    fixture.run(caller);
    REQUIRE(caller->answers.size() == 2);
    CHECK(caller->answers[1].code == answer_code::done);
    const auto& replica = fixture.archive_instances.at("archive-replica");
    for (const auto& statement : replica.executed) {
        CHECK(statement.at_least == replica.end_of_log());
    }
    CHECK(replica.runs_of("r1") + fixture.archive_instances.at("archive-primary").runs_of("r1") ==
          1);
}
