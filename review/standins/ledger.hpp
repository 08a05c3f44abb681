#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <set>
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
        unsigned session = 0;
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

    /// What must hold where the statement `id` runs.
    struct expectation {
        std::map<std::string, std::string> values;
        /// Kind and shape of the prepared statement that it executes, or empty.
        std::string prepared;
        /// First byte of the statement, or of its transaction.
        steady::time_point first_byte;
        /// Reads may lack commits that were acknowledged within this time.
        milliseconds max_staleness{0};
        /// The session sees its own commits.
        bool sees_own_commits = false;
        unsigned session = 0;
    };
    void expect(const std::string& id, const expectation& expected);
    std::optional<expectation> expected(const std::string& id);
    /// Compares a read's log with the commits that were acknowledged before it.
    void check_read(const std::string& id, const std::string& service,
                    const std::set<std::string>& visible_writes);
    /// Compares the log of the instance that is promoted with the acknowledged commits.
    void check_promotion(const std::string& instance, const std::string& service,
                         const std::set<std::string>& writes);
    /// Notes which service commits a transaction, by its first write.
    void on_committed(const std::string& first_write, const std::string& service);

    /// Called by an instance for each statement with an id: checks its client, text and tenant.
    void on_run(const std::string& id, const std::string& text, const std::string& tenant);
    /// Compares the writes in the log of the service's primary, by id, with what the clients were
    /// told.
    void check_log(const std::string& service, const std::vector<std::string>& logged_writes);

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
    struct acknowledged_commit {
        std::string client;
        unsigned session = 0;
        std::string first_write;
        steady::time_point at;
    };
    std::vector<acknowledged_commit> acknowledged_;
    /// The service of each commit, by its first write.
    std::map<std::string, std::string> services_;
    std::map<std::string, expectation> expectations_;
};

}  // namespace review
