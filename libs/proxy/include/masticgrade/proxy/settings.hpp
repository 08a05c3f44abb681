#pragma once

#include <optional>
#include <string>
#include <vector>

#include "masticgrade/base/log.hpp"
#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// What a proxy process is told at start; everything else it learns from the platform.
struct proxy_settings {
    host_id host;
    failure_domain_id failure_domain;
    endpoint_address listen;
    endpoint_address admin_listen;
    endpoint_address peer_listen;
    /// The address under which peers reach `peer_listen`.
    endpoint_address peer_advertise;
    endpoint_address platform;
    /// The first secret signs session tokens; all of them verify.
    std::vector<std::string> token_secrets;
    unsigned threads = 2;
    /// How long after the readiness check has turned negative the balancer may still send requests.
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

/// Reads flags and then environment variables named MASTICGRADE_ and the flag in upper case with
/// underscores; a flag takes precedence.
/// Throws masticgrade::error that names the setting, its value and the accepted range.
/// Thread safety: must not run while another thread changes the environment.
parsed_settings parse_settings(int argc, const char* const* argv);

}  // namespace masticgrade
