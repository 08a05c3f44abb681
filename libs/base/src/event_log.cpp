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

/// Lines per second of one event name; 40 requests a second are refused on a small host in a burst.
constexpr unsigned lines_per_second = 50;
/// Lines that wait for a slow reader, about 1 MB.
constexpr std::size_t queue_lines = 4096;
/// How long the background thread waits for a reader of standard output before it drops a line, ms.
constexpr int reader_timeout_ms = 50;

std::atomic<std::uint64_t> suppressed{0};

/// Writes to standard output and drops a line that the reader does not take in time.
class pipe_sink final : public spdlog::sinks::base_sink<std::mutex> {
protected:
    void sink_it_(const spdlog::details::log_msg& message) override {
        std::string line{message.payload.begin(), message.payload.end()};
        line += '\n';
        std::string_view rest{line};
        while (!rest.empty()) {
            pollfd output{STDOUT_FILENO, POLLOUT, 0};
            if (::poll(&output, 1, reader_timeout_ms) <= 0) {
                ++suppressed;
                return;
            }
            const auto written = ::write(STDOUT_FILENO, rest.data(), rest.size());
            if (written <= 0) {
                ++suppressed;
                return;
            }
            rest.remove_prefix(static_cast<std::size_t>(written));
        }
    }
    void flush_() override {}
};

struct line_budget {
    std::int64_t second = 0;
    unsigned lines = 0;
};

/// Process-wide state of the log.
struct log_state {
    std::mutex mutex;
    std::map<std::string_view, line_budget> budgets;
    std::shared_ptr<spdlog::details::thread_pool> pool;
    std::shared_ptr<spdlog::async_logger> writer;
    std::string host;
};

log_state& state() {
    static log_state instance;
    return instance;
}

bool take_line(log_state& log, std::string_view event) {
    const auto second =
        std::chrono::duration_cast<seconds>(steady_clock::now().time_since_epoch()).count();
    auto& budget = log.budgets[event];
    if (budget.second != second) {
        budget = {second, 0};
    }
    return ++budget.lines <= lines_per_second;
}

bool needs_quotes(std::string_view value) {
    return value.empty() || value.find_first_of(" \"=\\") != std::string_view::npos;
}

}  // namespace

event_line::event_line(std::string_view event) : event_(event) {}

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
    if (!take_line(log, event_)) {
        ++suppressed;
        return;
    }
    const auto now = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    log.writer->info("time_ms={} host={} event={}{}", now.count(), log.host, event_, text_);
}

void start_event_log(std::string_view host) {
    auto& log = state();
    const std::scoped_lock lock{log.mutex};
    log.host = host;
    log.pool = std::make_shared<spdlog::details::thread_pool>(queue_lines, 1);
    log.writer =
        std::make_shared<spdlog::async_logger>("events", std::make_shared<pipe_sink>(), log.pool,
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
    // The pool's destructor writes what is queued.
    pool.reset();
}

std::uint64_t suppressed_event_lines() noexcept {
    const auto& log = state();
    const auto overrun = log.pool ? log.pool->overrun_counter() : 0;
    return suppressed.load() + overrun;
}

}  // namespace masticgrade
