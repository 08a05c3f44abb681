#include "host_registry.hpp"

#include <sstream>
#include <string>
#include <utility>

#include "masticgrade/base/event_log.hpp"
#include "masticgrade/gateway/acknowledged_positions.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// A row consists of address, failure domain and bandwidth, separated by spaces.
std::string encode(const registered_host& host) {
    return host.address.str() + " " + host.failure_domain.str() + " " +
           std::to_string(host.link_mbps);
}

registered_host decode(const std::string& value) {
    std::istringstream fields{value};
    std::string address;
    std::string domain;
    registered_host host;
    fields >> address >> domain >> host.link_mbps;
    host.address = endpoint_address{address};
    host.failure_domain = failure_domain_id{domain};
    return host;
}

}  // namespace

const std::string host_registry::rows = "hosts/";

host_registry::host_registry(table_service& store, host_id self, registered_host own)
    : store_(store), self_(std::move(self)), own_(std::move(own)) {}

void host_registry::mark_alive(const host_id& host) { last_heard_[host] = steady_clock::now(); }

boot_time host_registry::last_heard(const host_id& host) const {
    const auto found = last_heard_.find(host);
    // The boot clock also counts suspensions, so the result is not too early.
    return found == last_heard_.end() ? boot_clock::now()
                                      : boot_clock::now() - (steady_clock::now() - found->second);
}

std::set<host_id> host_registry::silent() const {
    std::set<host_id> result;
    for (const auto& [host, heard_at] : last_heard_) {
        if (!others_.contains(host)) {
            result.insert(host);
        }
    }
    return result;
}

asio::awaitable<void> host_registry::update(std::vector<table_row> host_rows, time_point deadline) {
    const auto now = steady_clock::now();
    std::map<host_id, registered_host> others;
    fleet_version own_version;
    bool listed = false;
    for (const auto& row : host_rows) {
        const host_id host{row.key.substr(rows.size())};
        if (host == self_) {
            own_version = row.version;
            listed = row.value == encode(own_);
            continue;
        }
        const auto heard = last_heard_.try_emplace(host, now).first;
        if (now - heard->second < silent_host_lifetime) {
            others.emplace(host, decode(row.value));
        }
    }
    // Rows are never removed, so a missing one was lost by a restore of the store. Its host writes
    // it again.
    for (const auto& [host, registration] : others_) {
        const auto heard = last_heard_.find(host);
        if (heard != last_heard_.end() && now - heard->second < silent_host_lifetime) {
            others.emplace(host, registration);
        }
    }
    if (others != others_) {
        event_line{"hosts_changed"}.field("others", others.size()).write();
    }
    others_ = std::move(others);
    has_read_own_row_ = listed;
    if (!listed) {
        table_commit change;
        change.conditions.push_back({rows + self_.str(), own_version});
        change.puts.push_back({rows + self_.str(), encode(own_)});
        const auto result = co_await store_.commit(std::move(change), deadline);
        listed = result.committed;
    }
    registered_ = listed;
}

}  // namespace masticgrade
