#include "control.hpp"

#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace masticgrade::standins {

namespace asio = boost::asio;
namespace json = boost::json;
namespace options = boost::program_options;

class control_port::session : public http_session {
public:
    session(fault_state& faults, const control_hooks& hooks) : faults_(faults), hooks_(hooks) {}

    asio::awaitable<http_response> handle(http_request request) override {
        co_return answer(request);
    }

private:
    http_response answer(const http_request& request) {
        if (request.method == "GET" && request.target == "/control/log" && hooks_.log) {
            return json_response(hooks_.log());
        }
        if (request.method != "POST" || request.target != "/control") {
            return json_response(json::object{{"reason", "unknown path"}}, 404);
        }
        try {
            const auto body = json::parse(request.body).as_object();
            if (body.contains("fault")) {
                apply_fault(faults_, body);
            }
            hooks_.changed(body);
            return json_response(json::object{{"status", "ok"}});
        } catch (const std::exception& failure) {
            return json_response(json::object{{"reason", failure.what()}}, 400);
        }
    }

    fault_state& faults_;
    const control_hooks& hooks_;
};

control_port::control_port(asio::io_context& io, const std::string& address, fault_state& faults,
                           control_hooks hooks)
    : hooks_(std::move(hooks)), server_(io, address, {}, no_faults_, [this, &faults] {
          return std::make_unique<session>(faults, hooks_);
      }) {}

http_response json_response(const json::value& body, unsigned status) {
    return {.status = status, .body = json::serialize(body)};
}

std::optional<options::variables_map> parse_flags(int argc, const char* const* argv,
                                                  const options::options_description& flags) {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, flags), values);
    if (values.contains("help")) {
        std::cout << flags << '\n';
        return std::nullopt;
    }
    options::notify(values);
    return values;
}

void run_until_signal(asio::io_context& io) {
    asio::signal_set signals(io, SIGTERM, SIGINT);
    // Suspended coroutines refer to the servers, so the process ends without unwinding either.
    signals.async_wait([](const boost::system::error_code&, int) { std::quick_exit(0); });
    io.run();
    std::abort();
}

}  // namespace masticgrade::standins
