#include "masticgrade/base/error.hpp"

#include <fmt/format.h>

#include <utility>

namespace masticgrade {

namespace {

std::string describe(const std::string& step, const std::string& peer, const std::string& reason) {
    if (peer.empty()) {
        return fmt::format("{}: {}", step, reason);
    }
    return fmt::format("{} (peer {}): {}", step, peer, reason);
}

}  // namespace

error::error(std::string step, std::string peer, const std::string& reason)
    : std::runtime_error(describe(step, peer, reason)),
      step_(std::move(step)),
      peer_(std::move(peer)),
      reason_(reason) {}

}  // namespace masticgrade
