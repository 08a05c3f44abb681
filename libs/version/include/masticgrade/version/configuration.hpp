#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// The SHA-256 hash of a caller's key in lower-case hexadecimal. The plain key is never stored.
using key_hash = strong_id<struct key_hash_tag>;

struct customer_key {
    key_id id;
    key_hash hash;
};

struct customer_config {
    customer_id name;
    /// Statements per second over all hosts together; greater than zero.
    double rate = 0;
    /// Statements that may be admitted at once over all hosts together; at least one.
    double burst = 0;
    std::set<route_id> routes;
    std::vector<customer_key> keys;
};

struct route_config {
    route_id name;
    group_id group;
    /// Whether a request needs no key.
    bool open = false;
};

struct instance_config {
    instance_id id;
    endpoint_address address;
    failure_domain_id failure_domain;
};

struct group_config {
    group_id name;
    std::vector<instance_config> instances;
    /// Connections that one instance accepts from the whole fleet.
    unsigned max_connections = 0;
    /// Statements that one instance executes at once.
    unsigned slots = 0;
};

/// The instances of a group in the order of the configuration. Thread safety: reentrant.
std::vector<instance_id> instance_ids(const group_config& group);

/// One accepted, validated configuration. Thread safety: read-only once published.
struct configuration {
    std::map<customer_id, customer_config> customers;
    std::map<route_id, route_config> routes;
    std::map<group_id, group_config> groups;
};

}  // namespace masticgrade
