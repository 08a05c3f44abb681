#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "database.hpp"
#include "ledger.hpp"
#include "socket_io.hpp"

namespace review {

struct tenant {
    std::string name;
    std::vector<std::string> keys;
};

/// The platform's store and its promotion call. The instances of the database write their entries
/// at each heartbeat. Thread safety: any thread.
class platform {
public:
    platform(ledger& notes, std::vector<database*> databases);
    platform(const platform&) = delete;
    platform& operator=(const platform&) = delete;
    ~platform();

    [[nodiscard]] std::uint16_t port() const { return acceptor_.port(); }
    /// Writes the operator's configuration: the databases `db-primary`, `db-bounded` and
    /// `db-read_own` for these tenants.
    void configure(const std::vector<tenant>& tenants);
    /// The same, with all routes to this service.
    void configure(const std::vector<tenant>& tenants, const std::string& service);
    /// The next `count` promotion calls get no answer and are carried out after `delay`.
    void delay_promotions(unsigned count, milliseconds delay);
    /// While it is down, the store answers all calls with 503 and the instances cannot write.
    void set_down(bool down);
    /// The next `count` changes of rows get no answer and are carried out after `delay`, if their
    /// conditions still hold.
    void lose_changes(unsigned count, milliseconds delay);
    /// All answers of the store take this much longer.
    void slow_down(milliseconds delay);
    /// Promotion calls that arrived.
    std::size_t promotion_calls();
    /// The value of one of the system's own rows, or an empty text.
    std::string row(const std::string& table, const std::string& key);
    void put(const std::string& table, const std::string& key, const std::string& value);

private:
    struct stored_row {
        std::string value;
        std::uint64_t version = 0;
    };
    using row_key = std::pair<std::string, std::string>;
    struct http_answer {
        unsigned status = 200;
        std::string body = "{}";
        bool is_lost = false;
    };

    void accept_loop();
    void serve(stream_socket socket);
    http_answer answer(const std::string& method, const std::string& target,
                       const std::map<std::string, std::string>& headers, const std::string& body);
    http_answer get_rows(const std::string& target);
    http_answer change_rows(const std::string& body);
    http_answer promote(const std::map<std::string, std::string>& headers, const std::string& body);
    void write_entries();
    database* find_database(const std::string& service);
    void put_locked(const std::string& table, const std::string& key, const std::string& value);
    void start_thread(std::thread thread);

    ledger& notes_;
    std::vector<database*> databases_;
    listener acceptor_;
    std::mutex mutex_;
    std::map<row_key, stored_row> rows_;
    std::uint64_t version_ = 0;
    std::uint64_t configuration_version_ = 0;
    std::uint64_t sequence_ = 0;
    std::map<std::string, steady::time_point> last_heartbeat_;
    unsigned delayed_promotions_ = 0;
    milliseconds promotion_delay_{0};
    std::size_t promotion_calls_ = 0;
    unsigned lost_changes_ = 0;
    milliseconds change_delay_{0};
    std::atomic<int> slow_ms_{0};
    std::set<const stream_socket*> sockets_;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> down_{false};
    std::list<std::thread> threads_;
    std::mutex threads_mutex_;
};

}  // namespace review
