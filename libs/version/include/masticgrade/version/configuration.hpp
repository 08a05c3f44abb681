#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// The SHA-256 hash of an API key in lower-case hexadecimal. The plaintext key is never stored.
using key_hash = strong_id<struct key_hash_tag>;

struct customer_key {
    key_id id;
    key_hash hash;
};

struct customer_config {
    customer_id name;
    /// Statements per second across all hosts; greater than 0.
    double rate = 0;
    /// Burst size in statements across all hosts; at least 1.
    double burst = 0;
    std::set<route_id> routes;
    std::vector<customer_key> keys;
};

struct route_config {
    route_id name;
    group_id group;
    /// Whether requests are accepted without a key.
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
    /// The maximum number of connections from all hosts to one instance.
    unsigned max_connections = 0;
    /// The number of statements that one instance executes concurrently.
    unsigned slots = 0;
};

/// The instance ids of a group in configuration order. Thread safety: reentrant.
std::vector<instance_id> instance_ids(const group_config& group);

/// A validated configuration. Thread safety: safe for concurrent reads.
struct configuration {
    std::map<customer_id, customer_config> customers;
    std::map<route_id, route_config> routes;
    std::map<group_id, group_config> groups;
};

}  // namespace masticgrade
