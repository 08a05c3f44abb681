#include "masticgrade/proxy/settings.hpp"

#include <algorithm>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/program_options.hpp>
#include <cctype>
#include <sstream>

#include "masticgrade/base/error.hpp"
#include "masticgrade/version/text_validation.hpp"

namespace masticgrade {

namespace po = boost::program_options;

namespace {

constexpr unsigned max_threads = 64;
constexpr unsigned max_balancer_grace_ms = 600000;
constexpr std::size_t min_secret_length = 16;

po::options_description describe_options() {
    po::options_description options{"Settings (flag, or environment variable MASTICGRADE_<FLAG>)"};
    // clang-format off
    options.add_options()
        ("help", "print this text")
        ("version", "print the version")
        ("check", "check the settings and exit")
        ("host-id", po::value<std::string>(), "name of this host, unique in the fleet")
        ("failure-domain", po::value<std::string>(), "failure domain of this host")
        ("listen", po::value<std::string>(), "ip:port for callers")
        ("admin-listen", po::value<std::string>(), "ip:port for operators, health checks and metrics")
        ("peer-listen", po::value<std::string>(), "ip:port for other proxies")
        ("peer-advertise", po::value<std::string>(), "ip:port under which other proxies reach this one (default: peer-listen)")
        ("platform", po::value<std::string>(), "ip:port of the platform's table service")
        ("token-secrets", po::value<std::string>(), "secrets for session tokens, separated by commas; the first one signs (at least 16 characters each)")
        ("threads", po::value<std::string>()->default_value("2"), "threads, 1 to 64")
        ("balancer-grace-ms", po::value<std::string>()->default_value("0"), "time between the negative readiness check and the stop, 0 to 600000 ms")
        ("log-level", po::value<std::string>()->default_value("info"), "debug, info, warning or error")
        ("baseline", po::value<std::string>()->default_value("none"), "for measurements: none, or a list of primary-reads, static-rates, first-come");
    // clang-format on
    return options;
}

std::string environment_name(const std::string& variable) {
    constexpr std::string_view prefix = "MASTICGRADE_";
    if (variable.rfind(prefix, 0) != 0) {
        return {};
    }
    auto name = variable.substr(prefix.size());
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
        return c == '_' ? '-' : static_cast<char>(std::tolower(c));
    });
    static const auto options = describe_options();
    return options.find_nothrow(name, false) == nullptr ? std::string{} : name;
}

[[noreturn]] void reject(const std::string& name, const std::string& value,
                         const std::string& accepted) {
    throw error("settings", "", fmt::format("--{} \"{}\" is not {}", name, value, accepted));
}

std::string required(const po::variables_map& values, const std::string& name) {
    if (values.count(name) == 0) {
        throw error("settings", "", fmt::format("--{} is missing", name));
    }
    return values[name].as<std::string>();
}

std::string checked_name(const po::variables_map& values, const std::string& name) {
    auto value = required(values, name);
    // Any other name would make the members row invalid and unreadable for the whole fleet.
    if (!is_valid_name(value)) {
        reject(name, value, "a name of 1 to 128 bytes without spaces and / ? # % \" \\");
    }
    return value;
}

endpoint_address checked_address(const std::string& name, const std::string& value) {
    if (!is_valid_address(value)) {
        reject(name, value, "of the form ip:port");
    }
    return endpoint_address{value};
}

unsigned checked_number(const po::variables_map& values, const std::string& name, unsigned lowest,
                        unsigned highest) {
    const auto& text = values[name].as<std::string>();
    const bool digits =
        !text.empty() && text.size() <= 9 &&
        std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
    const auto number = digits ? std::stoul(text) : 0UL;
    if (!digits || number < lowest || number > highest) {
        reject(name, text, fmt::format("a whole number from {} to {}", lowest, highest));
    }
    return static_cast<unsigned>(number);
}

std::vector<std::string> checked_secrets(const po::variables_map& values) {
    std::vector<std::string> secrets;
    const auto text = required(values, "token-secrets");
    boost::split(secrets, text, boost::is_any_of(","));
    for (const auto& secret : secrets) {
        if (secret.size() < min_secret_length) {
            // The value is omitted, because error messages must not reveal secrets.
            reject("token-secrets", "...", "a list of secrets of at least 16 characters each");
        }
    }
    return secrets;
}

void set_baselines(const po::variables_map& values, proxy_settings& settings) {
    std::vector<std::string> names;
    const auto text = values["baseline"].as<std::string>();
    boost::split(names, text, boost::is_any_of(","));
    for (const auto& name : names) {
        if (name == "primary-reads") {
            settings.primary_reads_only = true;
        } else if (name == "static-rates") {
            settings.static_rate_split = true;
        } else if (name == "first-come") {
            settings.first_come_queue = true;
        } else if (name != "none") {
            reject("baseline", name, "one of none, primary-reads, static-rates, first-come");
        }
    }
}

proxy_settings check(const po::variables_map& values) {
    proxy_settings settings;
    settings.host = host_id{checked_name(values, "host-id")};
    settings.failure_domain = failure_domain_id{checked_name(values, "failure-domain")};
    settings.listen = checked_address("listen", required(values, "listen"));
    settings.admin_listen = checked_address("admin-listen", required(values, "admin-listen"));
    settings.peer_listen = checked_address("peer-listen", required(values, "peer-listen"));
    settings.peer_advertise =
        values.count("peer-advertise") == 0
            ? settings.peer_listen
            : checked_address("peer-advertise", required(values, "peer-advertise"));
    settings.platform = checked_address("platform", required(values, "platform"));
    settings.token_secrets = checked_secrets(values);
    settings.threads = checked_number(values, "threads", 1, max_threads);
    settings.balancer_grace =
        milliseconds{checked_number(values, "balancer-grace-ms", 0, max_balancer_grace_ms)};
    settings.level = parse_log_level(values["log-level"].as<std::string>());
    set_baselines(values, settings);
    return settings;
}

}  // namespace

parsed_settings parse_settings(int argc, const char* const* argv) {
    const auto options = describe_options();
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(options).run(), values);
        po::store(po::parse_environment(options, environment_name), values);
    } catch (const po::error& failure) {
        throw error("settings", "", failure.what());
    }
    parsed_settings parsed;
    if (values.count("help") != 0) {
        std::ostringstream text;
        text << "masticgrade-proxy: database proxy with session consistency\n\n" << options;
        parsed.action = settings_action::help;
        parsed.text = text.str();
        return parsed;
    }
    if (values.count("version") != 0) {
        parsed.action = settings_action::version;
        parsed.text = "masticgrade-proxy " MASTICGRADE_VERSION "\n";
        return parsed;
    }
    parsed.settings = check(values);
    parsed.action = values.count("check") != 0 ? settings_action::check : settings_action::run;
    return parsed;
}

}  // namespace masticgrade
