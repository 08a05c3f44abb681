#include "masticgrade/proxy/settings.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "masticgrade/base/error.hpp"

using namespace masticgrade;

namespace {

std::vector<std::string> valid_flags() {
    return {"--host-id=h1",
            "--failure-domain=falun",
            "--listen=127.0.0.1:1",
            "--admin-listen=127.0.0.1:2",
            "--peer-listen=127.0.0.1:3",
            "--platform=127.0.0.1:4",
            "--token-secrets=0123456789abcdef,fedcba9876543210"};
}

parsed_settings parse(const std::vector<std::string>& flags) {
    std::vector<const char*> arguments{"masticgrade-proxy"};
    for (const auto& flag : flags) {
        arguments.push_back(flag.c_str());
    }
    return parse_settings(static_cast<int>(arguments.size()), arguments.data());
}

std::string refusal_of(std::vector<std::string> flags, const std::string& changed) {
    flags.push_back(changed);
    const auto name = changed.substr(0, changed.find('='));
    std::erase_if(flags, [&](const std::string& flag) {
        return flag != changed && flag.rfind(name + "=", 0) == 0;
    });
    try {
        parse(flags);
    } catch (const error& failure) {
        return failure.reason();
    }
    return {};
}

}  // namespace

TEST_CASE("valid settings are accepted") {
    const auto parsed = parse(valid_flags());
    CHECK(parsed.action == settings_action::run);
    CHECK(parsed.settings.peer_advertise.str() == "127.0.0.1:3");
    CHECK(parsed.settings.token_secrets.size() == 2);
}

// Guards against a process that starts with an invalid setting.
TEST_CASE("an invalid setting is rejected with its name and value") {
    for (const auto* changed :
         {"--host-id=a b", "--host-id=a/b", "--failure-domain=", "--listen=localhost:1",
          "--platform=127.0.0.1", "--threads=0", "--threads=65", "--threads=two",
          "--balancer-grace-ms=600001", "--baseline=fast"}) {
        const std::string flag{changed};
        const auto reason = refusal_of(valid_flags(), flag);
        CHECK_MESSAGE(reason.find(flag.substr(0, flag.find('='))) != std::string::npos, flag);
        CHECK_MESSAGE(reason.find(flag.substr(flag.find('=') + 1)) != std::string::npos, flag);
    }
}

// Guards against a secret that is revealed by the error message.
TEST_CASE("a secret that is too short is rejected without being shown") {
    const auto reason = refusal_of(valid_flags(), "--token-secrets=short-secret");
    CHECK(reason.find("--token-secrets") != std::string::npos);
    CHECK(reason.find("short-secret") == std::string::npos);
}

TEST_CASE("a missing setting is named in the error") {
    auto flags = valid_flags();
    flags.erase(flags.begin());
    CHECK_THROWS_WITH_AS(parse(flags), doctest::Contains("--host-id"), error);
}
