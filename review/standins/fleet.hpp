#pragma once

#include <sys/types.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "ledger.hpp"

namespace review {

/// Entry hosts: processes of the deploy file's program, each with a settings file like DEPLOY.md's,
/// on loopback ports. Ends all of them on destruction. Thread safety: none.
class fleet {
public:
    fleet(ledger& notes, std::string program, std::uint16_t platform_port);
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    ~fleet();

    /// Adds a host and starts its process. Returns its index.
    std::size_t add(const std::string& zone);
    /// Adds the six hosts of a small deployment.
    void add_deployment();
    void start(std::size_t host);
    void signal(std::size_t host, int number);
    /// Waits for the end of the process. Returns its status, or nothing if it still runs then.
    std::optional<int> wait(std::size_t host, milliseconds limit);
    [[nodiscard]] bool is_running(std::size_t host);
    [[nodiscard]] std::size_t size() const { return hosts_.size(); }
    [[nodiscard]] std::uint16_t port(std::size_t host) const { return hosts_[host].front; }
    [[nodiscard]] std::string name(std::size_t host) const { return hosts_[host].name; }

    /// Whether the host answers the ready probe with 200.
    [[nodiscard]] bool is_ready(std::size_t host) const;
    /// The value of a counter or gauge of the host, 0 if it is not served yet.
    [[nodiscard]] double metric(std::size_t host, const std::string& name) const;

private:
    struct entry_host {
        std::string name;
        std::string settings_path;
        std::string log_path;
        std::uint16_t front = 0;
        std::uint16_t readiness = 0;
        pid_t process = -1;
    };

    [[nodiscard]] std::string get(std::size_t host, const std::string& path) const;

    ledger& notes_;
    std::string program_;
    std::uint16_t platform_port_;
    std::string folder_;
    std::deque<entry_host> hosts_;
};

/// Polls the condition for at most `limit`.
template <class Condition>
bool wait_until(milliseconds limit, Condition condition);

void pause(milliseconds length);

template <class Condition>
bool wait_until(milliseconds limit, Condition condition) {
    const auto give_up = steady::now() + limit;
    constexpr milliseconds poll_interval{10};
    while (!condition()) {
        if (steady::now() >= give_up) {
            return false;
        }
        pause(poll_interval);
    }
    return true;
}

}  // namespace review
