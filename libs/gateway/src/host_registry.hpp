#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <optional>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/net/table_service.hpp"

namespace masticgrade {

struct registered_host {
    endpoint_address address;
    failure_domain_id failure_domain;
    /// Bandwidth of the host's own link; 0 when it is unknown.
    unsigned link_mbps = 0;

    friend bool operator==(const registered_host&, const registered_host&) = default;
};

/// The hosts of the fleet and their addresses, which each host writes to a row of its own.
/// Lives as long as the process. Thread safety: none; one executor.
class host_registry {
public:
    host_registry(table_service& store, host_id self, registered_host own);

    /// The prefix of the rows' keys.
    static const std::string rows;

    /// Takes what was read, and writes the own row where it is missing or names another address.
    /// Throws masticgrade::error.
    boost::asio::awaitable<void> update(std::vector<table_row> read, time_point deadline);
    void mark_alive(const host_id& host);

    [[nodiscard]] bool is_registered() const { return registered_; }
    [[nodiscard]] const std::map<host_id, registered_host>& others() const { return others_; }

private:
    table_service& store_;
    host_id self_;
    registered_host own_;
    bool registered_ = false;
    std::map<host_id, registered_host> others_;
    std::map<host_id, time_point> heard_;
};

}  // namespace masticgrade
