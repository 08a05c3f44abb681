#include "usage_accounting.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <numeric>
#include <random>
#include <utility>

#include "masticgrade/base/event_log.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// Interval of the updates to the first collector and to the holder. Operations counted since the
/// last update are lost if the host dies.
constexpr milliseconds update_interval{1000};
/// The other collectors get every third update: each exchange costs more in headers than in counts.
constexpr std::size_t other_collector_rounds = 3;
/// Shorter than the interval, so that one update at a time is under way to a collector.
constexpr milliseconds update_timeout{800};
constexpr milliseconds step_interval{200};
constexpr milliseconds store_timeout{800};
constexpr milliseconds report_timeout{800};

std::uint64_t random_mark() {
    std::random_device source;
    return (std::uint64_t{source()} << 32U) | source();
}

std::uint64_t sum_of(const usage_counts& counts) {
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0},
                           [](auto sum, const auto& entry) { return sum + entry.second; });
}

std::string_view name_of(write_record_step::reason reason) {
    switch (reason) {
        case write_record_step::reason::takeover:
            return "takeover";
        case write_record_step::reason::windows:
            return "windows";
        case write_record_step::reason::renewal:
            return "renewal";
    }
    return "unknown";
}

std::string_view name_of(report_outcome outcome) {
    switch (outcome) {
        case report_outcome::done:
            return "done";
        case report_outcome::refused:
            return "refused";
        case report_outcome::unknown:
            return "unknown";
    }
    return "unknown";
}

}  // namespace

usage_accounting::usage_accounting(usage_environment environment, usage_settings settings)
    : environment_(std::move(environment)),
      counter_(settings.window),
      collector_(settings.window, environment_.self.incarnation),
      reporter_(environment_.self, settings, boot_clock::now(), wall_clock::now()) {}

void usage_accounting::count(const customer_id& customer, wall_time began_at) {
    counter_.count(customer, began_at);
}

usage_acknowledgement usage_accounting::receive(const host_id& sender,
                                                incarnation_number incarnation,
                                                const usage_update& update) {
    collector_.on_update(sender, incarnation, update, wall_clock::now());
    return {update.revision, environment_.self.incarnation, reporter_.is_holder()};
}

asio::awaitable<void> usage_accounting::run_exchange() {
    for (std::size_t round = 0;; ++round) {
        update_fleet();
        std::vector<host_id> recipients;
        for (std::size_t i = 0; i < collectors_.size(); ++i) {
            if (i == 0 || collectors_[i] == holder_ ||
                i % other_collector_rounds == round % other_collector_rounds) {
                recipients.push_back(collectors_[i]);
            }
        }
        send_totals_to_all(recipients);
        co_await sleep(update_interval);
    }
}

asio::awaitable<void> usage_accounting::run_reports() {
    for (;;) {
        const auto own_rank = rank();
        co_await sleep(own_rank || reporter_.is_holder() ? step_interval : update_interval);
        usage_reporter::view state{boot_clock::now(), wall_clock::now(),
                                   own_rank,          live_hosts_,
                                   collector_,        environment_.registered_hosts()};
        while (auto step = reporter_.next(state)) {
            if (auto* reading = std::get_if<read_record_step>(&*step)) {
                co_await perform(*reading);
            } else if (auto* writing = std::get_if<write_record_step>(&*step)) {
                co_await perform(std::move(*writing));
            } else {
                auto sending = std::get<send_report_step>(std::move(*step));
                co_await perform(std::move(sending));
            }
            state.now = boot_clock::now();
            state.wall = wall_clock::now();
        }
    }
}

void usage_accounting::update_fleet() {
    auto hosts = environment_.live_hosts();
    live_hosts_.clear();
    for (const auto& host : hosts) {
        live_hosts_.push_back(host.host);
    }
    collectors_ = choose_collectors(std::move(hosts));
    counter_.keep_collectors({collectors_.begin(), collectors_.end()});
}

std::optional<std::size_t> usage_accounting::rank() const {
    const auto found = std::find(collectors_.begin(), collectors_.end(), environment_.self.host);
    if (found == collectors_.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - collectors_.begin());
}

void usage_accounting::send_totals() { send_totals_to_all(collectors_); }

void usage_accounting::send_totals_to_all(const std::vector<host_id>& collectors) {
    const auto now = wall_clock::now();
    const auto& self = environment_.self;
    for (const auto& collector : collectors) {
        auto update = counter_.next_update(collector, now);
        if (collector == self.host) {
            const auto answer = receive(self.host, self.incarnation, update);
            counter_.on_acknowledged(collector, answer.incarnation, answer.revision);
        } else {
            asio::co_spawn(environment_.executor, send_totals_to(collector, std::move(update)),
                           asio::detached);
        }
    }
}

asio::awaitable<void> usage_accounting::send_totals_to(host_id collector, usage_update update) {
    const auto deadline = steady_clock::now() + update_timeout;
    const auto answer =
        co_await environment_.leases.send_usage(collector, std::move(update), deadline);
    if (answer) {
        counter_.on_acknowledged(collector, answer->incarnation, answer->revision);
        if (answer->is_holder) {
            holder_ = collector;
        }
    } else {
        environment_.metrics.count("masticgrade_usage_updates_failed_total",
                                   "Usage totals that a collector did not acknowledge.");
    }
}

asio::awaitable<void> usage_accounting::sleep(duration length) {
    asio::steady_timer timer{environment_.executor, length};
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> usage_accounting::perform(read_record_step /*step*/) {
    auto key = usage_record_key;
    std::optional<scan_result> rows;
    try {
        rows = co_await environment_.store.scan(std::move(key), {},
                                                steady_clock::now() + store_timeout);
    } catch (const error& failure) {
        event_line{"usage_record_unread"}.field("reason", failure.what()).write();
    }
    const auto now = boot_clock::now();
    if (rows) {
        reporter_.on_record(find_usage_record(rows->rows, rows->era), now);
    } else {
        reporter_.on_store_failed(now);
    }
}

asio::awaitable<void> usage_accounting::perform(write_record_step step) {
    table_commit change;
    change.conditions.push_back({usage_record_key, step.version});
    change.puts.push_back({usage_record_key, encode_usage_record(step.record, random_mark())});
    std::optional<commit_result> result;
    const auto sent_at = boot_clock::now();
    try {
        result = co_await environment_.store.commit(std::move(change),
                                                    steady_clock::now() + store_timeout);
    } catch (const error& failure) {
        event_line{"usage_record_unwritten"}.field("reason", failure.what()).write();
    }
    if (!result) {
        reporter_.on_store_failed(boot_clock::now());
        co_return;
    }
    reporter_.on_commit(step, result->committed, result->version, result->era, sent_at);
    log(step, result->committed && result->era == step.era);
}

asio::awaitable<void> usage_accounting::perform(send_report_step step) {
    auto report = step.report;
    const auto outcome = co_await environment_.reports.send(std::move(report), step.fence,
                                                            steady_clock::now() + report_timeout);
    reporter_.on_sent(step, outcome, boot_clock::now());
    environment_.metrics.count("masticgrade_usage_reports_total",
                               "Usage reports sent to the platform, by outcome.",
                               std::string{name_of(outcome)});
    event_line{"usage_reported"}
        .field("window", step.report.window)
        .field("fence", step.fence)
        .field("customers", step.report.counts.size())
        .field("operations", sum_of(step.report.counts))
        .field("outcome", name_of(outcome))
        .write();
}

void usage_accounting::log(const write_record_step& step, bool committed) {
    const auto reason = name_of(step.cause);
    if (committed) {
        environment_.metrics.count("masticgrade_usage_records_total",
                                   "Writes of the usage record, by reason.", std::string{reason});
    }
    event_line{"usage_recorded"}
        .field("reason", reason)
        .field("committed", committed)
        .field("fence", step.record.fence)
        .field("era", step.record.era)
        .field("next_window", step.record.next_window)
        .field("unconfirmed", step.record.unconfirmed.size())
        .field("skipped", step.skipped)
        .write();
}

}  // namespace masticgrade
