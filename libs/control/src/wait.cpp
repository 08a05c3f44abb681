#include "wait.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "masticgrade/base/error.hpp"
#include "masticgrade/version/row_codec.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

constexpr seconds max_attempt_duration{2};

}  // namespace

asio::awaitable<void> wait_for(milliseconds interval, time_point deadline) {
    asio::steady_timer timer{co_await asio::this_coro::executor};
    timer.expires_at(std::min(steady_clock::now() + interval, deadline));
    co_await timer.async_wait(asio::use_awaitable);
}

time_point attempt_deadline(time_point deadline) {
    return std::min(steady_clock::now() + max_attempt_duration, deadline);
}

asio::awaitable<snapshot_update> load_fleet(table_service& table, time_point deadline) {
    const auto result = co_await table.scan(std::string{fleet_prefix}, fleet_version{}, deadline);
    co_return apply_rows(nullptr, result.rows);
}

const rejected_row* find_rejected(const snapshot_update& fleet, std::string_view key) {
    const auto found = std::find_if(fleet.rejected.begin(), fleet.rejected.end(),
                                    [&](const rejected_row& row) { return row.key == key; });
    return found == fleet.rejected.end() ? nullptr : &*found;
}

asio::awaitable<acknowledgement> wait_for_majority(proxy_admin& proxies, fleet_version version,
                                                   time_point deadline, milliseconds interval) {
    acknowledgement latest;
    while (true) {
        try {
            const auto status = co_await proxies.read_status(attempt_deadline(deadline));
            const auto members = parse_member_versions(status);
            latest.members = members.size();
            latest.acknowledged = static_cast<std::size_t>(std::count_if(
                members.begin(), members.end(),
                [&](const member_version& member) { return member.version >= version; }));
            latest.failure.clear();
        } catch (const error& failure) {
            latest.failure = failure.what();
        }
        if (latest.by_majority() || steady_clock::now() >= deadline) {
            co_return latest;
        }
        co_await wait_for(interval, deadline);
    }
}

}  // namespace masticgrade
