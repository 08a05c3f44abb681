#pragma once

#include <boost/asio/io_context.hpp>
#include <string>

#include "control.hpp"
#include "database_instance.hpp"
#include "http_server.hpp"
#include "slot_pool.hpp"

namespace masticgrade::standins {

struct database_settings {
    std::string instance;
    std::string listen;
    std::string control;
    instance_role initial_role = instance_role::replica;
    std::uint64_t initial_term = 0;
    std::string primary;
    unsigned slots = 3;
    unsigned max_connections = 20;
    milliseconds setup_delay{10};
    milliseconds receive_delay{0};
    milliseconds apply_lag{0};
};

/// One database instance with its ports and its replication. Thread safety: one thread.
class database_server {
public:
    /// Precondition: the server outlives the run of `io`.
    database_server(boost::asio::io_context& io, database_settings settings);

    [[nodiscard]] std::uint16_t port() const { return server_.port(); }
    [[nodiscard]] std::uint16_t control_port_number() const { return control_.port(); }

private:
    class session;

    void start_coroutines(boost::asio::io_context& io);
    boost::asio::awaitable<http_response> answer_replica(const std::string& body);
    boost::asio::awaitable<void> replicate();
    boost::asio::awaitable<void> follow_primary(const std::string& address);
    boost::asio::awaitable<void> advance_when_due();
    void advance();
    [[nodiscard]] bool may_replicate() const;
    [[nodiscard]] boost::json::object state() const;
    void control_changed(const boost::json::object& request);

    database_settings settings_;
    fault_state faults_;
    database_instance instance_;
    slot_pool slots_;
    wake_signal changed_;
    unsigned connections_ = 0;
    unsigned peak_connections_ = 0;
    std::uint64_t statements_ = 0;
    http_server server_;
    control_port control_;
};

}  // namespace masticgrade::standins
