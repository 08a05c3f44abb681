#include "masticgrade/base/event_log.hpp"

#include <fcntl.h>
#include <poll.h>
#include <spdlog/async.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

namespace masticgrade {

namespace {

/// Limit per event name. A small host refuses up to 40 requests per second in a burst, which are
/// all logged.
constexpr unsigned max_lines_per_second = 50;
/// Queue capacity in lines, about 1 MB.
constexpr std::size_t queue_capacity_lines = 4096;
/// How long the background thread waits for standard output to become writable before it drops a
/// line.
constexpr int output_timeout_ms = 50;

std::atomic<std::uint64_t> dropped_lines{0};

/// Writes to standard output and drops lines that the consumer does not read in time.
class stdout_sink final : public spdlog::sinks::base_sink<std::mutex> {
protected:
    void sink_it_(const spdlog::details::log_msg& message) override {
        std::string line{message.payload.begin(), message.payload.end()};
        line += '\n';
        std::string_view rest{line};
        while (!rest.empty()) {
            pollfd output{STDOUT_FILENO, POLLOUT, 0};
            if (::poll(&output, 1, output_timeout_ms) <= 0) {
                ++dropped_lines;
                return;
            }
            const auto written = ::write(STDOUT_FILENO, rest.data(), rest.size());
            if (written <= 0) {
                ++dropped_lines;
                return;
            }
            rest.remove_prefix(static_cast<std::size_t>(written));
        }
    }
    void flush_() override {}
};

/// The lines logged for an event in the given second of the steady clock.
struct event_line_count {
    std::int64_t second = 0;
    unsigned lines = 0;
};

/// Process-wide state of the event log.
struct log_state {
    std::mutex mutex;
    std::map<std::string_view, event_line_count> line_counts;
    std::shared_ptr<spdlog::details::thread_pool> pool;
    std::shared_ptr<spdlog::async_logger> writer;
    std::string host;
};

log_state& state() {
    static log_state instance;
    return instance;
}

/// Counts a line against the rate limit of its event. Returns whether the line is within the limit.
bool admit_line(log_state& log, std::string_view event) {
    const auto second =
        std::chrono::duration_cast<seconds>(steady_clock::now().time_since_epoch()).count();
    auto& count = log.line_counts[event];
    if (count.second != second) {
        count = {second, 0};
    }
    return ++count.lines <= max_lines_per_second;
}

bool needs_quotes(std::string_view value) {
    return value.empty() || value.find_first_of(" \"=\\") != std::string_view::npos;
}

}  // namespace

event_line::event_line(std::string_view event, event_severity severity)
    : event_(event), severity_(severity) {}

event_line& event_line::field_ms(std::string_view name, boot_clock::duration value) {
    return field(name, std::chrono::duration_cast<milliseconds>(value).count());
}

void event_line::append(std::string_view name, std::string_view value) {
    text_ += ' ';
    text_ += name;
    text_ += '=';
    const bool quoted = needs_quotes(value);
    if (quoted) {
        text_ += '"';
    }
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < 0x20 || byte == 0x7F) {
            text_ += '?';
            continue;
        }
        if (c == '"' || c == '\\') {
            text_ += '\\';
        }
        text_ += c;
    }
    if (quoted) {
        text_ += '"';
    }
}

void event_line::write() {
    auto& log = state();
    const std::scoped_lock lock{log.mutex};
    if (!log.writer) {
        return;
    }
    if (!admit_line(log, event_)) {
        ++dropped_lines;
        return;
    }
    const auto now = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    const auto* level = severity_ == event_severity::warning ? " level=warning" : "";
    log.writer->info("time_ms={} host={}{} event={}{}", now.count(), log.host, level, event_,
                     text_);
}

void start_event_log(std::string_view host) {
    auto& log = state();
    const std::scoped_lock lock{log.mutex};
    log.host = host;
    log.pool = std::make_shared<spdlog::details::thread_pool>(queue_capacity_lines, 1);
    log.writer =
        std::make_shared<spdlog::async_logger>("events", std::make_shared<stdout_sink>(), log.pool,
                                               spdlog::async_overflow_policy::overrun_oldest);
}

void stop_event_log() {
    auto& log = state();
    std::shared_ptr<spdlog::details::thread_pool> pool;
    {
        const std::scoped_lock lock{log.mutex};
        log.writer.reset();
        pool = std::move(log.pool);
    }
    // The destructor of the pool flushes the queue. It runs without the lock, so that threads that
    // log meanwhile do not wait for the output.
    pool.reset();
}

std::uint64_t suppressed_event_lines() noexcept {
    const auto& log = state();
    const auto overrun = log.pool ? log.pool->overrun_counter() : 0;
    return dropped_lines.load() + overrun;
}

}  // namespace masticgrade
