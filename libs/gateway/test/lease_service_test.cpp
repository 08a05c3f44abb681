#include "lease_service.hpp"

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "fakes.hpp"
#include "local_group.hpp"

using namespace masticgrade;
using namespace masticgrade::test;
namespace asio = boost::asio;

namespace {

const group_id group_name{"ledger"};
const instance_id primary{"a"};

/// One process of a host: its network, its group and its lease service.
class host_process {
public:
    host_process(asio::io_context& context, fake_connector& connector,
                 std::map<host_id, endpoint_address>& addresses, const std::string& name,
                 std::uint64_t incarnation)
        : addresses_(addresses), incarnation_(incarnation) {
        auto environment = make_local_environment(context.get_executor(), connector, metrics_);
        group_ = std::make_shared<backend_group>(group_name, std::move(environment));
        prove_leadership(*group_);
        group_settings settings;
        settings.name = group_name;
        settings.max_connections = 20;
        settings.customers = 2;
        group_->update(settings, connector.entries(), {});

        peer::network_options options;
        options.listen = endpoint_address{"127.0.0.1:0"};
        options.sender = host_id{name};
        network_ = std::make_unique<peer::peer_network>(
            context.get_executor(), std::move(options),
            [this](peer::envelope message) { return service->on_message(std::move(message)); });
        network_->set_identity(incarnation_, {});
        addresses[host_id{name}] = network_->local_address();
        service = std::make_shared<lease_service>(lease_environment{
            context.get_executor(), *network_, [this](const group_id&) { return group_; },
            [this](const host_id& host) { return find_address(host); }, [] { return true; },
            [](const row_query&) { return row_reply{}; },
            [this] {
                return std::chrono::duration_cast<milliseconds>(boot_clock::now() - started_);
            },
            [] {}, incarnation_});
    }
    host_process(const host_process&) = delete;
    host_process& operator=(const host_process&) = delete;
    ~host_process() { kill(); }

    /// Ends all connections to other hosts, as the end of the process does.
    void kill() { network_->stop(); }

    [[nodiscard]] incarnation_number incarnation() const { return incarnation_; }
    [[nodiscard]] const std::shared_ptr<backend_group>& group() const { return group_; }

private:
    [[nodiscard]] std::optional<endpoint_address> find_address(const host_id& host) const {
        const auto found = addresses_.find(host);
        return found == addresses_.end() ? std::nullopt : std::optional{found->second};
    }

    std::map<host_id, endpoint_address>& addresses_;
    incarnation_number incarnation_;
    boot_time started_ = boot_clock::now() - seconds{10};
    gateway_metrics metrics_;
    std::shared_ptr<backend_group> group_;
    std::unique_ptr<peer::peer_network> network_;

public:
    std::shared_ptr<lease_service> service;
};

/// A pool owner and hosts that borrow its connections to the primary.
class lease_fixture {
public:
    lease_fixture() {
        connector.add("a", true);
        start_owner(0x11);
        borrower = start("borrower", 0x22);
    }

    std::unique_ptr<host_process> start(const std::string& name, std::uint64_t incarnation) {
        return std::make_unique<host_process>(context_, connector, addresses_, name, incarnation);
    }

    void start_owner(std::uint64_t incarnation) {
        if (owner) {
            owner->kill();
            killed_.push_back(std::move(owner));
        }
        owner = start("owner", incarnation);
    }

    /// Reports the process to the owner, which measures the delay of its messages.
    void report(host_process& process, const std::string& name) {
        owner->service->on_report(host_id{name}, process.incarnation());
        constexpr milliseconds measuring_time{150};
        context_.restart();
        context_.run_for(measuring_time);
    }

    template <class Result>
    std::optional<Result> wait_for(asio::awaitable<Result> task) {
        struct outcome {
            std::optional<Result> result;
            bool ended = false;
        };
        const auto awaited = std::make_shared<outcome>();
        asio::co_spawn(context_, std::move(task),
                       [awaited](const std::exception_ptr& failure, Result value) {
                           awaited->ended = true;
                           if (!failure) {
                               awaited->result = std::move(value);
                           }
                       });
        while (!awaited->ended) {
            context_.restart();
            context_.run_for(milliseconds{5});
        }
        return awaited->result;
    }

    /// Leases a connection to the primary from the owner's pool.
    std::shared_ptr<remote_connection> acquire(host_process& process, const std::string& customer) {
        acquire_request request;
        request.queue_entry.customer = customer_id{customer};
        request.queue_entry.needs_primary = true;
        request.queue_entry.deadline = steady_clock::now() + seconds{2};
        request.queue_entry.latest_start = request.queue_entry.deadline;
        auto result = wait_for(process.service->acquire_remote(host_id{"owner"}, primary,
                                                               group_name, std::move(request)));
        REQUIRE(result.has_value());
        REQUIRE(result->connection != nullptr);
        return result->connection;
    }

    /// Whether the statement was answered on the connection.
    bool run(const std::shared_ptr<remote_connection>& connection, backend_request step) {
        std::vector<backend_request> steps;
        steps.push_back(std::move(step));
        return wait_for(connection->run(std::move(steps), steady_clock::now() + seconds{2}))
            .has_value();
    }

    bool run(const std::shared_ptr<remote_connection>& connection, const std::string& id,
             const std::string& text) {
        return run(connection, backend_statement{statement_id{id}, text, {}});
    }

    void let_messages_arrive() {
        constexpr milliseconds transit_time{100};
        context_.restart();
        context_.run_for(transit_time);
    }

private:
    asio::io_context context_{1};
    std::map<host_id, endpoint_address> addresses_;
    /// Their coroutines still refer to them.
    std::vector<std::unique_ptr<host_process>> killed_;

public:
    fake_connector connector;
    std::unique_ptr<host_process> owner;
    std::unique_ptr<host_process> borrower;
};

}  // namespace

// Guards against a commit in another caller's transaction: a lease of a pool owner's earlier
// process must not name a connection that the new process has leased to somebody else.
TEST_CASE("a lease does not outlive the process of the pool owner that granted it") {
    lease_fixture fixture;
    fixture.report(*fixture.borrower, "borrower");
    const auto first = fixture.acquire(*fixture.borrower, "parish");
    REQUIRE(fixture.run(first, backend_begin{}));
    REQUIRE(fixture.run(first, "w1", "write first"));

    fixture.start_owner(0x12);
    fixture.report(*fixture.borrower, "borrower");
    const auto other = fixture.acquire(*fixture.borrower, "harbour");
    REQUIRE(fixture.run(other, backend_begin{}));
    REQUIRE(fixture.run(other, "w2", "write other"));

    CHECK_FALSE(fixture.run(first, "c1", "commit"));
    CHECK(fixture.connector.at("a").runs_of("c1") == 0);
    CHECK(fixture.run(other, "r2", "read"));
}

// Guards against a release from before a restart that ends another caller's lease.
TEST_CASE("the release of an earlier process's lease ends no other lease") {
    lease_fixture fixture;
    fixture.report(*fixture.borrower, "borrower");
    auto first = fixture.acquire(*fixture.borrower, "parish");
    fixture.start_owner(0x12);
    fixture.report(*fixture.borrower, "borrower");
    const auto other = fixture.acquire(*fixture.borrower, "harbour");
    REQUIRE(fixture.run(other, backend_begin{}));

    first->close();
    fixture.let_messages_arrive();
    CHECK(fixture.run(other, "r2", "read"));
}

// Guards against a delayed commit of a caller that has been told that its transaction is over.
TEST_CASE("a request that arrives after the release of its lease is not run") {
    lease_fixture fixture;
    fixture.report(*fixture.borrower, "borrower");
    const auto lease = fixture.acquire(*fixture.borrower, "parish");
    REQUIRE(fixture.run(lease, backend_begin{}));
    REQUIRE(fixture.run(lease, "w1", "write"));
    const lease_id number = fixture.owner->service->active_lease_ids().front();
    lease->close();
    fixture.let_messages_arrive();

    run_request call;
    call.lease = number;
    call.steps.emplace_back(backend_statement{statement_id{"c1"}, "commit", {}});
    const auto reply = fixture.wait_for(fixture.borrower->service->run(
        host_id{"owner"}, std::move(call), steady_clock::now() + seconds{2}));
    REQUIRE(reply.has_value());
    CHECK(reply->failure == lease_failure::not_served);
    CHECK(fixture.connector.at("a").runs_of("c1") == 0);
    CHECK(fixture.connector.at("a").rollbacks == 1);
    CHECK(fixture.connector.at("a").commits == 0);
}

// Guards against statements of one host that run on a connection leased to another.
TEST_CASE("a lease is used and released only by the process that holds it") {
    lease_fixture fixture;
    fixture.report(*fixture.borrower, "borrower");
    const auto lease = fixture.acquire(*fixture.borrower, "parish");
    REQUIRE(fixture.run(lease, backend_begin{}));
    const auto third = fixture.start("third", 0x33);
    fixture.report(*third, "third");
    const lease_id number = fixture.owner->service->active_lease_ids().front();

    run_request call;
    call.lease = number;
    call.steps.emplace_back(backend_statement{statement_id{"x1"}, "commit", {}});
    const auto reply = fixture.wait_for(
        third->service->run(host_id{"owner"}, std::move(call), steady_clock::now() + seconds{2}));
    REQUIRE(reply.has_value());
    CHECK(reply->failure == lease_failure::not_served);
    third->service->close(host_id{"owner"}, number);
    fixture.let_messages_arrive();
    CHECK(fixture.connector.at("a").runs_of("x1") == 0);
    CHECK(fixture.run(lease, "r1", "read"));
}

// The borrower took an answer that was sent twice for a lost connection, and promised its caller
// that nothing was kept.
TEST_CASE("a borrower is told that an answer could not be matched") {
    lease_fixture fixture;
    fixture.report(*fixture.borrower, "borrower");
    const auto lease = fixture.acquire(*fixture.borrower, "parish");
    fixture.connector.at("a").mismatched_answers = {"write x"};
    run_request call;
    call.lease = fixture.owner->service->active_lease_ids().front();
    call.steps.emplace_back(backend_statement{statement_id{"w1"}, "write x", {}});
    const auto reply = fixture.wait_for(fixture.borrower->service->run(
        host_id{"owner"}, std::move(call), steady_clock::now() + seconds{2}));
    REQUIRE(reply.has_value());
    CHECK(reply->failure == lease_failure::mismatched);
}

// Guards against a promotion that does not take into account what a host has acknowledged over a
// connection leased from another host.
TEST_CASE("a host tells what it has acknowledged over leased connections") {
    lease_fixture fixture;
    auto& primary_state = fixture.connector.at("a");
    primary_state.position = 30;
    fixture.report(*fixture.borrower, "borrower");
    auto connection = std::make_unique<pooled_connection>();
    connection->remote = fixture.acquire(*fixture.borrower, "parish");
    connection->instance = primary;
    connection->customer = customer_id{"parish"};
    connection->needs_primary = true;
    connection_lease lease{fixture.borrower->group(), std::move(connection)};
    const auto run = [&](const char* id, const char* text, bool is_commit) {
        const backend_statement statement{statement_id{id}, text, std::nullopt};
        const auto answer = fixture.wait_for(
            lease.execute(statement, is_commit, is_commit, steady_clock::now() + seconds{2}));
        return answer && answer->code == answer_code::done;
    };
    REQUIRE(run("w1", "write x", true));
    REQUIRE(fixture.wait_for(lease.begin(false, std::nullopt, steady_clock::now() + seconds{2})));
    REQUIRE(run("w2", "write x", false));
    REQUIRE(run("c1", "commit", true));
    const auto before = boot_clock::now();
    const auto told = fixture.wait_for(fixture.owner->service->announce_failover(
        host_id{"borrower"}, {group_name, 7}, steady_clock::now() + seconds{2}));
    REQUIRE(told.has_value());
    REQUIRE(told->has_value());
    const auto& answer = **told;
    CHECK(answer.host == host_id{"borrower"});
    REQUIRE(answer.bounds);
    const auto at = [](std::uint64_t number) {
        return log_index{term_number{1}, log_position{number}};
    };
    CHECK(answer.bounds->up_to == at(32));
    CHECK(answer.bounds->beyond == at(31));
    REQUIRE(answer.newest_proof);
    CHECK(answer.newest_proof->position == at(32));
    CHECK(answer.newest_proof->moment <= before);
    // The processes of this test have been running for 10 s.
    CHECK(answer.started >= before - seconds{11});
    CHECK(answer.started <= boot_clock::now() - seconds{10});
    CHECK_FALSE(fixture.borrower->group()->may_lead(primary, boot_clock::now()));
}
