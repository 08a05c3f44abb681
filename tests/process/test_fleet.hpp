#pragma once

#include <boost/json.hpp>
#include <deque>
#include <future>
#include <string>
#include <utility>
#include <vector>

#include "child_process.hpp"
#include "history.hpp"
#include "load_run.hpp"

namespace masticgrade::process_test {

struct fleet_shape {
    std::string scenario;
    std::size_t proxies = 3;
    milliseconds apply_lag{20};
};

/// What one caller got for one request.
struct answer {
    /// 0 when there was no answer.
    unsigned status = 0;
    std::string outcome{};
    boost::json::object body{};
};

/// A platform stand-in, one group of three database stand-ins, and proxies, all on loopback. Proxy
/// and instance i are in failure domain "domain-i". Ends with the processes it started.
/// Thread safety: one thread.
class test_fleet {
public:
    struct node {
        std::string id;
        std::string address;
        std::string control;
        child_process process;
    };

    /// Starts everything and waits until every proxy has served a booking.
    explicit test_fleet(fleet_shape shape);

    [[nodiscard]] child_process& proxy(std::size_t index) { return proxies_[index].process; }
    [[nodiscard]] const std::string& proxy_address(std::size_t index) const {
        return proxies_[index].address;
    }
    [[nodiscard]] child_process& instance(std::size_t index) { return instances_[index].process; }
    /// Starts one more proxy and waits until it has served a booking; returns its index.
    std::size_t add_proxy();
    [[nodiscard]] bool ready(std::size_t index) const;
    /// Waits until the proxy's readiness is as given; returns whether it became so.
    [[nodiscard]] bool wait_for_readiness(std::size_t index, bool ready) const;

    void platform_fault(const char* fault, bool on, std::uint64_t value = 0) const;
    void instance_fault(std::size_t index, const char* fault, bool on,
                        std::uint64_t value = 0) const;
    /// Sets whether the platform's host list names the server of an instance as leaving.
    void set_server_leaving(std::size_t index, bool leaving) const;
    /// Replaces the row fleet/operations.
    void set_operations(const std::vector<std::string>& drained_domains,
                        const std::vector<std::string>& revoked_keys) const;
    /// The value of a row; null when there is none.
    [[nodiscard]] boost::json::value row(const std::string& key) const;
    /// The state of an instance, by its own account.
    [[nodiscard]] boost::json::object instance_state(std::size_t index) const;
    [[nodiscard]] boost::json::array log() const;
    /// How often the key was taken according to the log.
    [[nodiscard]] unsigned times_taken(const std::string& key) const;

    /// Sends one request as the customer "clerk" and returns its answer.
    [[nodiscard]] answer call(std::size_t proxy, const std::string& target,
                              const boost::json::value& body,
                              const std::string& idempotency_key = {}) const;
    [[nodiscard]] answer book(std::size_t proxy, const std::string& seat) const;
    /// Repeats a booking under its idempotency key until it is done or the attempts are used up.
    [[nodiscard]] answer book_until_done(std::size_t proxy, const std::string& seat) const;

    [[nodiscard]] load::load_options load(milliseconds duration) const;

    static const std::string& clerk_key();

private:
    void start_instances();
    void write_rows() const;
    void start_proxy();
    [[nodiscard]] bool wait_until_serving(std::size_t index) const;
    void commit(boost::json::array puts) const;

    fleet_shape shape_;
    std::string logs_;
    std::deque<node> platform_;
    std::deque<node> instances_;
    std::deque<node> proxies_;
};

/// A load in a thread of its own.
class background_load {
public:
    explicit background_load(load::load_options options);

    /// Waits for the end and checks the history against the log of the group. Prints the measures.
    load::run_result finish();

private:
    load::load_options options_;
    std::future<load::run_result> result_;
};

/// How many writes were acknowledged after a moment.
std::size_t acknowledged_after(const load::run_result& result, time_point moment);

/// Lets a fault or a condition last.
void pause(milliseconds length);

}  // namespace masticgrade::process_test
