#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "key_value_state.hpp"
#include "masticgrade/base/time.hpp"

namespace masticgrade::standins {

enum class instance_role { primary, replica, sealed };
enum class entry_kind { start, write, cancel };

struct log_entry {
    std::uint64_t term = 0;
    std::uint64_t position = 0;
    entry_kind kind = entry_kind::write;
    std::string customer{};
    std::string idempotency_key{};
    /// The statements that change rows, in order.
    boost::json::array statements{};
    /// The result that was returned to the caller.
    boost::json::value result{};
};

boost::json::object to_json(const log_entry& entry);
log_entry log_entry_from_json(const boost::json::value& value);

/// The part of an answer that depends on the operation; the server adds term and positions.
struct reply {
    std::string status;
    boost::json::object fields;
};

/// A transaction bound to one connection. Its statements run on a view of the rows at the time of
/// each statement; the commit runs them again and fails when a result differs.
struct open_transaction {
    std::uint64_t term = 0;
    std::string customer;
    boost::json::array statements;
    boost::json::array results;
};

/// What a replica asks its primary for: the entries after the previous one.
struct replication_request {
    /// Changes whenever the replica starts over; an answer to an older request is discarded.
    std::uint64_t epoch = 0;
    std::uint64_t term = 0;
    std::uint64_t previous_position = 0;
    std::uint64_t previous_term = 0;
};

struct replication_answer {
    /// ok, diverged, stale_term or not_primary.
    std::string status;
    std::uint64_t received_position = 0;
    std::vector<log_entry> entries{};
};

/// The state machine of one database instance: log, rows, idempotency records, term and role.
/// It does no input or output and reads no clock. Thread safety: one thread.
class database_instance {
public:
    /// A primary starts its log with the start entry of `term`.
    database_instance(instance_role role, std::uint64_t term, std::string primary_address = {});

    [[nodiscard]] instance_role role() const noexcept { return role_; }
    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }
    [[nodiscard]] std::uint64_t last_term() const noexcept;
    /// On a replica only the part of the log that is known to match its primary's; otherwise the
    /// whole log.
    [[nodiscard]] std::uint64_t received_position() const noexcept;
    [[nodiscard]] std::uint64_t applied_position() const noexcept { return applied_; }
    [[nodiscard]] std::uint64_t start_position() const noexcept { return start_position_; }
    [[nodiscard]] const std::string& primary_address() const noexcept { return primary_address_; }
    /// Age of the applied state compared with the primary; empty when it is not known.
    [[nodiscard]] std::optional<milliseconds> staleness(time_point now) const;
    [[nodiscard]] boost::json::array dump() const;

    /// Writes outside a transaction; the idempotency record is part of the same log entry.
    reply write(std::uint64_t term, const std::string& customer, const std::string& key,
                const boost::json::value& statement);
    reply read(std::uint64_t term, std::uint64_t min_position, const boost::json::value& statement,
               const std::string& customer) const;
    reply begin(std::uint64_t term, std::optional<open_transaction>& transaction) const;
    reply execute_in_transaction(std::uint64_t term, open_transaction& transaction,
                                 const std::string& customer,
                                 const boost::json::value& statement) const;
    /// Ends the transaction whatever the outcome, except for a refused term.
    reply commit(std::uint64_t term, std::optional<open_transaction>& transaction,
                 const std::string& customer, const std::string& key);
    reply cancel(std::uint64_t term, const std::string& customer, const std::string& key);
    [[nodiscard]] reply confirm(std::uint64_t term, std::uint64_t position) const;
    reply seal(std::uint64_t term);
    reply promote(std::uint64_t term);
    reply follow(std::uint64_t term, const std::string& primary_address);

    /// On a primary: the entries that a replica lacks, at most `limit` of them.
    [[nodiscard]] replication_answer entries_for(const replication_request& request,
                                                 std::size_t limit) const;
    /// On a replica with a known primary: the next request.
    [[nodiscard]] std::optional<replication_request> next_replication_request() const;
    /// Accepts an answer that showed the primary's state at `current_as_of`. It counts as received
    /// at `due`. Returns false when the answer was discarded.
    bool accept_answer(const replication_request& request, replication_answer answer,
                       time_point current_as_of, time_point due);
    /// Receives and applies what is due, with `apply_lag` between the two.
    void advance(time_point now, duration apply_lag);
    /// When `advance` has work next.
    [[nodiscard]] std::optional<time_point> next_due(duration apply_lag) const;

private:
    struct stored_entry {
        log_entry entry;
        time_point received_at{};
    };
    struct pending_batch {
        std::vector<log_entry> entries;
        /// The last position that matches the primary's log once this batch is received.
        std::uint64_t matched_position = 0;
        std::uint64_t primary_position = 0;
        time_point current_as_of{};
        time_point due{};
    };
    struct proof {
        std::uint64_t position = 0;
        time_point current_as_of{};
    };
    struct record {
        bool cancelled = false;
        std::uint64_t position = 0;
        boost::json::value result;
    };
    using record_key = std::pair<std::string, std::string>;

    [[nodiscard]] std::optional<reply> refuse_unless_primary(std::uint64_t term) const;
    [[nodiscard]] std::uint64_t term_at(std::uint64_t position) const;
    [[nodiscard]] const record* find_record(const std::string& customer,
                                            const std::string& key) const;
    [[nodiscard]] static reply replay(const record& found);
    std::uint64_t append(log_entry entry);
    void apply_next();
    void apply_received();
    void truncate_to(std::uint64_t position);
    void receive(pending_batch batch);
    void restart_replication();

    instance_role role_;
    std::uint64_t term_;
    std::string primary_address_;
    std::uint64_t start_position_ = 0;
    std::vector<stored_entry> log_;
    std::uint64_t applied_ = 0;
    std::uint64_t matched_ = 0;
    row_map rows_;
    std::map<record_key, record> records_;

    std::uint64_t epoch_ = 0;
    std::uint64_t fetched_position_ = 0;
    std::uint64_t fetched_term_ = 0;
    std::deque<pending_batch> pending_;
    std::deque<proof> proofs_;
    std::optional<time_point> current_as_of_;
};

}  // namespace masticgrade::standins
