#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <optional>
#include <vector>

#include "fakes.hpp"
#include "local_group.hpp"

using namespace masticgrade;
using namespace masticgrade::test;
namespace asio = boost::asio;

namespace {

/// The slots of a fake instance and the statements in transit.
constexpr unsigned full_pace = 5;

/// Connects to the instances, or refuses as busy after a while.
class pausing_connector final : public instance_connector {
public:
    explicit pausing_connector(fake_connector& instances) : instances_(instances) {}

    asio::awaitable<instance_connection_ptr> connect(instance_entry instance, customer_id customer,
                                                     time_point deadline) override {
        if (busy_after) {
            asio::steady_timer pause{co_await asio::this_coro::executor, *busy_after};
            co_await pause.async_wait(asio::use_awaitable);
            throw connection_refused_error(instance.id.str(), answer_code::busy);
        }
        co_return co_await instances_.connect(std::move(instance), std::move(customer), deadline);
    }
    asio::awaitable<bool> is_reachable(endpoint_address address, time_point deadline) override {
        return instances_.is_reachable(std::move(address), deadline);
    }
    [[nodiscard]] std::optional<instance_status> read_status(
        const statement_answer& answer) const override {
        return instances_.read_status(answer);
    }

    std::optional<duration> busy_after;

private:
    fake_connector& instances_;
};

/// A group on the only host, and operations that hold their connections until they are told to
/// send their statement.
class pacing_fixture {
public:
    explicit pacing_fixture(bool paced) {
        settings.name = group_id{"ledger"};
        settings.max_connections = 20;
        settings.customers = 1;
        auto environment = make_local_environment(context_.get_executor(), pauses, metrics_);
        environment.paces_instances = paced;
        environment.pool_owner_of = [this](const instance_entry&) { return owner; };
        environment.host_rank = [this](const instance_id&) { return rank; };
        environment.live_host_count = [this] { return hosts; };
        connector.add("a", true);
        group = std::make_shared<backend_group>(settings.name, std::move(environment));
        prove_leadership(*group);
    }

    void read_directory() { group->update(settings, connector.entries(), {}); }

    /// Number of `operations` on the instance that get a connection at once. Ends all of them.
    unsigned started_at_once(const std::string& instance, unsigned operations) {
        started_ = 0;
        gate_.expires_at(time_point::max());
        for (unsigned i = 0; i < operations; ++i) {
            spawn(instance, seconds{2});
        }
        run(milliseconds{30});
        const unsigned result = started_;
        gate_.expires_at(time_point::min());
        run(milliseconds{30});
        return result;
    }

    /// The times at which the operations on the instance had their answers.
    std::vector<time_point> answer_times(const std::string& instance, unsigned operations,
                                         duration time_limit) {
        answered_.clear();
        gate_.expires_at(time_point::min());
        for (unsigned i = 0; i < operations; ++i) {
            spawn(instance, time_limit);
        }
        const auto end = steady_clock::now() + time_limit;
        while (steady_clock::now() < end && answered_.size() < operations) {
            run(milliseconds{10});
            group->tick(steady_clock::now());
        }
        run(milliseconds{30});
        return answered_;
    }

    /// Number of statements of one transaction that succeed, sent at these times after its start,
    /// while `others` other operations wait for the instance.
    unsigned transaction_statements(
        const std::string& instance, const std::vector<duration>& times, unsigned others,
        const std::function<void()>& before_last = [] {}) {
        in_transaction_ = 0;
        gate_.expires_at(time_point::min());
        const auto start = steady_clock::now();
        asio::co_spawn(context_, transact(instance_id{instance}, start, times), asio::detached);
        run(milliseconds{20});
        for (unsigned i = 0; i < others; ++i) {
            spawn(instance, seconds{3});
        }
        const auto tick_until = [&](time_point end) {
            while (steady_clock::now() < end) {
                run(milliseconds{10});
                group->tick(steady_clock::now());
            }
        };
        tick_until(start + times.back() - milliseconds{30});
        before_last();
        tick_until(start + times.back() + milliseconds{300});
        return in_transaction_;
    }

    [[nodiscard]] bool proves_position() {
        std::optional<log_index> result;
        asio::co_spawn(
            context_,
            [&]() -> asio::awaitable<void> {
                const auto deadline = steady_clock::now() + milliseconds{250};
                const customer_id customer{"tenant"};
                result = co_await group->position_at(boot_clock::now(), customer, deadline);
            },
            asio::detached);
        run(milliseconds{350});
        return result.has_value();
    }

    [[nodiscard]] std::string metrics() const { return metrics_.scrape(); }

    /// Lets operations of another customer try to connect at the same time.
    void connect_together(const std::string& instance, unsigned operations) {
        for (unsigned i = 0; i < operations; ++i) {
            spawn(instance, milliseconds{40}, "other");
        }
        run(milliseconds{60});
    }

    fake_connector connector;
    pausing_connector pauses{connector};
    group_settings settings;
    instance_pool_owner owner{true, {}};
    std::size_t hosts = 1;
    std::size_t rank = 0;
    std::shared_ptr<backend_group> group;

private:
    void run(duration length) {
        context_.restart();
        context_.run_for(length);
    }

    void spawn(const std::string& instance, duration time_limit,
               const std::string& customer = "tenant") {
        asio::co_spawn(
            context_,
            operate(instance_id{instance}, customer_id{customer}, steady_clock::now() + time_limit),
            asio::detached);
    }

    asio::awaitable<void> operate(instance_id instance, customer_id customer, time_point deadline) {
        acquire_request request;
        request.queue_entry.customer = std::move(customer);
        request.queue_entry.instance = instance;
        request.queue_entry.deadline = deadline;
        request.queue_entry.latest_start = deadline;
        request.leased_instance = instance;
        auto result = co_await group->acquire(std::move(request));
        auto* lease = std::get_if<connection_lease>(&result);
        if (lease == nullptr) {
            co_return;
        }
        ++started_;
        boost::system::error_code ignored;
        if (gate_.expiry() > steady_clock::now()) {
            co_await gate_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        backend_request statement = backend_statement{statement_id{"id"}, "read 1", {}};
        try {
            co_await lease->execute(std::move(statement), false, false, deadline);
            answered_.push_back(steady_clock::now());
        } catch (const connection_error&) {
            ++failed_;
        }
    }

    asio::awaitable<void> transact(instance_id instance, time_point start,
                                   std::vector<duration> times) {
        const auto deadline = start + seconds{5};
        acquire_request request;
        request.queue_entry.customer = customer_id{"tenant"};
        request.queue_entry.instance = instance;
        request.queue_entry.deadline = deadline;
        request.queue_entry.latest_start = deadline;
        request.leased_instance = instance;
        auto result = co_await group->acquire(std::move(request));
        auto* lease = std::get_if<connection_lease>(&result);
        if (lease == nullptr) {
            co_return;
        }
        try {
            co_await lease->begin(true, std::nullopt, deadline);
            for (const auto at : times) {
                asio::steady_timer pause{context_, start + at};
                co_await pause.async_wait(asio::use_awaitable);
                backend_request statement = backend_statement{statement_id{"id"}, "read 1", {}};
                co_await lease->execute(std::move(statement), false, false, deadline);
                ++in_transaction_;
            }
        } catch (const connection_error&) {
            ++failed_;
        }
    }

    asio::io_context context_;
    gateway_metrics metrics_;
    asio::steady_timer gate_{context_};
    unsigned started_ = 0;
    unsigned failed_ = 0;
    unsigned in_transaction_ = 0;
    std::vector<time_point> answered_;
};

}  // namespace

// Guards against a host that slows healthy instances after its own start or as a new pool owner.
TEST_CASE("instances in the first directory that a host reads are not limited") {
    pacing_fixture fixture{true};
    fixture.read_directory();
    CHECK(fixture.started_at_once("a", 8) == full_pace);
    CHECK(fixture.group->paced_instances(steady_clock::now()) == 0);
}

// Guards against a flood of connections and statements to an instance that has just started.
TEST_CASE("an instance that appears later gets one statement first and its full pace soon") {
    pacing_fixture fixture{true};
    fixture.read_directory();
    fixture.connector.add("b", false);
    fixture.read_directory();
    CHECK(fixture.group->paced_instances(steady_clock::now()) == 1);
    CHECK(fixture.started_at_once("b", 1) == 1);
    CHECK(fixture.started_at_once("b", 8) < full_pace);
    CHECK(fixture.started_at_once("b", 12) <= full_pace);
    CHECK(fixture.started_at_once("b", 8) == full_pace);
    CHECK(fixture.group->paced_instances(steady_clock::now()) == 0);
    CHECK(fixture.metrics().find("masticgrade_instance_pace_starts_total{kind=\"started\"} 1") !=
          std::string::npos);
    CHECK(fixture.metrics().find("masticgrade_instance_pace_ends_total{kind=\"full\"} 1") !=
          std::string::npos);
}

TEST_CASE("a restarted instance and one that becomes the primary get one statement first") {
    pacing_fixture fixture{true};
    fixture.connector.add("b", false);
    fixture.read_directory();
    SUBCASE("restarted") { fixture.connector.at("b").entry.start_time = 7; }
    SUBCASE("promoted") {
        fixture.connector.at("a").is_primary = false;
        fixture.connector.at("b").is_primary = true;
        fixture.group->set_primary(instance_id{"b"}, term_number{2}, "test");
    }
    fixture.read_directory();
    CHECK(fixture.started_at_once("b", 8) == 1);
    CHECK(fixture.started_at_once("a", 8) == full_pace);
}

TEST_CASE("an instance that could not be reached gets one statement first") {
    pacing_fixture fixture{true};
    fixture.connector.add("b", false);
    fixture.read_directory();
    fixture.connector.at("b").refuses_connections = true;
    constexpr int attempts = 20;
    for (int i = 0; i < attempts && fixture.group->paced_instances(steady_clock::now()) == 0; ++i) {
        CHECK(fixture.started_at_once("b", 1) == 0);
    }
    CHECK(fixture.group->paced_instances(steady_clock::now()) == 1);
    fixture.connector.at("b").refuses_connections = false;
    unsigned started = 0;
    for (int i = 0; i < attempts && started == 0; ++i) {
        started = fixture.started_at_once("b", 8);
    }
    CHECK(started == 1);
}

// Guards against healthy instances that are slowed when their entries expire in a store outage.
TEST_CASE("an entry that returns with the same start time is not limited") {
    pacing_fixture fixture{true};
    fixture.connector.add("b", false);
    fixture.read_directory();
    fixture.connector.at("b").is_listed = false;
    fixture.read_directory();
    fixture.connector.at("b").is_listed = true;
    fixture.read_directory();
    CHECK(fixture.started_at_once("b", 8) == full_pace);
}

// Guards against a changed placement where the operators state their own terms.
TEST_CASE("without the measured pace a new instance gets its full pace at once") {
    pacing_fixture fixture{false};
    fixture.read_directory();
    fixture.connector.add("b", false);
    fixture.read_directory();
    CHECK(fixture.started_at_once("b", 8) == full_pace);
}

// Guards against more statements in a second than the operators allow during warm-up.
TEST_CASE("an instance in warm-up gets at most the operators' rate in any second") {
    constexpr std::size_t rate = 6;
    pacing_fixture fixture{false};
    fixture.settings.warmup_rate = rate;
    fixture.read_directory();
    SUBCASE("a replica") { fixture.connector.add("b", false); }
    SUBCASE("the primary") {
        fixture.connector.at("a").is_primary = false;
        fixture.connector.add("b", true);
    }
    fixture.connector.at("b").entry.warmup_remaining = seconds{20};
    fixture.read_directory();
    const auto answers = fixture.answer_times("b", 16, milliseconds{2900});
    // The full rate in each of the first two seconds, and part of the third.
    CHECK(answers.size() >= 2 * rate);
    for (std::size_t i = 0; i + rate < answers.size(); ++i) {
        // Answers arrive slightly later than statements are sent.
        CHECK(answers[i + rate] - answers[i] >= milliseconds{950});
    }
}

// Guards against the rates of two pool owners that add up when the pool changes its owner.
TEST_CASE("a host that finds an instance in warm-up sends nothing for a second") {
    pacing_fixture fixture{false};
    fixture.settings.warmup_rate = 6;
    fixture.connector.at("a").entry.warmup_remaining = seconds{20};
    fixture.read_directory();
    CHECK(fixture.answer_times("a", 1, milliseconds{800}).empty());
    CHECK(fixture.answer_times("a", 1, milliseconds{800}).size() == 1);
}

TEST_CASE("the warm-up limit ends with the warm-up") {
    pacing_fixture fixture{false};
    fixture.settings.warmup_rate = 1;
    fixture.connector.at("a").entry.warmup_remaining = milliseconds{60};
    fixture.read_directory();
    CHECK(fixture.answer_times("a", 12, milliseconds{700}).size() == 12);
}

// Guards against transactions that are aborted because new operations use the rate.
TEST_CASE("statements of an open transaction come before new operations during warm-up") {
    pacing_fixture fixture{false};
    fixture.settings.warmup_rate = 6;
    fixture.read_directory();
    fixture.connector.add("b", false);
    fixture.connector.at("b").entry.warmup_remaining = seconds{20};
    fixture.read_directory();
    SUBCASE("when the transaction is idle") {
        const std::vector<duration> times{milliseconds{0}, milliseconds{300}};
        CHECK(fixture.transaction_statements("b", times, 16) == times.size());
    }
    SUBCASE("when its statement waits for the limit") {
        const std::vector<duration> times{milliseconds{0}, milliseconds{300}, milliseconds{900}};
        CHECK(fixture.transaction_statements("b", times, 16) == times.size());
    }
}

// Guards against a limit of zero until an operation is assigned.
TEST_CASE("a statement of an open transaction is sent when the warm-up limit begins") {
    pacing_fixture fixture{false};
    fixture.connector.add("b", false);
    fixture.read_directory();
    const auto begin_warmup = [&] {
        fixture.settings.warmup_rate = 6;
        fixture.connector.at("b").entry.warmup_remaining = seconds{20};
        fixture.read_directory();
    };
    const std::vector<duration> times{milliseconds{0}, milliseconds{200}};
    CHECK(fixture.transaction_statements("b", times, 0, begin_warmup) == times.size());
}

// Guards against the sum over the hosts that exceeds the rate when their shares change.
TEST_CASE("a larger share of the warm-up rate is used one second after the change") {
    pacing_fixture fixture{false};
    fixture.settings.warmup_rate = 6;
    fixture.hosts = 2;
    fixture.owner = {};
    fixture.read_directory();
    fixture.connector.add("b", false);
    fixture.connector.at("b").entry.warmup_remaining = seconds{20};
    fixture.read_directory();
    CHECK(fixture.answer_times("b", 4, milliseconds{300}).size() == 3);
    SUBCASE("this host becomes the pool owner") { fixture.owner = {true, {}}; }
    SUBCASE("the number of hosts falls") { fixture.hosts = 1; }
    CHECK(fixture.answer_times("b", 3, milliseconds{400}).empty());
    CHECK(fixture.answer_times("b", 6, milliseconds{1200}).size() == 6);
}

// Guards against reads at warm replicas that fail because the primary's warm-up limit is reached.
TEST_CASE("position proofs do not wait for the warm-up limit") {
    pacing_fixture fixture{false};
    fixture.settings.warmup_rate = 1;
    fixture.connector.at("a").entry.warmup_remaining = seconds{20};
    fixture.read_directory();
    CHECK(fixture.proves_position());
}

// Guards against an instance that gets nothing from anybody when there are more hosts than
// statements per second.
TEST_CASE("without a pool owner the hosts' shares add up to the warm-up rate") {
    constexpr std::size_t rate = 7;
    constexpr std::size_t hosts = 3;
    std::size_t sum = 0;
    for (std::size_t rank = 0; rank < hosts; ++rank) {
        pacing_fixture fixture{false};
        fixture.settings.warmup_rate = rate;
        fixture.hosts = hosts;
        fixture.rank = rank;
        fixture.owner = {};
        fixture.read_directory();
        fixture.connector.add("b", false);
        fixture.connector.at("b").entry.warmup_remaining = seconds{20};
        fixture.read_directory();
        sum += fixture.answer_times("b", rate, milliseconds{300}).size();
    }
    CHECK(sum == rate);
}

// Guards against connections that are refused together and lower the limit to one.
TEST_CASE("connections that are refused together halve the limit once") {
    pacing_fixture fixture{true};
    fixture.read_directory();
    fixture.connector.add("b", false);
    fixture.read_directory();
    // Each round uses the limit and raises it by one, in the end to four.
    for (unsigned limit = 1; limit <= 3; ++limit) {
        CHECK(fixture.started_at_once("b", limit) == limit);
    }
    fixture.pauses.busy_after = milliseconds{20};
    fixture.connect_together("b", 4);
    CHECK(fixture.started_at_once("b", 3) == 2);
}
