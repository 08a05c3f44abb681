#pragma once

#include <stdexcept>
#include <string>

namespace masticgrade {

/// An error annotated with the operation step that failed and the peer involved, if any.
/// Thread safety: immutable after construction.
class error : public std::runtime_error {
public:
    error(std::string step, std::string peer, const std::string& reason);

    [[nodiscard]] const std::string& step() const noexcept { return step_; }
    [[nodiscard]] const std::string& peer() const noexcept { return peer_; }
    /// The reason without the step and peer that `what()` includes.
    [[nodiscard]] const std::string& reason() const noexcept { return reason_; }

private:
    std::string step_;
    std::string peer_;
    std::string reason_;
};

}  // namespace masticgrade
