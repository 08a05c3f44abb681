#include "store_sync.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>
#include <utility>

#include "masticgrade/base/error.hpp"
#include "masticgrade/base/log.hpp"
#include "masticgrade/version/row_codec.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

constexpr logger log{"store"};

constexpr milliseconds poll_interval{1000};
/// Relative jitter of the poll interval in both directions; spreads the polls of 550 hosts.
constexpr double poll_jitter = 0.2;
/// Freshness counts from the time a read was sent, so a slower answer would leave little of the 3 s
/// freshness window.
constexpr milliseconds read_timeout{2000};

}  // namespace

store_sync::store_sync(std::shared_ptr<table_service> store, std::shared_ptr<fleet_state> fleet,
                       read_observer on_read)
    : store_(std::move(store)), fleet_(std::move(fleet)), on_read_(std::move(on_read)) {}

asio::awaitable<bool> store_sync::read_now(time_point deadline) {
    const auto sent_at = steady_clock::now();
    const auto known = fleet_->snapshot()->version;
    try {
        const auto result = co_await store_->scan(std::string{fleet_prefix}, known, deadline);
        auto newest = known;
        for (const auto& row : result.rows) {
            newest = std::max(newest, row.version);
        }
        fleet_->apply(result.rows);
        on_read_(sent_at, newest);
        co_return true;
    } catch (const error& failure) {
        log.warning("Read failed reason=\"{}\".", failure.what());
        co_return false;
    }
}

asio::awaitable<void> store_sync::run() {
    std::minstd_rand random{std::random_device{}()};
    std::uniform_real_distribution<double> factor{1 - poll_jitter, 1 + poll_jitter};
    asio::steady_timer timer{co_await asio::this_coro::executor};
    for (;;) {
        co_await read_now(steady_clock::now() + read_timeout);
        timer.expires_after(std::chrono::duration_cast<duration>(poll_interval * factor(random)));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

}  // namespace masticgrade
