#pragma once

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "control.hpp"
#include "http_server.hpp"
#include "table_store.hpp"

namespace masticgrade::standins {

struct platform_settings {
    std::string listen;
    std::string control;
    milliseconds host_list_lag{0};
    /// Each "id=..,address=..,failure_domain=..,kind=proxy|backend[,state=live|leaving]".
    std::vector<std::string> hosts;
};

/// Table service, object store and host list behind one port. Thread safety: one thread.
class platform_server {
public:
    /// Precondition: the server outlives the run of `io`. Throws std::invalid_argument for a host
    /// that is not well formed.
    platform_server(boost::asio::io_context& io, const platform_settings& settings);

    [[nodiscard]] std::uint16_t port() const { return server_.port(); }
    [[nodiscard]] std::uint16_t control_port_number() const { return control_.port(); }

private:
    class session;

    http_response answer(const http_request& request);
    http_response commit(const boost::json::object& body);
    http_response objects(const http_request& request);
    void control_changed(const boost::json::object& request);

    fault_state faults_;
    table_store table_;
    std::map<std::string, std::string> objects_;
    lagging_list hosts_;
    http_server server_;
    control_port control_;
};

}  // namespace masticgrade::standins
