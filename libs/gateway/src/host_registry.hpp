#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <optional>
#include <set>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/net/table_service.hpp"

namespace masticgrade {

struct registered_host {
    endpoint_address address;
    failure_domain_id failure_domain;
    /// Bandwidth of the host's network link; 0 if unknown.
    unsigned link_mbps = 0;

    friend bool operator==(const registered_host&, const registered_host&) = default;
};

/// The addresses of the fleet's hosts; each host registers itself in a row of the store.
/// Lives as long as the process. Thread safety: none; one executor.
class host_registry {
public:
    host_registry(table_service& store, host_id self, registered_host own);

    /// Prefix of the keys of the hosts' rows.
    static const std::string rows;

    /// Applies the rows that were read, and writes this host's row if it is missing or differs.
    /// Hosts without a row stay known for as long as they are heard of.
    /// Throws masticgrade::error.
    boost::asio::awaitable<void> update(std::vector<table_row> host_rows, time_point deadline);
    void mark_alive(const host_id& host);

    [[nodiscard]] bool is_registered() const { return registered_; }
    /// Whether the rows that were applied last contain this host's. Hosts that register at the same
    /// time may both have read the rows before, and find each other only in a later reading.
    [[nodiscard]] bool has_read_own_row() const { return has_read_own_row_; }
    /// The other hosts, without those that have been silent for `silent_host_lifetime`.
    [[nodiscard]] const std::map<host_id, registered_host>& others() const { return others_; }
    /// Hosts that are known and not among `others`.
    [[nodiscard]] std::set<host_id> silent() const;
    /// When a report of the host was last received, or when it became known. Not too early.
    [[nodiscard]] boot_time last_heard(const host_id& host) const;

private:
    table_service& store_;
    host_id self_;
    registered_host own_;
    bool registered_ = false;
    bool has_read_own_row_ = false;
    std::map<host_id, registered_host> others_;
    std::map<host_id, time_point> last_heard_;
};

}  // namespace masticgrade
