#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "masticgrade/gateway/connections.hpp"
#include "masticgrade/gateway/log_holder.hpp"
#include "masticgrade/gateway/session_state.hpp"
#include "masticgrade/net/table_service.hpp"

namespace masticgrade::test {

/// A statement that a fake instance executed for a caller.
struct executed_statement {
    statement_id id;
    std::string text;
    std::map<std::string, std::string> values;
    std::optional<log_index> at_least;
    bool in_transaction = false;
    /// The customer of the connection.
    customer_id customer;
};

/// An in-memory instance with injectable faults.
struct fake_instance {
    instance_entry entry;
    bool is_primary = false;
    term_number term{1};
    std::uint64_t position = 10;
    term_number held;
    /// Texts of statements whose answer is lost after they ran.
    std::set<std::string> lost_answers;
    /// Texts of statements after which the connection throws an error of another type.
    std::set<std::string> unexpected_errors;
    /// Texts of statements whose answer cannot be told from a repeated one.
    std::set<std::string> mismatched_answers;
    /// Texts of statements before which the connection breaks, once per entry.
    std::multiset<std::string> breaks_before;
    /// Open connections break at the next request.
    bool breaks_connections = false;
    bool refuses_connections = false;
    /// Whether the directory has an entry of the instance.
    bool is_listed = true;
    /// Answers new connections with `connection_limit`.
    bool at_connection_limit = false;
    /// Answers new connections with `wrong_instance`.
    bool has_other_id = false;
    /// Answers status requests with `busy`.
    bool is_busy = false;
    /// Time until a new connection is ready, and until each answer on it.
    milliseconds answer_delay{0};
    /// Probes fail, as when the queue of new connections overflows.
    bool fails_probes = false;
    /// If not empty, commits are acknowledged once one of these replicas has received them. Held
    /// replicas receive nothing.
    std::vector<fake_instance*> sync_candidates;
    std::vector<executed_statement> executed;
    unsigned commits = 0;
    unsigned rollbacks = 0;
    unsigned connections = 0;

    [[nodiscard]] log_index end_of_log() const { return {term, log_position{position}}; }
    [[nodiscard]] std::size_t runs_of(const std::string& id) const;
};

/// The process of an instance as `fake_connector::add` creates it.
log_holder holder_of(const std::string& name, std::int64_t start_time = 0);

class fake_link final : public instance_connection {
public:
    explicit fake_link(fake_instance& instance, customer_id customer = {})
        : instance_(instance), customer_(std::move(customer)) {}

    boost::asio::awaitable<std::vector<statement_answer>> run(std::vector<backend_request> requests,
                                                              time_point deadline) override;
    [[nodiscard]] bool is_open() const override { return open_; }
    [[nodiscard]] bool is_reusable() const override { return open_; }
    void close() override { open_ = false; }
    [[nodiscard]] std::optional<log_index> initial_position() const override {
        return instance_.end_of_log();
    }

private:
    statement_answer answer_one(const backend_request& request);
    statement_answer begin(const backend_begin& request);
    statement_answer statement(const statement_id& id, const std::string& text,
                               const std::optional<log_index>& at_least, bool is_write);
    statement_answer end_transaction(bool commit);
    [[nodiscard]] statement_answer refusal(answer_code code) const;
    [[nodiscard]] statement_answer success(const std::string& text) const;
    [[nodiscard]] statement_answer status() const;

    fake_instance& instance_;
    customer_id customer_;
    std::map<std::string, std::string> values_;
    std::map<std::string, prepared_statement> prepared_;
    bool open_ = true;
    bool in_transaction_ = false;
    bool read_write_ = false;
    bool wrote_ = false;
};

class fake_connector final : public instance_connector {
public:
    fake_instance& add(const std::string& name, bool is_primary);

    boost::asio::awaitable<instance_connection_ptr> connect(instance_entry instance,
                                                            customer_id customer,
                                                            time_point deadline) override;
    boost::asio::awaitable<bool> is_reachable(endpoint_address address,
                                              time_point deadline) override;
    [[nodiscard]] std::optional<instance_status> read_status(
        const statement_answer& answer) const override;

    [[nodiscard]] std::vector<instance_entry> entries() const;
    fake_instance& at(const std::string& name) { return instances_.at(name); }
    [[nodiscard]] bool is_running(const std::string& name) const {
        const auto found = instances_.find(name);
        return found != instances_.end() && !found->second.refuses_connections;
    }

private:
    /// The running instance with the address, or null.
    fake_instance* find_running(const endpoint_address& address);
    /// The instance that a connection to the entry's address reaches. Throws connection_error if
    /// there is none, and connection_refused_error if it has another id.
    fake_instance& find_peer(const instance_entry& entry);

    std::map<std::string, fake_instance> instances_;
};

/// The instances as another host reaches them: connections to some of them fail.
class partitioned_connector final : public instance_connector {
public:
    partitioned_connector(fake_connector& instances, std::set<std::string> unreachable)
        : instances_(instances), unreachable_(std::move(unreachable)) {}

    void set_unreachable(std::set<std::string> names) { unreachable_ = std::move(names); }

    boost::asio::awaitable<instance_connection_ptr> connect(instance_entry instance,
                                                            customer_id customer,
                                                            time_point deadline) override;
    boost::asio::awaitable<bool> is_reachable(endpoint_address address,
                                              time_point deadline) override;
    [[nodiscard]] std::optional<instance_status> read_status(
        const statement_answer& answer) const override {
        return instances_.read_status(answer);
    }

private:
    fake_connector& instances_;
    std::set<std::string> unreachable_;
};

/// A caller that sends the given statements in order.
class fake_caller final : public caller_connection {
public:
    fake_caller(session_request request, std::vector<caller_statement> statements)
        : request_(std::move(request)), statements_(statements.begin(), statements.end()) {}

    boost::asio::awaitable<std::optional<session_request>> open(time_point deadline) override;
    boost::asio::awaitable<void> accept() override;
    boost::asio::awaitable<void> refuse(answer_code code, std::string text) override;
    boost::asio::awaitable<std::optional<caller_statement>> next() override;
    boost::asio::awaitable<void> answer(const statement_answer& answer) override;
    [[nodiscard]] bool has_pending_input() override { return pipelines && !statements_.empty(); }
    void stop_waiting() override { waits_ = false; }
    void close() override { closed = true; }

    std::vector<statement_answer> answers;
    std::optional<answer_code> refused;
    bool closed = false;
    /// The statements arrive together, without a wait for answers.
    bool pipelines = false;
    /// Called before the statement with this index is sent.
    std::map<std::size_t, std::function<void()>> before;
    /// Called when the statement with this index has been received and `next` has not returned it.
    std::map<std::size_t, std::function<void()>> on_received;

private:
    session_request request_;
    std::deque<caller_statement> statements_;
    std::size_t sent_ = 0;
    bool waits_ = true;
};

/// An in-memory table service whose commits can lose their answers.
class fake_store final : public table_service {
public:
    boost::asio::awaitable<scan_result> scan(std::string prefix, fleet_version modified_after,
                                             time_point deadline) override;
    boost::asio::awaitable<commit_result> commit(table_commit change, time_point deadline) override;
    boost::asio::awaitable<std::vector<platform_host>> list_hosts(time_point deadline) override;

    void put(const std::string& key, const std::string& value);
    [[nodiscard]] std::string value_of(const std::string& key) const;
    [[nodiscard]] store_era era() const { return era_; }

    /// Keeps a copy of all rows and of the version counter.
    void copy();
    /// Replaces the rows and the version counter with the copy, and starts a new era.
    void restore();

    /// Called before rows are read.
    std::function<void()> on_scan = [] {};
    /// Called before a change is applied.
    std::function<void(const table_commit&)> on_commit = [](const table_commit&) {};
    unsigned answers_to_lose = 0;
    /// Calls that fail without effect.
    unsigned failures = 0;

private:
    void fail_if_requested();

    std::map<std::string, table_row> rows_;
    std::uint64_t version_ = 0;
    store_era era_{1};
    std::map<std::string, table_row> copied_rows_;
    std::uint64_t copied_version_ = 0;
};

class fake_promotions final : public promotion_service {
public:
    explicit fake_promotions(fake_connector& instances) : instances_(instances) {}

    boost::asio::awaitable<promotion_outcome> promote(group_id group, instance_id target,
                                                      std::uint64_t fence,
                                                      time_point deadline) override;

    struct order {
        instance_id target;
        std::uint64_t fence = 0;
    };
    /// Carries out a call as it arrives now. Calls with a lower fencing token than an earlier one
    /// are refused, also if that one named an instance that is not running.
    promotion_outcome carry_out(const order& call);

    std::vector<order> orders;
    std::function<void()> on_promote = [] {};
    /// The outcomes of the next calls. Those of unknown outcome are not carried out.
    std::deque<promotion_outcome> outcomes;
    /// Time until a call of unknown outcome ends.
    milliseconds unknown_after{0};

private:
    std::uint64_t newest_fence_ = 0;
    fake_connector& instances_;
};

caller_statement make_statement(const std::string& id, const std::string& text,
                                statement_action action);

}  // namespace masticgrade::test
