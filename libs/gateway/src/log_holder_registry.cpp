#include "log_holder_registry.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "masticgrade/base/error.hpp"
#include "masticgrade/base/event_log.hpp"
#include "masticgrade/gateway/promotion_choice.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

constexpr milliseconds check_interval{100};
constexpr milliseconds retry_interval{500};

}  // namespace

log_holder_registry::log_holder_registry(std::shared_ptr<backend_group> group, environment services)
    : group_(std::move(group)),
      environment_(std::move(services)),
      rows_(environment_.store, group_->name(), environment_.self),
      orders_(group_, environment_.connector) {}

asio::awaitable<void> log_holder_registry::run() {
    std::optional<time_point> outdated_since;
    for (;;) {
        auto pause = check_interval;
        if (group_->log_holders_are_recorded() || group_->entries().empty()) {
            outdated_since.reset();
        } else {
            const auto now = steady_clock::now();
            outdated_since = outdated_since.value_or(now);
            const auto rank =
                failover_rank(group_->name(), environment_.self, environment_.live_hosts());
            if (now - *outdated_since >= takeover_delay(rank)) {
                pause = retry_interval;
                try {
                    co_await update();
                } catch (const error& failure) {
                    event_line{"log_holders_not_updated"}
                        .field("group", group_->name())
                        .field("reason", failure.what())
                        .write();
                }
            }
        }
        asio::steady_timer timer{environment_.executor, pause};
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> log_holder_registry::update() {
    const auto read_at = boot_clock::now();
    auto row = co_await rows_.read();
    if (row.version != fleet_version{}) {
        group_->on_failover_row(row.record, read_at, row.era);
    }
    if (row.record.open || group_->last_failover_is_lost()) {
        co_return;
    }
    const auto recorded = row.record.log_holders;
    auto& holders = row.record.log_holders;
    holders = group_->log_holders(steady_clock::now());
    std::map<instance_id, endpoint_address> unlisted;
    for (const auto& [id, address] : holders) {
        if (!group_->is_listed(id)) {
            unlisted.emplace(id, address);
        }
    }
    if (!unlisted.empty() && co_await are_dispensable(unlisted)) {
        std::erase_if(holders, [&](const auto& holder) { return unlisted.contains(holder.first); });
    }
    if (holders == recorded) {
        co_return;
    }
    const auto written_at = boot_clock::now();
    if (!co_await rows_.write(row.record, {row.version, row.era})) {
        co_return;
    }
    group_->on_failover_row(row.record, written_at, row.era);
    event_line line{"log_holders_recorded"};
    line.field("group", group_->name()).field("fence", row.record.fence);
    for (const auto& [id, address] : holders) {
        line.field("instance", id);
    }
    line.write();
}

asio::awaitable<bool> log_holder_registry::are_dispensable(
    const std::map<instance_id, endpoint_address>& unlisted) {
    const backend_request status_request = backend_status{};
    for (const auto& [id, address] : unlisted) {
        const auto answer = co_await orders_.send_unlisted(id, address, status_request);
        if (answer.is_running) {
            // Cut off from the store only, so it may receive and acknowledge further commits.
            co_return false;
        }
    }
    co_return co_await is_replicated();
}

asio::awaitable<bool> log_holder_registry::is_replicated() {
    const auto primary = group_->primary();
    if (!primary || !group_->is_listed(*primary)) {
        co_return false;
    }
    const backend_request status_request = backend_status{};
    const auto leading = co_await orders_.send(*primary, status_request);
    if (!leading || !leading->is_primary || leading->term < group_->newest_term()) {
        co_return false;
    }
    const std::size_t required = group_->sync_replicas();
    std::size_t replicated = 0;
    const auto entries = group_->entries();
    for (const auto& entry : entries) {
        if (replicated >= required) {
            break;
        }
        if (entry.id == *primary) {
            continue;
        }
        const auto replica = co_await orders_.send(entry.id, status_request);
        if (replica && !replica->is_primary && replica->received >= leading->received) {
            ++replicated;
        }
    }
    co_return replicated >= required;
}

}  // namespace masticgrade
