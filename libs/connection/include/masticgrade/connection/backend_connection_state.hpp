#pragma once

#include <cstdint>
#include <memory>

namespace masticgrade {

enum class connection_phase { closed, opening, idle, busy };

/// The lifecycle of one connection to a backend server, implemented as a Boost.MSM state machine.
/// Thread safety: none; the owner serialises calls.
class backend_connection_state {
public:
    backend_connection_state();
    backend_connection_state(const backend_connection_state&) = delete;
    backend_connection_state& operator=(const backend_connection_state&) = delete;
    backend_connection_state(backend_connection_state&&) noexcept;
    backend_connection_state& operator=(backend_connection_state&&) noexcept;
    ~backend_connection_state();

    // Each event returns whether it is allowed in the current phase; if not, the phase stays the
    // same.
    bool open();
    bool opened();
    bool failed();
    bool acquire();
    /// The statement was answered; the connection can be reused.
    bool release();
    /// The statement timed out or its answer was unusable; the connection must not be reused.
    bool discard();
    bool close();

    [[nodiscard]] connection_phase phase() const noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace masticgrade
