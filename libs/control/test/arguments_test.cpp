#include "masticgrade/control/arguments.hpp"

#include <doctest/doctest.h>

#include "masticgrade/control/proxy_admin.hpp"

#include <boost/json.hpp>
#include <cstdlib>

using namespace masticgrade;

namespace {

std::vector<std::string> with_services(std::vector<std::string> words) {
    words.insert(words.end(), {"--platform", "127.0.0.1:1", "--proxy", "127.0.0.1:2,[::1]:3"});
    return words;
}

}  // namespace

TEST_CASE("commands, flags and environment variables are parsed") {
    const auto apply = parse_arguments(with_services(
        {"apply", "conf", "--base", "7", "--operator", "anna", "--timeout-ms", "500", "--json"}));
    const auto& command = std::get<apply_command>(apply.command);
    CHECK(command.folder == "conf");
    CHECK(command.base == fleet_version{7});
    CHECK(command.operator_name == "anna");
    CHECK(apply.proxies.size() == 2);
    CHECK(apply.timeout == milliseconds{500});
    CHECK(apply.json);
    CHECK_FALSE(std::get<drain_command>(
                    parse_arguments(with_services({"return", "server", "db-1"})).command)
                    .drained);
    setenv("MASTICGRADE_PLATFORM", "127.0.0.1:9", 1);
    CHECK(parse_arguments({"show"}).platform == endpoint_address{"127.0.0.1:9"});
    unsetenv("MASTICGRADE_PLATFORM");
}

// Guards against a mistyped command line that runs a command other than the intended one.
TEST_CASE("invalid settings are reported with their name, value and accepted range") {
    const auto fails = [](const std::vector<std::string>& words, const char* part) {
        CAPTURE(part);
        CHECK_THROWS_WITH_AS(parse_arguments(words), doctest::Contains(part), usage_error);
    };
    fails(with_services({"apply", "x", "--base", "-1"}), "base: \"-1\" is not an integer from 0");
    fails(with_services({"show", "--timeout-ms", "5"}), "timeout-ms: \"5\"");
    fails({"show"}, "platform");
    fails({"status", "--platform", "127.0.0.1:1"}, "proxy");
    fails({"show", "--platform", "localhost:1"}, "platform: \"localhost:1\"");
    fails(with_services({"show", "--proxy", "127.0.0.1:1,"}), "proxy");
    fails(with_services({"drain", "group", "g"}), "\"group\" is not one of domain, server");
    fails(with_services({"drain", "domain"}), "NAME is missing");
    fails(with_services({"key", "remove", "k1"}), "add, revoke");
    fails(with_services({"show", "all"}), "\"all\"");
    fails(with_services({"show", "--base", "1"}), "base");
    fails(with_services({"show", "--unknown"}), "unknown");
    fails({}, "command");
}

// Guards against counting a member twice towards the majority, or one with a malformed version.
TEST_CASE("malformed or duplicate members in a status are rejected") {
    const auto parse = [](std::string_view text) {
        return parse_member_versions(boost::json::parse(text).as_object());
    };
    const auto members = parse(R"({"members": [{"id": "a", "version": 3}], "other": 1})");
    REQUIRE(members.size() == 1);
    CHECK(members.front().version == fleet_version{3});
    for (const auto* bad :
         {R"({})", R"({"members": 1})", R"({"members": [{"id": "a"}]})",
          R"({"members": [{"id": "a", "version": -1}]})",
          R"({"members": [{"id": "a", "version": "3"}]})",
          R"({"members": [{"id": "a", "version": 1}, {"id": "a", "version": 1}]})"}) {
        CAPTURE(bad);
        CHECK_THROWS_AS(parse(bad), error);
    }
}
