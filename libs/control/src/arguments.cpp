#include "masticgrade/control/arguments.hpp"

#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <charconv>
#include <cstdlib>
#include <limits>
#include <string_view>
#include <utility>

#include "masticgrade/version/text_validation.hpp"

namespace masticgrade {

namespace po = boost::program_options;

namespace {

constexpr std::string_view environment_prefix = "MASTICGRADE_";
constexpr std::uint64_t min_timeout_ms = 100;
constexpr std::uint64_t max_timeout_ms = 600'000;
constexpr std::string_view commands_text = R"(masticgradectl COMMAND [FLAGS]

Commands:
  check DIR                       check a configuration folder
  apply DIR [--base V]            record a folder as the configuration of the fleet
  show                            show the configuration and the operations in force
  status                          show versions, members and groups
  explain customer|group|domain NAME
  drain domain|server NAME        take a failure domain or a backend server out
  return domain|server NAME       return it to service
  key add CUSTOMER [--id ID]      create a key and print it once
  key revoke ID                   revoke a key for good

)";

po::options_description describe_flags() {
    po::options_description flags{"Flags, or environment variables MASTICGRADE_PLATFORM and so on"};
    const auto text = [] { return po::value<std::string>(); };
    flags.add_options()("help", "print this text");
    flags.add_options()("platform", text(), "ip:port of the platform's table service");
    flags.add_options()("proxy", text(),
                        "ip:port of the admin address of a proxy; several by comma");
    flags.add_options()("timeout-ms", text(), "time for the whole command, 100 to 600000 (10000)");
    flags.add_options()("operator", text(), "who applies the folder (USER)");
    flags.add_options()("json", po::bool_switch(), "print one JSON object");
    flags.add_options()("base", text(), "version of fleet/config that the folder is based on");
    flags.add_options()("id", text(), "id of the key to add");
    return flags;
}

/// Returns the flag that corresponds to an environment variable, or an empty string.
std::string flag_of_variable(const std::string& variable) {
    for (const auto* flag : {"platform", "proxy", "timeout-ms", "operator"}) {
        std::string name{environment_prefix};
        for (const char c : std::string_view{flag}) {
            name += c == '-' ? '_' : static_cast<char>(c - 'a' + 'A');
        }
        if (variable == name) {
            return flag;
        }
    }
    return {};
}

po::variables_map parse_flags(const std::vector<std::string>& words,
                              std::vector<std::string>& command) {
    auto all = describe_flags();
    all.add_options()("word", po::value<std::vector<std::string>>());
    po::positional_options_description positions;
    positions.add("word", -1);
    // Abbreviated flags are rejected: a flag added in a later release could make them ambiguous.
    const auto style = po::command_line_style::unix_style ^ po::command_line_style::allow_guessing;
    po::variables_map values;
    try {
        po::store(
            po::command_line_parser(words).options(all).positional(positions).style(style).run(),
            values);
        po::store(po::parse_environment(describe_flags(), flag_of_variable), values);
    } catch (const po::error& failure) {
        throw usage_error(failure.what());
    }
    if (values.contains("word")) {
        command = values["word"].as<std::vector<std::string>>();
    }
    return values;
}

std::optional<std::string> find_text(const po::variables_map& values, const char* flag) {
    return values.contains(flag) ? std::optional{values[flag].as<std::string>()} : std::nullopt;
}

std::uint64_t parse_number(std::string_view setting, const std::string& value, std::uint64_t lowest,
                           std::uint64_t highest) {
    std::uint64_t number = 0;
    const auto* end = value.data() + value.size();
    const auto [rest, failure] = std::from_chars(value.data(), end, number);
    if (failure != std::errc{} || rest != end || number < lowest || number > highest) {
        throw usage_error(fmt::format("{}: \"{}\" is not an integer from {} to {}", setting, value,
                                      lowest, highest));
    }
    return number;
}

endpoint_address parse_address(std::string_view setting, const std::string& value) {
    if (!is_valid_address(value)) {
        throw usage_error(
            fmt::format("{}: \"{}\" is not ip:port with a port from 1 to 65535", setting, value));
    }
    return endpoint_address{value};
}

std::vector<endpoint_address> parse_proxies(std::string_view list) {
    std::vector<endpoint_address> proxies;
    while (true) {
        const auto comma = list.find(',');
        proxies.push_back(parse_address("proxy", std::string{list.substr(0, comma)}));
        if (comma == std::string_view::npos) {
            return proxies;
        }
        list.remove_prefix(comma + 1);
    }
}

/// Reads the positional arguments of the command in order.
class word_reader {
public:
    explicit word_reader(std::vector<std::string> words) : words_(std::move(words)) {}

    std::string next(std::string_view what, std::string_view accepted = "a name") {
        if (position_ == words_.size()) {
            throw usage_error(fmt::format("{} is missing: {} is expected", what, accepted));
        }
        return words_[position_++];
    }
    void finish() const {
        if (position_ != words_.size()) {
            throw usage_error(fmt::format("unexpected word \"{}\"", words_[position_]));
        }
    }

private:
    std::vector<std::string> words_;
    std::size_t position_ = 0;
};

subject_kind parse_kind(const std::string& word, std::string_view accepted) {
    constexpr std::pair<std::string_view, subject_kind> kinds[] = {
        {"customer", subject_kind::customer},
        {"group", subject_kind::group},
        {"domain", subject_kind::domain},
        {"server", subject_kind::server}};
    for (const auto& [name, kind] : kinds) {
        if (word == name && accepted.find(name) != std::string_view::npos) {
            return kind;
        }
    }
    throw usage_error(fmt::format("\"{}\" is not one of {}", word, accepted));
}

std::string parse_name(std::string_view setting, std::string value) {
    if (!is_valid_name(value)) {
        throw usage_error(fmt::format("{}: \"{}\" is not a name of 1 to 128 bytes without spaces",
                                      setting, value));
    }
    return value;
}

control_command parse_key_command(word_reader& words, const po::variables_map& values) {
    const auto action = words.next("the action on keys", "add or revoke");
    if (action == "add") {
        add_key_command command{customer_id{words.next("CUSTOMER")}};
        if (auto id = find_text(values, "id")) {
            command.id = key_id{parse_name("id", std::move(*id))};
        }
        return command;
    }
    if (action == "revoke") {
        return revoke_key_command{key_id{words.next("ID")}};
    }
    throw usage_error(fmt::format("key \"{}\" is not one of add, revoke", action));
}

apply_command parse_apply(word_reader& words, const po::variables_map& values) {
    apply_command command{words.next("DIR", "a folder")};
    if (const auto base = find_text(values, "base")) {
        command.base = fleet_version{
            parse_number("base", *base, 0, std::numeric_limits<std::uint64_t>::max())};
    }
    const char* user = std::getenv("USER");
    command.operator_name =
        parse_name("operator", find_text(values, "operator").value_or(user == nullptr ? "" : user));
    return command;
}

control_command parse_command(word_reader& words, const po::variables_map& values) {
    const auto name = words.next("the command",
                                 "check, apply, show, status, explain, drain, "
                                 "return or key");
    if (name == "check") {
        return check_command{words.next("DIR", "a folder")};
    }
    if (name == "apply") {
        return parse_apply(words, values);
    }
    if (name == "show") {
        return show_command{};
    }
    if (name == "status") {
        return status_command{};
    }
    if (name == "explain") {
        constexpr std::string_view accepted = "customer, group, domain";
        const auto kind = parse_kind(words.next("the subject", accepted), accepted);
        return explain_command{kind, words.next("NAME")};
    }
    if (name == "drain" || name == "return") {
        constexpr std::string_view accepted = "domain, server";
        const auto kind = parse_kind(words.next("the subject", accepted), accepted);
        return drain_command{name == "drain", kind, words.next("NAME")};
    }
    if (name == "key") {
        return parse_key_command(words, values);
    }
    throw usage_error(fmt::format(
        "command \"{}\" is not one of check, apply, show, status, explain, drain, return, key",
        name));
}

void reject_flag_without_effect(const po::variables_map& values, const char* flag, bool used) {
    if (!used && values.contains(flag)) {
        throw usage_error(fmt::format("{}: \"{}\" has no effect on this command", flag,
                                      values[flag].as<std::string>()));
    }
}

void require_services(const control_arguments& arguments) {
    if (std::holds_alternative<check_command>(arguments.command)) {
        return;
    }
    if (!arguments.platform) {
        throw usage_error("platform: \"\" is not ip:port with a port from 1 to 65535");
    }
    const bool reads_only = std::holds_alternative<show_command>(arguments.command) ||
                            std::holds_alternative<explain_command>(arguments.command);
    if (!reads_only && arguments.proxies.empty()) {
        throw usage_error("proxy: \"\" is not ip:port with a port from 1 to 65535");
    }
}

}  // namespace

std::string usage_text() {
    return fmt::format("{}{}", commands_text, boost::lexical_cast<std::string>(describe_flags()));
}

control_arguments parse_arguments(const std::vector<std::string>& words) {
    std::vector<std::string> command;
    const auto values = parse_flags(words, command);
    if (values.contains("help")) {
        return {help_command{}};
    }
    word_reader reader{std::move(command)};
    control_arguments arguments{parse_command(reader, values)};
    reader.finish();
    reject_flag_without_effect(values, "base",
                               std::holds_alternative<apply_command>(arguments.command));
    reject_flag_without_effect(values, "id",
                               std::holds_alternative<add_key_command>(arguments.command));
    if (const auto platform = find_text(values, "platform")) {
        arguments.platform = parse_address("platform", *platform);
    }
    if (const auto proxy = find_text(values, "proxy")) {
        arguments.proxies = parse_proxies(*proxy);
    }
    if (const auto timeout = find_text(values, "timeout-ms")) {
        arguments.timeout =
            milliseconds{parse_number("timeout-ms", *timeout, min_timeout_ms, max_timeout_ms)};
    }
    arguments.json = values["json"].as<bool>();
    require_services(arguments);
    return arguments;
}

}  // namespace masticgrade
