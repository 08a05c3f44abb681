#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "masticgrade/base/time.hpp"

namespace masticgrade {

enum class event_severity { info, warning };

/// A structured log line in logfmt, used for decisions, state changes and dependency failures:
///
///     event_line{"refused"}.field("request", id).field("reason", "above_rate").write();
///
/// A background thread writes the lines to standard output. `write` never blocks on output: each
/// event name is rate-limited, the queue is bounded, and lines beyond either limit are dropped and
/// counted. Never log key material. Thread safety: distinct objects may be used concurrently.
class event_line {
public:
    /// Precondition: `event` is a string literal from a small fixed set; lines are rate-limited per
    /// event. Lines of `event_severity::warning` carry the field `level=warning`.
    explicit event_line(std::string_view event, event_severity severity = event_severity::info);

    template <class Value>
    event_line& field(std::string_view name, const Value& value) {
        append(name, fmt::format("{}", value));
        return *this;
    }
    /// Adds a duration in milliseconds, rounded toward zero.
    event_line& field_ms(std::string_view name, boot_clock::duration value);
    void write();

private:
    void append(std::string_view name, std::string_view value);

    std::string_view event_;
    event_severity severity_;
    std::string text_;
};

/// Starts the background writer. Lines written earlier are discarded. Thread safety: call once.
void start_event_log(std::string_view host);
/// Flushes the queue and stops the writer. Thread safety: call once, at shutdown.
void stop_event_log();
/// The number of lines dropped by rate limiting or because the consumer of standard output is too
/// slow.
std::uint64_t suppressed_event_lines() noexcept;

}  // namespace masticgrade
