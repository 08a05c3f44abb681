#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "sent_statements.hpp"

namespace masticgrade::soak {

/// What a caller needs to know of the fleet.
struct caller_settings {
    std::string name;
    std::string key;
    /// The callers' ports of all hosts, for a sequence number.
    std::function<unsigned short(std::size_t)> port;
    std::size_t hosts = 0;
    /// Pause between two operations, ms.
    int pause_ms = 10;
    std::uint64_t seed = 0;
    sent_statements* sent = nullptr;
    /// Whether sessions set values and prepare statements, and transactions last longer.
    bool uses_context = false;
};

/// A caller on a thread of its own, the only one that writes its item. It writes rising numbers and
/// reads them back on the same and on other hosts, and notes what contradicts the answers it got.
/// Thread safety: `served` and `violations` may be called from any thread.
class soak_caller {
public:
    explicit soak_caller(caller_settings settings);
    soak_caller(const soak_caller&) = delete;
    soak_caller& operator=(const soak_caller&) = delete;
    /// Waits until the operation under way has ended.
    ~soak_caller();

    void stop() { stopping_ = true; }
    [[nodiscard]] std::size_t served() const { return served_; }
    [[nodiscard]] std::size_t refused() const { return refused_; }
    [[nodiscard]] std::vector<std::string> violations() const;

private:
    class session;

    void run();
    void write(session& connection, bool in_transaction);
    void write_in_transaction(session& connection);
    void read(session& connection, const std::string& database);
    void on_written(const session& connection, const std::vector<int>& numbers,
                    const std::vector<std::string>& ids, const std::vector<std::string>& answer);
    bool prepare_session(session& connection);
    /// Sends a statement and checks that the answer belongs to it.
    std::vector<std::string> run_statement(session& connection, const std::string& id,
                                           const std::string& text);
    std::string next_id();
    std::string next_id_in(std::size_t transaction);
    void report(const std::string& fault);

    caller_settings settings_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::size_t> served_ = 0;
    std::atomic<std::size_t> refused_ = 0;
    int last_number_ = 0;
    std::size_t last_id_ = 0;
    std::size_t last_session_ = 0;
    /// The highest number whose write was acknowledged, and the writes that may or must not exist.
    int acknowledged_ = 0;
    std::set<int> refused_numbers_;
    /// May take effect at any time, also after later writes.
    std::set<int> open_numbers_;
    mutable std::mutex mutex_;
    std::vector<std::string> violations_;
    std::thread thread_;
};

}  // namespace masticgrade::soak
