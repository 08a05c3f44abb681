#include "host_fleet.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

#include "free_port.hpp"

namespace masticgrade::soak {

host_fleet::host_fleet(std::string logs, std::size_t count, const soak_world& world)
    : logs_(std::move(logs)) {
    std::filesystem::create_directories(logs_);
    for (std::size_t i = 0; i < count; ++i) {
        auto& item = hosts_.emplace_back();
        item.port = edge_test::free_port();
        item.settings = logs_ + "/host-" + std::to_string(i) + ".conf";
        write_settings(i, item, world.store_port(i));
        start(i);
    }
}

void host_fleet::kill(std::size_t index) {
    hosts_.at(index).process->kill();
    start(index);
}

void host_fleet::kill_with_primary(const std::set<std::size_t>& hosts, soak_world& world) {
    for (const auto index : hosts) {
        signal(index, SIGKILL);
    }
    world.crash_primary();
    for (const auto index : hosts) {
        kill(index);
    }
}

void host_fleet::finish_stop(std::size_t index) {
    if (const int code = hosts_.at(index).process->wait(); code != 0) {
        std::cerr << "violation: host " << index << " ended with code " << code << std::endl;
        ++bad_ends_;
    }
    start(index);
}

void host_fleet::write_settings(std::size_t index, const host& item, unsigned short store_port) {
    const auto store = "127.0.0.1:" + std::to_string(store_port);
    std::ofstream settings{item.settings};
    settings << "node=host-" << index << "\nzone=" << (index % 2 == 0 ? "north" : "south")
             << "\nip=127.0.0.1\n"
             << "listen-addrs.front=127.0.0.1:" << item.port << "\n"
             << "listen-addrs.readiness=127.0.0.1:" << edge_test::free_port() << "\n"
             << "internal-ports=" << edge_test::free_port() << ",65535\n"
             << "platform.address=" << store << "\ncloud.address=" << store << "\n"
             << "limits.max-fds=4300\nbounds.grace-s=6\n";
}

void host_fleet::start(std::size_t index) {
    auto& item = hosts_.at(index);
    const auto log =
        logs_ + "/host-" + std::to_string(index) + "-" + std::to_string(item.starts++) + ".log";
    item.process = std::make_unique<process_test::child_process>(
        MG_EDGE, std::vector<std::string>{"--settings", item.settings}, log,
        process_test::standard_output::file);
}

bool wait_until(const std::function<bool()>& condition) {
    constexpr seconds patience{60};
    const auto give_up = steady_clock::now() + patience;
    while (steady_clock::now() < give_up) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds{20});
    }
    return false;
}

}  // namespace masticgrade::soak
