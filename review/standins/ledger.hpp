#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// What clients sent and were answered, what instances ran, and which rules that broke.
/// Thread safety: any thread.
class ledger {
public:
    explicit ledger(const std::string& record_path);

    /// Adds a line with the time to the record.
    void write(const std::string& line);
    /// Adds a broken rule to the record.
    void report(const std::string& rule, const std::string& what);
    [[nodiscard]] std::size_t violations();
    [[nodiscard]] std::vector<std::string> broken_rules();
    [[nodiscard]] double seconds() const;

    /// One try of an operation: its writes take effect together or not at all.
    struct attempt {
        std::string client;
        /// Ids of the writes whose execution succeeded, or whose outcome is unknown.
        std::vector<std::string> writes;
        bool commit_sent = false;
        bool acknowledged = false;
        /// The answer was a promise that nothing is kept.
        bool promised = false;
    };

    void add_client(const std::string& client, const std::string& tenant);
    /// Notes a statement before it is sent.
    void on_sent(const std::string& client, const std::string& id, const std::string& text);
    void on_attempt_ended(const attempt& ended);

    /// Called by an instance for each statement with an id: checks its client, text and tenant.
    void on_run(const std::string& id, const std::string& text, const std::string& tenant);
    /// Compares the writes in the log of the primary, by id, with what the clients were told.
    void check_log(const std::vector<std::string>& logged_writes);

    /// The client that sends statements with such an id.
    static std::string client_of(const std::string& id);

private:
    void write_locked(const std::string& line);

    std::mutex mutex_;
    std::ofstream file_;
    steady::time_point started_ = steady::now();
    std::vector<std::string> violations_;
    std::vector<std::string> broken_rules_;
    std::map<std::string, std::string> tenants_;
    std::map<std::string, std::string> sent_;
    std::vector<attempt> attempts_;
};

}  // namespace review
