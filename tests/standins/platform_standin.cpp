#include <fmt/format.h>

#include <cstdio>
#include <iostream>

#include "platform_server.hpp"

namespace {

namespace options = boost::program_options;
using namespace masticgrade::standins;

int run(int argc, const char* const* argv) {
    platform_settings settings;
    std::int64_t host_list_lag_ms = 0;
    options::options_description flags(
        "platform_standin: table service, object store and host list for test runs.\n"
        "Everything is kept in memory only and lost when the program ends");
    flags.add_options()("help", "print this text")(
        "listen", options::value(&settings.listen)->default_value("127.0.0.1:0"), "ip:port")(
        "control", options::value(&settings.control)->default_value("127.0.0.1:0"),
        "ip:port of the control port")(
        "host", options::value(&settings.hosts)->composing(),
        "id=..,address=ip:port,failure_domain=..,kind=proxy|backend[,state=live|leaving]; may be "
        "repeated")("host-list-lag-ms", options::value(&host_list_lag_ms)->default_value(0),
                    "age at which a change of the host list becomes visible");
    if (!parse_flags(argc, argv, flags)) {
        return 0;
    }
    settings.host_list_lag = masticgrade::milliseconds{host_list_lag_ms};
    boost::asio::io_context io(1);
    const platform_server server(io, settings);
    fmt::print("platform_standin port={} control={}\n", server.port(),
               server.control_port_number());
    std::fflush(stdout);
    run_until_signal(io);
}

}  // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const std::exception& failure) {
        std::cerr << "platform_standin: " << failure.what() << '\n';
        return 2;
    }
}
