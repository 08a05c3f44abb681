#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>
#include <string>

#include "masticgrade/base/time.hpp"
#include "masticgrade/control/arguments.hpp"
#include "masticgrade/control/proxy_admin.hpp"
#include "masticgrade/net/table_service.hpp"

namespace masticgrade {

/// Exit codes of masticgradectl; docs/OPERATIONS.md explains them to operators.
enum class exit_code {
    done = 0,
    failed = 1,
    bad_usage = 2,
    invalid_configuration = 3,
    conflict = 4,
    not_acknowledged = 5,
    outcome_unknown = 6
};

struct command_result {
    exit_code code = exit_code::done;
    /// The result in human-readable form: one or more lines without a trailing newline.
    std::string text;
    /// The result in machine-readable form, printed with --json.
    boost::json::object document;
};

/// The services that the commands use. Precondition: they outlive the command.
struct control_services {
    table_service& table;
    proxy_admin& proxies;
    time_point deadline;
    milliseconds retry_interval{200};
};

// Each command throws masticgrade::error if a service is unreachable or a name is unknown; nothing
// has been changed in that case. Thread safety: commands may run concurrently.

command_result run_check(const check_command& command);
boost::asio::awaitable<command_result> run_apply(control_services services, apply_command command);
boost::asio::awaitable<command_result> run_show(control_services services);
boost::asio::awaitable<command_result> run_status(control_services services);
boost::asio::awaitable<command_result> run_explain(control_services services,
                                                   explain_command command);
boost::asio::awaitable<command_result> run_drain(control_services services, drain_command command);
boost::asio::awaitable<command_result> run_add_key(control_services services,
                                                   add_key_command command);
boost::asio::awaitable<command_result> run_revoke_key(control_services services,
                                                      revoke_key_command command);

/// Runs a command that needs the services. Precondition: the command is neither help nor check.
boost::asio::awaitable<command_result> run_command(control_services services,
                                                   control_command command);

/// Runs masticgradectl: parses the arguments, runs the command and prints its result. Returns the
/// exit code of the process.
int run_control(const std::vector<std::string>& words);

}  // namespace masticgrade
