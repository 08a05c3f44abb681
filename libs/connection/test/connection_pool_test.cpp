#include "masticgrade/connection/connection_pool.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace masticgrade;

namespace {

pool_settings settings_for(std::size_t limit) {
    pool_settings settings;
    settings.max_connections = limit;
    return settings;
}

/// Simulates the instance, which opens and loses connections, and checks every grant.
class pool_model {
public:
    explicit pool_model(std::size_t limit) : limit_(limit), pool_(settings_for(limit)) {}

    void acquire(const std::string& customer, milliseconds timeout) {
        ++last_waiter_;
        waiting_.insert(last_waiter_);
        apply(pool_.acquire(waiter_number{last_waiter_}, customer_id{customer}, now_ + timeout,
                            now_));
    }
    void finish_open(bool success) {
        if (opening_.empty()) {
            return;
        }
        const auto number = *opening_.begin();
        opening_.erase(opening_.begin());
        if (!success) {
            open_.erase(number);
        }
        apply(success ? pool_.on_opened(connection_number{number}, now_)
                      : pool_.on_open_failed(connection_number{number}, "refused", now_));
    }
    void finish_statement(bool reusable) {
        if (granted_.empty()) {
            return;
        }
        const auto number = *granted_.begin();
        granted_.erase(granted_.begin());
        if (!reusable) {
            open_.erase(number);
        }
        apply(pool_.release(connection_number{number}, reusable, now_));
    }
    void advance(milliseconds step) {
        now_ += step;
        apply(pool_.on_timer(now_));
    }
    [[nodiscard]] std::size_t open_connections() const { return open_.size(); }
    [[nodiscard]] bool is_queue_empty() const { return waiting_.empty(); }
    [[nodiscard]] const std::map<std::uint64_t, std::uint64_t>& grants() const { return grants_; }

private:
    void apply(const pool_actions& actions) {
        for (const auto& action : actions) {
            std::visit([this](const auto& value) { handle(value); }, action);
        }
        RC_ASSERT(open_.size() <= limit_);
    }
    void handle(const grant_connection& grant) {
        RC_ASSERT(waiting_.erase(grant.waiter.value()) == 1);
        RC_ASSERT(open_.count(grant.connection.value()) == 1);
        RC_ASSERT(opening_.count(grant.connection.value()) == 0);
        RC_ASSERT(granted_.insert(grant.connection.value()).second);
        grants_[grant.waiter.value()] = grant.connection.value();
    }
    void handle(const open_connection& action) {
        RC_ASSERT(open_.insert(action.connection.value()).second);
        opening_.insert(action.connection.value());
    }
    void handle(const close_connection& action) {
        RC_ASSERT(granted_.count(action.connection.value()) == 0);
        open_.erase(action.connection.value());
    }
    void handle(const refuse_waiter& action) {
        RC_ASSERT(waiting_.erase(action.waiter.value()) == 1);
    }

    std::size_t limit_;
    connection_pool pool_;
    time_point now_{seconds{1000}};
    std::uint64_t last_waiter_ = 0;
    std::set<std::uint64_t> waiting_;
    std::set<std::uint64_t> open_;
    std::set<std::uint64_t> opening_;
    std::set<std::uint64_t> granted_;
    std::map<std::uint64_t, std::uint64_t> grants_;
};

}  // namespace

// Guards against two statements on one connection, more connections than the limit, and waiters
// that get no answer or two.
TEST_CASE("every waiter gets exactly one exclusive connection or one refusal") {
    CHECK(rc::check([] {
        pool_model model{*rc::gen::inRange<std::size_t>(1, 4)};
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
        for (const int step : steps) {
            switch (step) {
                case 0:
                    model.acquire("a", milliseconds{*rc::gen::inRange(0, 100)});
                    break;
                case 1:
                    model.acquire("b", milliseconds{*rc::gen::inRange(0, 100)});
                    break;
                case 2:
                    model.finish_open(*rc::gen::arbitrary<bool>());
                    break;
                case 3:
                    model.finish_statement(*rc::gen::arbitrary<bool>());
                    break;
                default:
                    model.advance(milliseconds{*rc::gen::inRange(0, 60)});
                    break;
            }
        }
        model.advance(milliseconds{1000});
        RC_ASSERT(model.is_queue_empty());
    }));
}

// Guards against a heavy customer whose queued statements delay all other customers.
TEST_CASE("a waiting customer is served before a heavy customer's second statement") {
    pool_model model{1};
    for (int i = 0; i < 20; ++i) {
        model.acquire("heavy", milliseconds{5000});
    }
    model.finish_open(true);
    model.acquire("light", milliseconds{5000});
    model.finish_statement(true);
    model.finish_statement(true);
    CHECK(model.grants().count(21) == 1);
}

// Guards against a host that keeps connections after a burst while other hosts need them.
TEST_CASE("connections opened under load close after they become idle") {
    pool_model model{3};
    for (int i = 0; i < 3; ++i) {
        model.acquire("a", milliseconds{5000});
    }
    for (int i = 0; i < 3; ++i) {
        model.finish_open(true);
    }
    CHECK(model.open_connections() == 3);
    for (int i = 0; i < 3; ++i) {
        model.finish_statement(true);
    }
    model.advance(milliseconds{150});
    CHECK(model.open_connections() == 3);
    model.advance(milliseconds{100});
    CHECK(model.open_connections() == 1);
}
