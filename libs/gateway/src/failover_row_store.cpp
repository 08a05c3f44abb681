#include "failover_row_store.hpp"

#include <utility>

#include "masticgrade/base/error.hpp"
#include "masticgrade/base/event_log.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

constexpr milliseconds store_timeout{800};

}  // namespace

failover_row_store::failover_row_store(table_service& store, group_id group, host_id self)
    : store_(store),
      group_(std::move(group)),
      self_(std::move(self)),
      key_(failover_row_key(group_)) {}

asio::awaitable<failover_row> failover_row_store::read() {
    const auto deadline = steady_clock::now() + store_timeout;
    auto key = key_;
    const auto rows = co_await store_.scan(std::move(key), {}, deadline);
    auto row = find_failover_row(rows.rows, group_).value_or(failover_row{});
    row.era = rows.era;
    co_return row;
}

asio::awaitable<std::optional<fleet_version>> failover_row_store::write(failover_record record,
                                                                        identity expected) {
    table_commit change;
    change.conditions.push_back({key_, expected.version});
    change.puts.push_back({key_, encode_failover_row(record, self_)});
    std::optional<commit_result> result;
    try {
        result = co_await store_.commit(std::move(change), steady_clock::now() + store_timeout);
    } catch (const error& failure) {
        event_line{"store_answer_lost"}.field("row", key_).field("reason", failure.what()).write();
    }
    if (result) {
        // In another era the expected version may belong to another row.
        const bool written = result->committed && result->era == expected.era;
        co_return written ? std::optional{result->version} : std::nullopt;
    }
    // The commit may have taken effect or may still do so; the row tells.
    const auto after = co_await read();
    const bool written = after.holder == self_ && after.record == record &&
                         after.version != expected.version && after.era == expected.era;
    co_return written ? std::optional{after.version} : std::nullopt;
}

}  // namespace masticgrade
