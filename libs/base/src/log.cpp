#include "masticgrade/base/log.hpp"

#include <fmt/chrono.h>

#include <atomic>
#include <chrono>
#include <cstdio>

#include "masticgrade/base/error.hpp"

namespace masticgrade {

namespace {

std::atomic<log_level> min_level{log_level::info};

std::string_view level_name(log_level level) {
    switch (level) {
        case log_level::debug:
            return "debug";
        case log_level::info:
            return "info";
        case log_level::warning:
            return "warning";
        case log_level::error:
            return "error";
    }
    return "unknown";
}

}  // namespace

void set_log_level(log_level level) noexcept { min_level.store(level); }

log_level parse_log_level(std::string_view text) {
    for (const auto level :
         {log_level::debug, log_level::info, log_level::warning, log_level::error}) {
        if (text == level_name(level)) {
            return level;
        }
    }
    throw error("settings", "",
                fmt::format("log level \"{}\" is not one of debug, info, warning, error", text));
}

bool logger::enabled(log_level level) noexcept { return level >= min_level.load(); }

void logger::write(log_level level, std::string_view message) const {
    const auto now =
        std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto millis = now.time_since_epoch().count() % 1000;
    const auto line = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03d}Z {} {}: {}\n",
                                  fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis,
                                  level_name(level), prefix_, message);
    // A single fwrite call holds the stream lock for the whole line, so lines do not interleave.
    std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace masticgrade
