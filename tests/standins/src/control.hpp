#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <functional>
#include <optional>
#include <string>

#include "http_server.hpp"

namespace masticgrade::standins {

/// Hooks of a control port; what is not set answers 404.
struct control_hooks {
    /// Called with each POST /control after the fault was applied.
    std::function<void(const boost::json::object&)> changed{};
    /// GET /control/log.
    std::function<boost::json::value()> log{};
};

/// The control port of a stand-in, which itself is free of faults. Thread safety: one thread.
class control_port {
public:
    /// Precondition: all arguments outlive the run of `io`.
    control_port(boost::asio::io_context& io, const std::string& address, fault_state& faults,
                 control_hooks hooks);

    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

private:
    class session;

    control_hooks hooks_;
    fault_state no_faults_;
    http_server server_;
};

http_response json_response(const boost::json::value& body, unsigned status = 200);

/// Parses flags. Prints the help text and returns nothing when it was asked for; throws
/// boost::program_options::error for a wrong flag.
std::optional<boost::program_options::variables_map> parse_flags(
    int argc, const char* const* argv, const boost::program_options::options_description& flags);

/// Runs until SIGTERM or SIGINT, then ends the process with code 0.
[[noreturn]] void run_until_signal(boost::asio::io_context& io);

}  // namespace masticgrade::standins
