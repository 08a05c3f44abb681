// A host gets SIGTERM. A caller that sends two statements at once gets the answer to the first one
// only; the host has read the second one and closes the connection.
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

#include "../standins/client.hpp"
#include "../standins/database.hpp"
#include "../standins/fleet.hpp"
#include "../standins/platform.hpp"

using namespace review;

namespace {

constexpr milliseconds ready_limit{20000};
constexpr milliseconds settling_time{2000};
/// Time of a statement at an instance; the longest of the site's hyllkoll.
constexpr milliseconds statement_time{220};
/// `loss-slack-ms` of the deployment.
constexpr milliseconds loss_slack{200};
constexpr milliseconds watch_time{4000};
constexpr int answer_timeout_ms = 4000;

/// Sends pairs of reads until the connection ends.
class pipelining_caller {
public:
    pipelining_caller(ledger& notes, std::string name) : notes_(notes), name_(std::move(name)) {
        notes_.add_client(name_, "parish");
    }

    bool start(std::uint16_t port) {
        socket_ = stream_socket::connect(port, 1000);
        return socket_.is_open() && socket_.write_all("START db-read_own key-parish\r\n") &&
               socket_.read_line(2000).value_or("").rfind("READY", 0) == 0;
    }
    /// Returns whether both statements were answered.
    bool run_pair() {
        const auto first = name_ + "-" + std::to_string(++sent_);
        const auto second = name_ + "-" + std::to_string(++sent_);
        notes_.on_sent(name_, first, "READ pole-1");
        notes_.on_sent(name_, second, "READ pole-2");
        const auto sent_at = steady::now();
        if (!socket_.write_all("QUERY " + first + " READ pole-1\r\nQUERY " + second +
                               " READ pole-2\r\n")) {
            return false;
        }
        unsigned answered = 0;
        while (answered < 2) {
            const auto line = socket_.read_line(answer_timeout_ms);
            if (!line) {
                break;
            }
            answered += line->rfind("READY", 0) == 0 ? 1 : 0;
        }
        const auto took = std::chrono::duration_cast<milliseconds>(steady::now() - sent_at);
        notes_.write(name_ + " has " + std::to_string(answered) + " answers to " + first + " and " +
                     second + " after " + std::to_string(took.count()) + " ms" +
                     (socket_.has_ended() ? ", the connection has ended" : ""));
        if (answered == 1 && socket_.has_ended() && took > loss_slack) {
            notes_.report("LOST", "the connection ended " + std::to_string(took.count()) +
                                      " ms after " + second + " was sent, without its answer");
        }
        return answered == 2;
    }

private:
    ledger& notes_;
    std::string name_;
    stream_socket socket_;
    unsigned sent_ = 0;
};

int run_case(const std::string& program, const std::string& record, bool trouble) {
    ledger notes{record};
    database_settings settings;
    settings.work = statement_time;
    database instances{notes, settings};
    platform world{notes, {&instances}};
    world.configure({{"parish", {"key-parish"}}});
    fleet hosts{notes, program, world.port()};
    hosts.add_deployment();
    for (std::size_t host = 0; host < hosts.size(); ++host) {
        if (!wait_until(ready_limit, [&] { return hosts.is_ready(host); })) {
            return 2;
        }
    }
    pause(settling_time);
    // Started one after the other, so that the stop meets some in their first statement.
    constexpr unsigned caller_count = 6;
    constexpr milliseconds start_interval{70};
    std::vector<std::thread> threads;
    std::atomic<bool> stopping{false};
    std::atomic<unsigned> pairs{0};
    for (unsigned i = 0; i < caller_count; ++i) {
        threads.emplace_back([&, i] {
            pause(i * start_interval);
            pipelining_caller caller{notes, "caller" + std::to_string(i)};
            if (!caller.start(hosts.port(0))) {
                return;
            }
            while (!stopping && caller.run_pair()) {
                ++pairs;
            }
        });
    }
    pause(settling_time);
    const auto served = pairs.load();
    if (trouble) {
        hosts.signal(0, SIGTERM);
    }
    pause(watch_time);
    stopping = true;
    for (auto& thread : threads) {
        thread.join();
    }
    std::cout << pairs << " pairs answered, " << notes.violations() << " violations\n";
    if (served == 0) {
        return 2;
    }
    return notes.violations() > 0 ? 1 : 0;
}

}  // namespace

int main(int count, char** arguments) {
    if (count != 3) {
        std::cerr << "case PROGRAM RECORD\n";
        return 2;
    }
    const char* trouble = std::getenv("TROUBLE");
    try {
        return run_case(arguments[1], arguments[2],
                        trouble == nullptr || std::string{trouble} != "0");
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n';
        return 2;
    }
}
