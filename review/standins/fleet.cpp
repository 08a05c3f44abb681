#include "fleet.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "socket_io.hpp"

namespace review {

void pause(milliseconds length) { std::this_thread::sleep_for(length); }

fleet::fleet(ledger& notes, std::string program, std::uint16_t platform_port)
    : notes_(notes), program_(std::move(program)), platform_port_(platform_port) {
    auto pattern = (std::filesystem::temp_directory_path() / "masticgrade-review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    folder_ = pattern;
}

fleet::~fleet() {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (hosts_[i].process > 0) {
            ::kill(hosts_[i].process, SIGCONT);
            ::kill(hosts_[i].process, SIGKILL);
            ::waitpid(hosts_[i].process, nullptr, 0);
        }
    }
    const char* keep = std::getenv("KEEP_LOGS");
    if (keep != nullptr) {
        notes_.write("logs in " + folder_);
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void fleet::add_deployment() {
    for (const auto* zone : {"orebro", "orebro", "vasteras", "vasteras", "karlstad", "falun"}) {
        add(zone);
    }
}

std::size_t fleet::add(const std::string& zone) {
    entry_host host;
    host.name = "edge-" + zone + "-" + std::to_string(hosts_.size() + 1);
    host.settings_path = folder_ + "/" + host.name + ".conf";
    host.log_path = folder_ + "/" + host.name + ".log";
    host.front = free_port();
    host.readiness = free_port();
    const auto control = free_port();
    const auto internal = free_port();
    std::ofstream settings{host.settings_path};
    settings << "node=" << host.name << "\nrole=edge\nmachine-class=edge\nserves=edge\n"
             << "ip=127.0.0.1\nzone=" << zone << "\nregion=mellansverige\n"
             << "zones.orebro=mellansverige\nzones.vasteras=mellansverige\n"
             << "zones.karlstad=mellansverige\nzones.falun=mellansverige\n"
             << "listen-addrs.front=127.0.0.1:" << host.front << "\n"
             << "listen-addrs.readiness=127.0.0.1:" << host.readiness << "\n"
             << "listen-addrs.control=127.0.0.1:" << control << "\n"
             << "internal-ports=" << internal << "," << internal << "\n"
             << "bootstrap=true\nlimits.cpu-share=0.25\nlimits.cores=1\nlimits.memory-mb=260\n"
             << "limits.max-fds=4300\nlimits.link-mbps=1000.0\nheartbeat-ms=1200\n"
             << "bounds.contact-ms=4000\nbounds.drain-ms=7000\nbounds.grace-s=6\n"
             << "bounds.loss-slack-ms=200\nbounds.config-apply-ms=3000\nbounds.revoke-ms=5000\n"
             << "bounds.strict-revocation=true\nbounds.fencing-enforced=true\n"
             << "platform.address=127.0.0.1:" << platform_port_ << "\n"
             << "platform.form=table\nplatform.writes-per-s=400\nplatform.reads-per-s=2000\n"
             << "cloud.address=127.0.0.1:" << platform_port_ << "\ncloud.duty-per-s=50.0\n";
    hosts_.push_back(host);
    settings.close();
    start(hosts_.size() - 1);
    return hosts_.size() - 1;
}

void fleet::start(std::size_t host) {
    auto& item = hosts_[host];
    const auto variable = "MASTICGRADE_SETTINGS=" + item.settings_path;
    notes_.write("process of " + item.name + " starts");
    item.process = ::fork();
    if (item.process == 0) {
        // No process outlives the case.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(item.log_path.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        for (int descriptor = 3; descriptor < 1024; ++descriptor) {
            ::close(descriptor);
        }
        const char* arguments[] = {program_.c_str(), nullptr};
        const char* environment[] = {variable.c_str(), nullptr};
        ::execve(program_.c_str(), const_cast<char* const*>(arguments),
                 const_cast<char* const*>(environment));
        ::_exit(127);
    }
}

void fleet::signal(std::size_t host, int number) {
    auto& item = hosts_[host];
    notes_.write("signal " + std::to_string(number) + " to " + item.name);
    ::kill(item.process, number);
    if (number == SIGKILL) {
        ::waitpid(std::exchange(item.process, -1), nullptr, 0);
    }
}

std::optional<int> fleet::wait(std::size_t host, milliseconds limit) {
    auto& item = hosts_[host];
    std::optional<int> result;
    wait_until(limit, [&] {
        int status = 0;
        if (item.process > 0 && ::waitpid(item.process, &status, WNOHANG) == item.process) {
            item.process = -1;
            result = status;
        }
        return item.process < 0;
    });
    return result;
}

bool fleet::is_running(std::size_t host) {
    auto& item = hosts_[host];
    if (item.process > 0 && ::waitpid(item.process, nullptr, WNOHANG) == item.process) {
        item.process = -1;
    }
    return item.process > 0;
}

std::string fleet::get(std::size_t host, const std::string& path) const {
    constexpr int timeout_ms = 500;
    auto socket = stream_socket::connect(hosts_[host].readiness, timeout_ms);
    if (!socket.is_open() ||
        !socket.write_all("GET " + path +
                          " HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n")) {
        return {};
    }
    std::string text;
    while (const auto line = socket.read_line(timeout_ms)) {
        text += *line + "\n";
    }
    return text;
}

bool fleet::is_ready(std::size_t host) const {
    return get(host, "/ready").rfind("HTTP/1.1 200", 0) == 0;
}

double fleet::metric(std::size_t host, const std::string& name) const {
    std::istringstream lines{get(host, "/metrics")};
    double sum = 0;
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind(name, 0) == 0) {
            sum += std::atof(line.substr(line.rfind(' ')).c_str());
        }
    }
    return sum;
}

}  // namespace review
