#include "database_cluster.hpp"

#include <doctest/doctest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <thread>

#include "line_client.hpp"

using namespace masticgrade;
using namespace masticgrade::soak;

namespace {

constexpr milliseconds poll_interval{5};
constexpr seconds patience{10};
constexpr milliseconds shortest_promotion{300};

/// The stand-in on a thread of its own.
class cluster_run {
public:
    cluster_run() : thread_([this] { context_.run(); }) {}
    cluster_run(const cluster_run&) = delete;
    cluster_run& operator=(const cluster_run&) = delete;
    ~cluster_run() {
        context_.stop();
        thread_.join();
    }

    /// Runs the action on the thread of the stand-in.
    template <typename Action>
    auto with(Action action) {
        std::packaged_task<decltype(action(cluster_))()> task{[&] { return action(cluster_); }};
        auto result = task.get_future();
        boost::asio::post(context_, [&] { task(); });
        return result.get();
    }
    template <typename Condition>
    bool eventually(Condition condition) {
        const auto give_up = steady_clock::now() + patience;
        while (steady_clock::now() < give_up) {
            if (with(condition)) {
                return true;
            }
            std::this_thread::sleep_for(poll_interval);
        }
        return false;
    }
    bool promote(const std::string& name, std::uint64_t fence,
                 std::optional<milliseconds> time = std::nullopt) {
        return with([&](auto& cluster) { return cluster.promote(name, fence, time); });
    }
    bool leads(const std::string& name) {
        return with([&](auto& cluster) { return cluster.is_primary(name); });
    }
    std::size_t promotions() {
        return with([](auto& cluster) { return cluster.promotions(); });
    }
    std::size_t log_size(const std::string& name) {
        return with([&](auto& cluster) { return cluster.log_size(name); });
    }
    bool all_calls_ended() {
        return eventually([](auto& cluster) { return cluster.pending_promotions() == 0; });
    }

    std::vector<std::string> query(const std::string& name, const std::string& text) {
        const auto id = "c-" + std::to_string(++queries_);
        with([&](auto& cluster) { cluster.sent.add(id, {text, {}}); });
        edge_test::line_client client{with([&](auto& cluster) { return cluster.port_of(name); })};
        client.start("ledger", "parish");
        return client.query(id, text);
    }
    void write(const std::string& name, int count) {
        for (int i = 0; i < count; ++i) {
            REQUIRE(edge_test::is_done(query(name, "WRITE item value")));
        }
    }

private:
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{
        context_.get_executor()};
    database_cluster cluster_{context_};
    int queries_ = 0;
    std::thread thread_;
};

bool is_busy(const std::vector<std::string>& answer) {
    return !answer.empty() && answer.front().rfind("ERROR BUSY", 0) == 0;
}

}  // namespace

TEST_CASE("an accepted promotion call takes effect 0.3 s later at the earliest") {
    cluster_run run;
    const auto called = steady_clock::now();
    REQUIRE(run.promote("i-b", 1));
    CHECK(run.eventually([](auto& cluster) { return cluster.is_primary("i-b"); }));
    CHECK(steady_clock::now() - called >= shortest_promotion);
    CHECK_FALSE(run.leads("i-a"));
}

TEST_CASE("a promotion call with a lower fence than one seen is refused") {
    cluster_run run;
    REQUIRE(run.promote("i-b", 5));
    CHECK_FALSE(run.promote("i-c", 4));
    REQUIRE(run.all_calls_ended());
    CHECK(run.leads("i-b"));
}

TEST_CASE("a higher fence voids earlier calls though its own call is refused") {
    cluster_run run;
    std::string named;
    SUBCASE("for an instance that does not run") {
        named = "i-c";
        run.with([](auto& cluster) { cluster.crash("i-c"); });
    }
    SUBCASE("for an instance that is not known") { named = "i-unknown"; }
    REQUIRE(run.promote("i-b", 1));
    CHECK_FALSE(run.promote(named, 2));
    CHECK_FALSE(run.promote("i-b", 1));
    REQUIRE(run.all_calls_ended());
    CHECK(run.leads("i-a"));
    CHECK(run.promotions() == 0);
}

TEST_CASE("a higher fence for the present primary changes nothing and voids earlier calls") {
    cluster_run run;
    REQUIRE(run.promote("i-b", 1));
    CHECK(run.promote("i-a", 2));
    REQUIRE(run.all_calls_ended());
    CHECK(run.leads("i-a"));
    CHECK(run.promotions() == 0);
}

TEST_CASE("a call with an equal fence is carried out") {
    cluster_run run;
    REQUIRE(run.promote("i-b", 3, milliseconds{300}));
    CHECK(run.promote("i-c", 3, milliseconds{600}));
    REQUIRE(run.all_calls_ended());
    CHECK(run.leads("i-c"));
    CHECK(run.promotions() == 2);
}

TEST_CASE("a replica ahead of the promoted one is rolled back and busy for a moment") {
    cluster_run run;
    run.with([](auto& cluster) { cluster.set_deaf("i-b", true); });
    run.write("i-a", 2);
    REQUIRE(run.log_size("i-c") == 2);
    REQUIRE(run.promote("i-b", 1));
    REQUIRE(run.eventually([](auto& cluster) { return cluster.is_primary("i-b"); }));
    CHECK(run.log_size("i-c") == 0);
    CHECK(is_busy(run.query("i-c", "STATUS")));
    CHECK(is_busy(run.query("i-c", "PAUSE 9")));
    const auto give_up = steady_clock::now() + patience;
    while (is_busy(run.query("i-c", "STATUS")) && steady_clock::now() < give_up) {
        std::this_thread::sleep_for(poll_interval);
    }
    CHECK(edge_test::is_done(run.query("i-c", "STATUS")));
    // The check of lost writes sees both.
    CHECK(run.with([](auto& cluster) { return cluster.violations().size(); }) == 2);
}

TEST_CASE("a hold stops a transfer until the replica is resumed") {
    constexpr int writes = 20;
    constexpr milliseconds transfer{500};
    cluster_run run;
    run.write("i-a", writes);
    const auto heir = run.with([&](auto& cluster) { return cluster.replace("i-c", transfer); });
    REQUIRE(edge_test::is_done(run.query(heir, "PAUSE 2")));
    std::this_thread::sleep_for(2 * transfer);
    CHECK(run.log_size(heir) < writes);
    REQUIRE(edge_test::is_done(run.query(heir, "RESUME")));
    CHECK(run.eventually([&](auto& cluster) { return cluster.log_size(heir) == writes; }));
}

TEST_CASE("a resume that is held back takes effect later, and for the same process only") {
    cluster_run run;
    run.with([](auto& cluster) { cluster.hold_back_resumes("i-c"); });
    REQUIRE(edge_test::is_done(run.query("i-c", "PAUSE 2")));
    CHECK(run.query("i-c", "RESUME").empty());
    CHECK(run.with([](auto& cluster) { return cluster.is_held("i-c"); }));
    SUBCASE("the process runs") {
        CHECK(run.with([](auto& cluster) { return cluster.carry_out_resumes(); }) == 1);
        CHECK_FALSE(run.with([](auto& cluster) { return cluster.is_held("i-c"); }));
    }
    SUBCASE("the process has started again") {
        run.with([](auto& cluster) {
            cluster.crash("i-c");
            cluster.restart("i-c");
        });
        REQUIRE(edge_test::is_done(run.query("i-c", "PAUSE 2")));
        run.with([](auto& cluster) { cluster.carry_out_resumes(); });
        CHECK(run.with([](auto& cluster) { return cluster.is_held("i-c"); }));
    }
}

TEST_CASE("an instance that leads with an empty log replaces other logs when it commits") {
    cluster_run run;
    run.write("i-a", 3);
    run.with([](auto& cluster) {
        cluster.crash("i-a");
        cluster.restart_empty_leading("i-a");
    });
    CHECK(run.leads("i-a"));
    CHECK(run.log_size("i-a") == 0);
    CHECK(run.log_size("i-b") == 3);
    run.write("i-a", 1);
    CHECK(run.log_size("i-b") == 1);
}
