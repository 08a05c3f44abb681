#include <cstdio>
#include <exception>

#include "masticgrade/base/error.hpp"
#include "masticgrade/base/log.hpp"
#include "masticgrade/proxy/proxy.hpp"
#include "masticgrade/proxy/settings.hpp"

namespace {

constexpr int exit_bad_settings = 2;
constexpr masticgrade::logger proxy_log{"proxy"};

}  // namespace

int main(int argc, char** argv) {
    masticgrade::parsed_settings parsed;
    try {
        parsed = masticgrade::parse_settings(argc, argv);
    } catch (const masticgrade::error& failure) {
        proxy_log.error("Refused the settings reason=\"{}\".", failure.reason());
        return exit_bad_settings;
    }
    if (!parsed.text.empty()) {
        std::fputs(parsed.text.c_str(), stdout);
    }
    if (parsed.action != masticgrade::settings_action::run) {
        return 0;
    }
    masticgrade::set_log_level(parsed.settings.level);
    try {
        masticgrade::proxy{std::move(parsed.settings)}.run();
    } catch (const std::exception& failure) {
        proxy_log.error("Stopped reason=\"{}\".", failure.what());
        return 1;
    }
    return 0;
}
