#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <future>
#include <memory>
#include <utility>

#include "masticgrade/base/error.hpp"
#include "masticgrade/base/invariant.hpp"
#include "masticgrade/control/commands.hpp"
#include "masticgrade/net/platform_client.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

struct command_runner {
    control_services services;

    asio::awaitable<command_result> operator()(apply_command command) const {
        return run_apply(services, std::move(command));
    }
    asio::awaitable<command_result> operator()(show_command) const { return run_show(services); }
    asio::awaitable<command_result> operator()(status_command) const {
        return run_status(services);
    }
    asio::awaitable<command_result> operator()(explain_command command) const {
        return run_explain(services, std::move(command));
    }
    asio::awaitable<command_result> operator()(drain_command command) const {
        return run_drain(services, std::move(command));
    }
    asio::awaitable<command_result> operator()(add_key_command command) const {
        return run_add_key(services, std::move(command));
    }
    asio::awaitable<command_result> operator()(revoke_key_command command) const {
        return run_revoke_key(services, std::move(command));
    }
    asio::awaitable<command_result> operator()(const help_command&) const {
        return reject_local_command();
    }
    asio::awaitable<command_result> operator()(const check_command&) const {
        return reject_local_command();
    }

private:
    [[noreturn]] static asio::awaitable<command_result> reject_local_command() {
        detail::throw_precondition("the command needs the services", "run_command");
    }
};

/// Stands in for the proxies when none is configured; commands that only read the platform need
/// none.
class unconfigured_proxy_admin final : public proxy_admin {
public:
    asio::awaitable<boost::json::object> read_status(time_point) override {
        throw error("read status", "", "no proxy is given");
    }
};

command_result run_with_services(const control_arguments& arguments) {
    asio::io_context context;
    platform_client table{context.get_executor(), arguments.platform.value()};
    std::unique_ptr<proxy_admin> proxies = std::make_unique<unconfigured_proxy_admin>();
    if (!arguments.proxies.empty()) {
        proxies = std::make_unique<http_proxy_admin>(context.get_executor(), arguments.proxies);
    }
    const control_services services{table, *proxies, steady_clock::now() + arguments.timeout};
    auto result =
        asio::co_spawn(context, run_command(services, arguments.command), asio::use_future);
    context.run();
    return result.get();
}

command_result run_parsed(const control_arguments& arguments) {
    if (std::holds_alternative<help_command>(arguments.command)) {
        return {exit_code::done, usage_text(), {}};
    }
    if (const auto* check = std::get_if<check_command>(&arguments.command)) {
        return run_check(*check);
    }
    return run_with_services(arguments);
}

/// Prints results to standard output and, without --json, failures to standard error.
void print(const command_result& result, bool json) {
    const auto text = json ? boost::json::serialize(result.document) : result.text;
    const bool failed =
        result.code != exit_code::done && result.code != exit_code::not_acknowledged;
    fmt::print(failed && !json ? stderr : stdout, "{}\n", text);
}

}  // namespace

asio::awaitable<command_result> run_command(control_services services, control_command command) {
    return std::visit(command_runner{services}, std::move(command));
}

int run_control(const std::vector<std::string>& words) {
    bool json = false;
    command_result result;
    try {
        const auto arguments = parse_arguments(words);
        json = arguments.json;
        result = run_parsed(arguments);
    } catch (const usage_error& failure) {
        result = {exit_code::bad_usage, "masticgradectl: " + failure.reason(), {}};
    } catch (const std::exception& failure) {
        result = {exit_code::failed,
                  std::string{"masticgradectl: "} + failure.what(),
                  {{"outcome", "failed"}, {"reason", failure.what()}}};
    }
    print(result, json);
    return static_cast<int>(result.code);
}

}  // namespace masticgrade
