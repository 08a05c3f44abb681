#pragma once

#include <optional>
#include <string>
#include <vector>

#include "masticgrade/base/log.hpp"
#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// Start-up settings of a proxy process. All other configuration comes from the platform.
struct proxy_settings {
    host_id host;
    failure_domain_id failure_domain;
    endpoint_address listen;
    endpoint_address admin_listen;
    endpoint_address peer_listen;
    /// The address under which peers reach `peer_listen`.
    endpoint_address peer_advertise;
    endpoint_address platform;
    /// The first secret signs session tokens; every secret is accepted for verification.
    std::vector<std::string> token_secrets;
    unsigned threads = 2;
    /// How long the load balancer may still send requests after the readiness check fails.
    milliseconds balancer_grace{0};
    log_level level = log_level::info;
    bool primary_reads_only = false;
    bool static_rate_split = false;
    bool first_come_queue = false;
};

enum class settings_action { run, check, help, version };

struct parsed_settings {
    settings_action action = settings_action::run;
    proxy_settings settings;
    /// The text to print for `help` and `version`.
    std::string text;
};

/// Reads command-line flags and environment variables. A variable is named MASTICGRADE_ plus the
/// flag in upper case with underscores. Flags take precedence over variables.
/// Throws masticgrade::error, naming the setting, its value and the accepted range.
/// Thread safety: must not run while another thread changes the environment.
parsed_settings parse_settings(int argc, const char* const* argv);

}  // namespace masticgrade
