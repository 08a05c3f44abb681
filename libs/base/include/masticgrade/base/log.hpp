#pragma once

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace masticgrade {

enum class log_level { debug, info, warning, error };

/// Sets the lowest level that is written. Thread safety: may be called at any time.
void set_log_level(log_level level) noexcept;

/// Parses "debug", "info", "warning" or "error". Throws masticgrade::error for any other text.
log_level parse_log_level(std::string_view text);

/// Writes short sentences with a fixed prefix to standard error, one line each.
/// Thread safety: lines of several threads never mix.
class logger {
public:
    /// Precondition: `prefix` outlives the logger; it is normally a literal such as "failover".
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
    void write(log_level level, std::string_view sentence) const;

    std::string_view prefix_;
};

}  // namespace masticgrade
