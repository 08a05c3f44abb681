#pragma once

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace masticgrade {

enum class log_level { debug, info, warning, error };

/// Sets the minimum level that is logged. Thread safety: safe to call from any thread.
void set_log_level(log_level level) noexcept;

/// Parses "debug", "info", "warning" or "error". Throws masticgrade::error otherwise.
log_level parse_log_level(std::string_view text);

/// Writes log messages to standard error, one per line, with a fixed component prefix.
/// Thread safety: safe to use from any thread; lines are not interleaved.
class logger {
public:
    /// Precondition: `prefix` outlives the logger; usually a string literal such as "failover".
    constexpr explicit logger(std::string_view prefix) noexcept : prefix_(prefix) {}

    template <class... Args>
    void debug(fmt::format_string<Args...> format, Args&&... args) const {
        write_formatted(log_level::debug, format, std::forward<Args>(args)...);
    }
    template <class... Args>
    void info(fmt::format_string<Args...> format, Args&&... args) const {
        write_formatted(log_level::info, format, std::forward<Args>(args)...);
    }
    template <class... Args>
    void warning(fmt::format_string<Args...> format, Args&&... args) const {
        write_formatted(log_level::warning, format, std::forward<Args>(args)...);
    }
    template <class... Args>
    void error(fmt::format_string<Args...> format, Args&&... args) const {
        write_formatted(log_level::error, format, std::forward<Args>(args)...);
    }

private:
    template <class... Args>
    void write_formatted(log_level level, fmt::format_string<Args...> format,
                         Args&&... args) const {
        if (enabled(level)) {
            write(level, fmt::format(format, std::forward<Args>(args)...));
        }
    }
    static bool enabled(log_level level) noexcept;
    void write(log_level level, std::string_view message) const;

    std::string_view prefix_;
};

}  // namespace masticgrade
