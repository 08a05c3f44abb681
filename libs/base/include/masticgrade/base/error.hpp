#pragma once

#include <stdexcept>
#include <string>

namespace masticgrade {

/// A failure with the step at which it arose and the peer that was involved, which may be empty.
/// Thread safety: immutable after construction.
class error : public std::runtime_error {
public:
    error(std::string step, std::string peer, const std::string& reason);

    [[nodiscard]] const std::string& step() const noexcept { return step_; }
    [[nodiscard]] const std::string& peer() const noexcept { return peer_; }
    /// The reason alone, without step and peer.
    [[nodiscard]] const std::string& reason() const noexcept { return reason_; }

private:
    std::string step_;
    std::string peer_;
    std::string reason_;
};

}  // namespace masticgrade
