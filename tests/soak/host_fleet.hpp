#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "child_process.hpp"
#include "soak_world.hpp"

namespace masticgrade::soak {

/// The edge processes of a run; each can be stopped, paused, killed and started again.
/// Thread safety: one thread; `port` from any.
class host_fleet {
public:
    /// Starts the processes; their settings and logs go to the folder.
    host_fleet(std::string logs, std::size_t count, const soak_world& world);

    [[nodiscard]] unsigned short port(std::size_t index) const { return hosts_.at(index).port; }
    [[nodiscard]] std::size_t size() const { return hosts_.size(); }

    void kill(std::size_t index);
    /// Kills the hosts at the same time as the primary crashes, and starts them again.
    void kill_with_primary(const std::set<std::size_t>& hosts, soak_world& world);
    void signal(std::size_t index, int number) const { hosts_.at(index).process->signal(number); }
    /// Starts the host again if it has been asked to stop; waits for its end.
    void finish_stop(std::size_t index);
    [[nodiscard]] int bad_ends() const { return bad_ends_; }

private:
    struct host {
        unsigned short port = 0;
        std::string settings;
        std::unique_ptr<process_test::child_process> process;
        int starts = 0;
    };

    static void write_settings(std::size_t index, const host& item, unsigned short store_port);
    void start(std::size_t index);

    std::string logs_;
    std::deque<host> hosts_;
    int bad_ends_ = 0;
};

/// Waits for at most 60 s, far longer than anything here takes; false when it did not come true.
bool wait_until(const std::function<bool()>& condition);

}  // namespace masticgrade::soak
