#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "masticgrade/base/time.hpp"

namespace masticgrade {

/// One structured log line in logfmt, for a decision, a change of state or a lost dependency:
///
///     event_line{"refused"}.field("request", id).field("reason", "above_rate").write();
///
/// Lines go to standard output from a background thread. A writer never blocks: each event name has
/// a budget of lines per second, the queue is bounded, and what exceeds either is dropped and
/// counted. Never pass key material. Thread safety: separate objects may be used on any thread.
class event_line {
public:
    /// Precondition: `event` is a literal from a small fixed set; it names the budget.
    explicit event_line(std::string_view event);

    template <class Value>
    event_line& field(std::string_view name, const Value& value) {
        append(name, fmt::format("{}", value));
        return *this;
    }
    /// Adds the whole milliseconds of a duration under `name`.
    event_line& field_ms(std::string_view name, boot_clock::duration value);
    void write();

private:
    void append(std::string_view name, std::string_view value);

    std::string_view event_;
    std::string text_;
};

/// Starts the background writer; lines written before are dropped. Thread safety: call once.
void start_event_log(std::string_view host);
/// Writes the lines that are queued and stops the writer. Thread safety: call once, at the end.
void stop_event_log();
/// Lines dropped since the start, by budget or because the reader is too slow.
std::uint64_t suppressed_event_lines() noexcept;

}  // namespace masticgrade
