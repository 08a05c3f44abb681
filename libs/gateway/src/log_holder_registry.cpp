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
        log_unlisted();
        if (!is_outdated()) {
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

bool log_holder_registry::is_outdated() const {
    const bool is_primary_recorded =
        names_primary(group_->last_failover(), group_->failover_row_era());
    if (!group_->has_entries() || (group_->log_holders_are_recorded() && is_primary_recorded)) {
        return false;
    }
    const auto holders = group_->log_holders();
    // Without a primary there is nothing to compare the replicas with.
    const bool can_compare = group_->primary() && !group_->last_failover().open;
    return holders != group_->last_failover().log_holders ||
           (can_compare && (!ended_among(holders).empty() || !is_primary_recorded));
}

bool log_holder_registry::names_primary(const failover_record& record, store_era era) const {
    const auto process = group_->primary_process();
    return !process || (record.primary && record.primary->process == *process &&
                        record.primary->era == era && !record.primary->end);
}

std::set<log_holder> log_holder_registry::ended_among(const std::set<log_holder>& holders) const {
    auto result = holders;
    std::erase_if(result, [&](const auto& holder) {
        return group_->is_listed(holder) || !group_->has_ended(holder);
    });
    return result;
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
    const auto recorded = row.record;
    auto& holders = row.record.log_holders;
    const auto known = group_->log_holders();
    holders.insert(known.begin(), known.end());
    // The positions are read after the successors were listed.
    auto ended = ended_among(holders);
    const bool is_primary_recorded = names_primary(row.record, row.era);
    if (!ended.empty() || !is_primary_recorded) {
        const auto leading = group_->primary_process();
        const auto found = co_await read_replication(group_->entries());
        if (found.primary && !is_primary_recorded && leading &&
            leading == group_->primary_process()) {
            row.record.primary = recorded_primary{*leading, row.era};
        }
        if (!found.is_complete) {
            add_bounds(row.record, ended, found);
            ended.clear();
        }
    }
    std::erase_if(holders, [&](const auto& holder) { return ended.contains(holder); });
    std::erase_if(row.record.log_bounds,
                  [&](const auto& item) { return !holders.contains(item.first); });
    if (row.record == recorded) {
        group_->forget_log_holders(ended);
        co_return;
    }
    const auto written_at = boot_clock::now();
    if (!co_await rows_.write(row.record, {row.version, row.era})) {
        co_return;
    }
    group_->on_failover_row(row.record, written_at, row.era);
    group_->forget_log_holders(ended);
    log_recorded(row.record);
}

void log_holder_registry::log_recorded(const failover_record& record) const {
    event_line line{"log_holders_recorded"};
    line.field("group", group_->name()).field("fence", record.fence);
    for (const auto& holder : record.log_holders) {
        line.field("instance", holder.instance)
            .field("address", holder.address)
            .field("start_time", holder.start_time)
            .field("state", state_of(holder));
    }
    line.write();
}

std::string_view log_holder_registry::state_of(const log_holder& holder) const {
    if (group_->is_listed(holder)) {
        return "listed";
    }
    return group_->has_ended(holder) ? "not_replicated" : "no_successor";
}

void log_holder_registry::log_unlisted() {
    std::map<log_holder, std::string_view> states;
    if (!group_->log_holders_are_recorded()) {
        for (const auto& holder : group_->unlisted_log_holders()) {
            states.emplace(holder, state_of(holder));
        }
    }
    if (std::exchange(logged_states_, states) == states || states.empty()) {
        return;
    }
    event_line line{"log_holders_unlisted"};
    line.field("group", group_->name());
    for (const auto& [holder, state] : states) {
        line.field("instance", holder.instance)
            .field("address", holder.address)
            .field("start_time", holder.start_time)
            .field("state", state);
    }
    line.write();
}

void log_holder_registry::add_bounds(failover_record& record, const std::set<log_holder>& ended,
                                     const replication& found) const {
    const auto entries = group_->entries();
    const auto primary = std::find_if(entries.begin(), entries.end(), [&](const auto& entry) {
        return entry.id == group_->primary();
    });
    if (!found.primary || primary == entries.end() ||
        group_->has_earlier_process(log_holder_of(*primary))) {
        return;
    }
    for (const auto& holder : ended) {
        record.log_bounds.emplace(holder, *found.primary);
    }
}

asio::awaitable<log_holder_registry::replication> log_holder_registry::read_replication(
    std::vector<instance_entry> listed) {
    const auto primary = group_->primary();
    const auto is_primary = [&](const auto& entry) { return entry.id == primary; };
    if (std::none_of(listed.begin(), listed.end(), is_primary)) {
        co_return replication{};
    }
    const backend_request status_request = backend_status{};
    const auto seen_before = group_->highest_position(*primary);
    const auto leading = co_await orders_.send(*primary, status_request);
    if (!leading || !leading->is_primary || leading->term < group_->newest_term()) {
        co_return replication{};
    }
    // What a primary without its log has is not all that its replicas may have.
    group_->on_status(*primary, *leading, seen_before);
    if (group_->has_lost_log(*primary) || group_->primary_is_unconfirmed()) {
        co_return replication{};
    }
    const std::size_t required = group_->sync_replicas();
    std::size_t replicated = 0;
    for (const auto& entry : listed) {
        if (replicated >= required) {
            break;
        }
        if (entry.id == *primary) {
            continue;
        }
        const auto replica = co_await orders_.send(entry.id, status_request);
        // A process that is not recorded with this update does not count.
        if (replica && !replica->is_primary && replica->received >= leading->received &&
            group_->is_listed(log_holder_of(entry))) {
            ++replicated;
        }
    }
    co_return replication{leading->received, replicated >= required};
}

}  // namespace masticgrade
