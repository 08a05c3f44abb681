#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "masticgrade/base/error.hpp"
#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"

namespace masticgrade {

struct help_command {};
struct check_command {
    std::string folder;
};
struct apply_command {
    std::string folder;
    std::optional<fleet_version> base = std::nullopt;
    std::string operator_name = {};
};
struct show_command {};
struct status_command {};

enum class subject_kind { customer, group, domain, server };

struct explain_command {
    subject_kind kind;
    std::string name;
};
/// Drains a failure domain or a server, or returns it to service.
struct drain_command {
    bool drained;
    subject_kind kind;
    std::string name;
};
struct add_key_command {
    customer_id customer;
    /// If absent, a random id is generated.
    std::optional<key_id> id = std::nullopt;
};
struct revoke_key_command {
    key_id id;
};

using control_command =
    std::variant<help_command, check_command, apply_command, show_command, status_command,
                 explain_command, drain_command, add_key_command, revoke_key_command>;

struct control_arguments {
    control_command command;
    /// Present for every command except help and check.
    std::optional<endpoint_address> platform = std::nullopt;
    /// Not empty for `status` and for the commands that change the configuration or operations.
    std::vector<endpoint_address> proxies = {};
    milliseconds timeout{10000};
    bool json = false;
};

/// Invalid flags, environment variables or positional arguments. The message names the setting, its
/// value and the accepted range.
class usage_error : public error {
public:
    explicit usage_error(const std::string& reason) : error("usage", "", reason) {}
};

/// Parses the arguments after the program name. Settings not given as flags are read from the
/// environment variables MASTICGRADE_PLATFORM, MASTICGRADE_PROXY and so on.
/// Throws usage_error. Thread safety: must not overlap with changes to the environment.
control_arguments parse_arguments(const std::vector<std::string>& words);

/// Thread safety: reentrant.
std::string usage_text();

}  // namespace masticgrade
