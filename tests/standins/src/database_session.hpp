#pragma once

#include <optional>

#include "database_server.hpp"

namespace masticgrade::standins {

/// One connection of a client or of another instance; owns its transaction, which ends with it.
class database_server::session : public http_session {
public:
    explicit session(database_server& server) : server_(server) {}
    session(const session&) = delete;
    session(session&&) = delete;
    session& operator=(const session&) = delete;
    session& operator=(session&&) = delete;
    ~session() override;

    boost::asio::awaitable<http_response> handle(http_request request) override;

private:
    using fields = boost::json::object;

    boost::asio::awaitable<reply> dispatch(const std::string& target, const fields& request);
    boost::asio::awaitable<reply> execute(const fields& request);
    boost::asio::awaitable<reply> read(const fields& request);
    boost::asio::awaitable<reply> confirm(const fields& request);
    reply commit(const fields& request);
    reply rollback();
    reply failover(const std::string& target, const fields& request);
    /// Counts this connection against the limit; returns false when there are too many.
    bool count_connection();
    [[nodiscard]] http_response answer(const fields& request, reply outcome) const;
    [[nodiscard]] bool loses_answer(const std::string& target, const fields& request,
                                    const reply& outcome);

    database_server& server_;
    std::optional<open_transaction> transaction_;
    bool counted_ = false;
};

}  // namespace masticgrade::standins
