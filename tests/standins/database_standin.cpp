#include <fmt/format.h>

#include <cstdio>
#include <iostream>

#include "database_server.hpp"

namespace {

namespace options = boost::program_options;
using namespace masticgrade::standins;
using masticgrade::milliseconds;

instance_role parse_role(const std::string& name) {
    if (name == "primary") {
        return instance_role::primary;
    }
    if (name == "replica") {
        return instance_role::replica;
    }
    throw std::invalid_argument("--initial-role is neither primary nor replica: " + name);
}

milliseconds length_of(const options::variables_map& flags, const char* name) {
    return milliseconds{flags[name].as<unsigned>()};
}

options::options_description describe_flags(database_settings& settings) {
    options::options_description flags(
        "database_standin: one instance of a database group for test runs.\n"
        "Term and log are kept in memory only: an instance that was ended comes back empty and "
        "must not be given its old place while its group relies on what it had confirmed");
    const auto text = [](std::string& target, const char* fallback) {
        return options::value(&target)->default_value(fallback);
    };
    const auto count = [](unsigned fallback) {
        return options::value<unsigned>()->default_value(fallback);
    };
    flags.add_options()("help", "print this text")("instance", text(settings.instance, "db"),
                                                   "name of the instance")(
        "listen", text(settings.listen, "127.0.0.1:0"), "ip:port")(
        "control", text(settings.control, "127.0.0.1:0"), "ip:port of the control port")(
        "initial-role", options::value<std::string>()->default_value("replica"),
        "primary or replica")("initial-term",
                              options::value(&settings.initial_term)->default_value(0),
                              "term at the start; a primary appends its start entry")(
        "primary", text(settings.primary, ""), "ip:port of the primary that a replica follows")(
        "slots", count(3), "statements executed at once")(
        "max-connections", count(20), "connections that carry statements or transactions")(
        "setup-delay-ms", count(10), "time to set up a connection")(
        "receive-delay-ms", count(0), "time until an entry of the primary is received")(
        "apply-lag-ms", count(0), "time from received to applied");
    return flags;
}

int run(int argc, const char* const* argv) {
    database_settings settings;
    const auto values = parse_flags(argc, argv, describe_flags(settings));
    if (!values) {
        return 0;
    }
    settings.initial_role = parse_role((*values)["initial-role"].as<std::string>());
    settings.slots = (*values)["slots"].as<unsigned>();
    settings.max_connections = (*values)["max-connections"].as<unsigned>();
    settings.setup_delay = length_of(*values, "setup-delay-ms");
    settings.receive_delay = length_of(*values, "receive-delay-ms");
    settings.apply_lag = length_of(*values, "apply-lag-ms");
    if (settings.slots == 0) {
        throw std::invalid_argument("--slots must be at least 1");
    }
    boost::asio::io_context io(1);
    const database_server server(io, settings);
    fmt::print("database_standin instance={} port={} control={}\n", settings.instance,
               server.port(), server.control_port_number());
    std::fflush(stdout);
    run_until_signal(io);
}

}  // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const std::exception& failure) {
        std::cerr << "database_standin: " << failure.what() << '\n';
        return 2;
    }
}
