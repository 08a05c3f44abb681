#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>

#include "fleet_state.hpp"
#include "masticgrade/connection/transaction_state.hpp"
#include "masticgrade/request/outcome.hpp"
#include "masticgrade/request/session_token.hpp"
#include "statement_service.hpp"

namespace masticgrade {

/// Manages callers' open transactions on this host; each holds one connection to the primary.
/// Thread safety: all members may be called from any thread; each coroutine must run on a strand.
class transaction_service {
public:
    transaction_service(std::shared_ptr<fleet_state> fleet, new_work_check new_work_refusal);
    transaction_service(const transaction_service&) = delete;
    transaction_service& operator=(const transaction_service&) = delete;
    ~transaction_service();

    /// On success the result contains the transaction id.
    boost::asio::awaitable<outcome> begin(customer_id customer, group_id group,
                                          time_point deadline);
    boost::asio::awaitable<outcome> execute(customer_id customer, transaction_id id, bool is_write,
                                            boost::json::value statement, time_point deadline);
    boost::asio::awaitable<statement_result> commit(customer_id customer, transaction_id id,
                                                    idempotency_key idempotency,
                                                    session caller_session, time_point deadline);
    boost::asio::awaitable<outcome> rollback(customer_id customer, transaction_id id,
                                             time_point deadline);

    /// Rolls back idle transactions.
    void tick(time_point now);
    [[nodiscard]] std::size_t open() const;

private:
    class entry;

    std::variant<std::shared_ptr<entry>, outcome> claim(const customer_id& customer,
                                                        const transaction_id& id,
                                                        transaction_statement statement,
                                                        const std::optional<idempotency_key>& key);
    void mark_answered(entry& current);
    /// Passes the final event to the state machine and removes the transaction.
    template <class Event>
    void end(const transaction_id& id, entry& current, Event event);

    std::shared_ptr<fleet_state> fleet_;
    new_work_check new_work_refusal_;
    mutable std::mutex mutex_;
    std::map<transaction_id, std::shared_ptr<entry>> entries_;
};

}  // namespace masticgrade
