#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "ledger.hpp"
#include "socket_io.hpp"

namespace review {

struct log_position {
    std::uint64_t term = 0;
    std::uint64_t number = 0;

    friend auto operator<=>(const log_position&, const log_position&) = default;
    [[nodiscard]] std::string text() const {
        return std::to_string(term) + "." + std::to_string(number);
    }
};

struct database_settings {
    std::string service = "ledger";
    /// The instances are called by this prefix and a letter.
    std::string id_prefix = "i-";
    /// Zones of the three instances.
    std::vector<std::string> zones{"orebro", "vasteras", "karlstad"};
    unsigned slots = 3;
    unsigned max_connections = 21;
    milliseconds work{6};
    milliseconds connect_work{12};
    milliseconds apply_lag{60};
    milliseconds promotion{300};
};

/// Three instances of one service, as the pages describe them: transactions, a log that replicas
/// receive at once and apply later, and commits that one replica has to receive.
/// Thread safety: any thread.
class database {
public:
    database(ledger& notes, database_settings settings);
    database(const database&) = delete;
    database& operator=(const database&) = delete;
    ~database();

    struct entry {
        std::string id;
        std::string zone;
        std::uint16_t port = 0;
        bool is_primary = false;
        bool is_draining = false;
        std::int64_t born = 0;
    };
    /// What the running instances say of themselves.
    std::vector<entry> entries();
    /// Carries out a promotion. Returns the HTTP status.
    unsigned promote(const std::string& id, std::uint64_t fence);
    std::string primary();
    /// The ids of the committed writes in the primary's log.
    std::vector<std::string> logged_writes();
    /// Open transactions at the primary.
    std::size_t open_transactions();
    [[nodiscard]] const database_settings& settings() const { return settings_; }

    /// While the instance is mute, what it sends is held up; what it receives arrives.
    void set_mute(const std::string& id, bool mute);
    /// A deaf replica receives nothing.
    void set_deaf(const std::string& id, bool deaf);
    /// How late replicas apply from now on.
    void set_apply_lag(milliseconds lag);
    /// Kills the instance; `restart` starts it again with its log.
    void crash(const std::string& id);
    void restart(const std::string& id);
    /// The next statements run, and their connections end without an answer.
    void lose_answers(unsigned count);
    /// The answers of the next statements are cut off in the middle.
    void cut_answers(unsigned count);
    /// The next statements take this much longer.
    void delay_statements(unsigned count, milliseconds delay);
    void set_draining(const std::string& id, bool draining);
    /// The next order of this kind to the instance gets no answer and is carried out after `delay`.
    void delay_order(const std::string& id, const std::string& word, milliseconds delay);
    /// Called with the statement's id after it ran and before its answer is sent.
    void on_ran(std::function<void(const std::string& id)> hook);

private:
    struct commit {
        log_position position;
        std::vector<std::string> write_ids;
        std::vector<std::pair<std::string, std::string>> data;
        steady::time_point received;
    };
    struct instance {
        std::string id;
        std::string zone;
        bool is_up = true;
        bool is_primary = false;
        bool is_draining = false;
        bool is_mute = false;
        bool is_deaf = false;
        std::string delayed_order;
        milliseconds order_delay{0};
        std::uint64_t term = 1;
        std::uint64_t held = 0;
        std::int64_t born = 0;
        std::vector<commit> log;
        listener acceptor;
        unsigned busy = 0;
        std::set<const stream_socket*> sockets;
    };
    struct session {
        std::string tenant;
        int number = 0;
        bool is_open = false;
        bool has_failed = false;
        bool is_read_only = false;
        std::uint64_t term = 0;
        std::string owner;
        std::vector<std::string> write_ids;
        std::vector<std::pair<std::string, std::string>> data;
        std::map<std::string, std::string> values;
        std::map<std::string, std::pair<std::string, std::string>> prepared;
    };
    struct answer {
        std::vector<std::string> rows;
        std::string signature = "-";
        std::string error;
        bool drops_connection = false;
        bool is_cut = false;
    };

    void accept_loop(instance& server);
    void serve(instance& server, stream_socket socket);
    answer run(instance& server, session& state, const std::string& id, std::string text);
    answer run_statement(instance& server, session& state, const std::string& id,
                         const std::string& word, std::string rest,
                         std::unique_lock<std::mutex>& lock);
    void check_session(const session& state, const std::string& id, const std::string& word,
                       std::unique_lock<std::mutex>& lock);
    answer run_order(instance& server, const std::string& word, const std::string& argument) const;
    answer commit_writes(instance& server, session& state, std::unique_lock<std::mutex>& lock);
    void work(instance& server, milliseconds duration, std::unique_lock<std::mutex>& lock);
    void copy_log(const instance& from, instance& to) const;
    void replicate();
    [[nodiscard]] log_position received(const instance& server) const;
    [[nodiscard]] log_position applied(const instance& server) const;
    instance* find(const std::string& id);
    instance* leader();

    ledger& notes_;
    database_settings settings_;
    std::mutex mutex_;
    std::condition_variable slot_free_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::uint64_t highest_fence_ = 0;
    int last_connection_ = 0;
    std::size_t open_transactions_ = 0;
    unsigned lost_answers_ = 0;
    unsigned cut_answers_ = 0;
    unsigned delayed_statements_ = 0;
    milliseconds statement_delay_{0};
    std::function<void(const std::string& id)> hook_;
    std::atomic<bool> stopping_{false};
    std::list<std::thread> threads_;
    std::mutex threads_mutex_;
};

}  // namespace review
