#include <fmt/format.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <set>
#include <utility>
#include <vector>

#include "change_report.hpp"
#include "masticgrade/base/error.hpp"
#include "masticgrade/control/commands.hpp"
#include "masticgrade/version/key_index.hpp"
#include "masticgrade/version/snapshot_builder.hpp"

namespace masticgrade {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t key_secret_bytes = 32;
constexpr std::size_t key_id_bytes = 6;

bool is_known_domain(const fleet_snapshot& fleet, const failure_domain_id& domain) {
    const bool has_host =
        std::any_of(fleet.hosts.hosts.begin(), fleet.hosts.hosts.end(),
                    [&](const auto& entry) { return entry.second.failure_domain == domain; });
    const auto has_instance = [&](const auto& entry) {
        const auto& instances = entry.second.instances;
        return std::any_of(instances.begin(), instances.end(), [&](const instance_config& found) {
            return found.failure_domain == domain;
        });
    };
    return has_host ||
           std::any_of(fleet.config.groups.begin(), fleet.config.groups.end(), has_instance);
}

bool is_known_server(const fleet_snapshot& fleet, const instance_id& server) {
    return std::any_of(
        fleet.config.groups.begin(), fleet.config.groups.end(), [&](const auto& entry) {
            const auto& instances = entry.second.instances;
            return std::any_of(instances.begin(), instances.end(),
                               [&](const instance_config& found) { return found.id == server; });
        });
}

/// Adds or removes an element; returns whether the set changed.
template <class Id>
bool insert_or_erase(std::set<Id>& set, const Id& id, bool present) {
    return present ? set.insert(id).second : set.erase(id) != 0;
}

bool edit_drains(const fleet_snapshot& fleet, operations& next, const drain_command& command) {
    if (command.kind == subject_kind::domain) {
        const failure_domain_id domain{command.name};
        // A drained domain can be returned to service after its removal from the configuration.
        if (!is_known_domain(fleet, domain) && !next.drained_domains.contains(domain)) {
            throw error("drain", "", fmt::format("failure domain \"{}\" is not known", domain));
        }
        return insert_or_erase(next.drained_domains, domain, command.drained);
    }
    const instance_id server{command.name};
    if (!is_known_server(fleet, server) && !next.drained_servers.contains(server)) {
        throw error("drain", "", fmt::format("backend server \"{}\" is not known", server));
    }
    return insert_or_erase(next.drained_servers, server, command.drained);
}

/// Returns the groups whose instances are all drained, which leaves them without service.
std::vector<group_id> find_groups_without_service(const fleet_snapshot& fleet, operations next) {
    fleet_snapshot changed;
    changed.config = fleet.config;
    changed.ops = std::move(next);
    const auto drained = finalize_snapshot(std::move(changed))->drained_instances;
    std::vector<group_id> found;
    for (const auto& [name, group] : fleet.config.groups) {
        if (std::all_of(group.instances.begin(), group.instances.end(),
                        [&](const auto& instance) { return drained.contains(instance.id); })) {
            found.push_back(name);
        }
    }
    return found;
}

/// Returns the hash of the key with this id, from the added keys or the configuration document, or
/// nullptr if there is none.
const key_hash* find_key_hash(const fleet_snapshot& fleet, const operations& ops,
                              const key_id& id) {
    const auto search = [&](const std::vector<customer_key>& keys) -> const key_hash* {
        const auto found = std::find_if(keys.begin(), keys.end(),
                                        [&](const customer_key& key) { return key.id == id; });
        return found == keys.end() ? nullptr : &found->hash;
    };
    for (const auto& [customer, keys] : ops.added_keys) {
        if (const auto* hash = search(keys)) {
            return hash;
        }
    }
    for (const auto& [name, customer] : fleet.config.customers) {
        if (const auto* hash = search(customer.keys)) {
            return hash;
        }
    }
    return nullptr;
}

bool edit_added_key(const fleet_snapshot& fleet, operations& next, const customer_id& customer,
                    const customer_key& key) {
    if (!fleet.config.customers.contains(customer)) {
        throw error("add key", "", fmt::format("customer \"{}\" is not known", customer));
    }
    if (find_key_hash(fleet, next, key.id) != nullptr || next.revoked_keys.contains(key.id)) {
        throw error("add key", "", fmt::format("key id \"{}\" is already in use", key.id));
    }
    next.added_keys[customer].push_back(key);
    return true;
}

bool edit_revoked_key(const fleet_snapshot& fleet, operations& next, const key_id& id) {
    if (next.revoked_keys.contains(id)) {
        return false;
    }
    const auto* hash = find_key_hash(fleet, next, id);
    if (hash == nullptr) {
        throw error("revoke key", "", fmt::format("key id \"{}\" is not known", id));
    }
    next.revoked_hashes.insert(*hash);
    next.revoked_keys.insert(id);
    return true;
}

change_description describe_change(const drain_command& command) {
    const auto kind = command.kind == subject_kind::domain ? "failure domain" : "backend server";
    return {
        fmt::format("{} {} \"{}\"", command.drained ? "Drained" : "Returned", kind, command.name),
        {{"name", command.name}, {"drained", command.drained}}};
}

change_description describe_addition(const customer_id& customer, const key_id& key) {
    return {fmt::format("Added key \"{}\" of customer \"{}\"", key, customer),
            {{"customer", customer.str()}, {"id", key.str()}}};
}

change_description describe_revocation(const key_id& key) {
    return {fmt::format("Revoked key \"{}\"", key), {{"id", key.str()}}};
}

key_id make_key_id() {
    // Hexadecimal, because a base64url id that begins with "-" would be parsed as a flag.
    const auto hash = to_key_hash(digest_key(make_random_token(key_id_bytes)));
    return key_id{"k-" + hash.str().substr(0, 2 * key_id_bytes)};
}

}  // namespace

asio::awaitable<command_result> run_drain(control_services services, drain_command command) {
    std::vector<group_id> without_service;
    operations_edit edit = [&](const fleet_snapshot& fleet, operations& next) {
        const bool changed = edit_drains(fleet, next, command);
        without_service = find_groups_without_service(fleet, next);
        return changed;
    };
    auto change =
        co_await edit_operations(services.table, std::move(edit), retry_policy_of(services));
    auto description = describe_change(command);
    auto result = co_await report_change(services, std::move(change), std::move(description));
    json::array groups;
    for (const auto& group : without_service) {
        result.text += fmt::format("\nWarning: every instance of group \"{}\" is drained.", group);
        groups.emplace_back(group.str());
    }
    result.document["groups_without_service"] = std::move(groups);
    co_return result;
}

asio::awaitable<command_result> run_add_key(control_services services, add_key_command command) {
    const auto secret = make_random_token(key_secret_bytes);
    const customer_key key{command.id ? *command.id : make_key_id(),
                           to_key_hash(digest_key(secret))};
    operations_edit edit = [&](const fleet_snapshot& fleet, operations& next) {
        return edit_added_key(fleet, next, command.customer, key);
    };
    const auto change =
        co_await edit_operations(services.table, std::move(edit), retry_policy_of(services));
    auto description = describe_addition(command.customer, key.id);
    auto result = co_await report_change(services, change, std::move(description));
    if (change.outcome == change_outcome::committed) {
        result.text += fmt::format("\nKey, shown only this once: {}", secret);
        result.document["key"] = secret;
    } else {
        // The secret is not shown, so nobody can use the key; it should be revoked if it was
        // recorded.
        result.text += fmt::format("\nIf key \"{}\" appears, revoke it.", key.id);
        result.document["id"] = key.id.str();
    }
    co_return result;
}

asio::awaitable<command_result> run_revoke_key(control_services services,
                                               revoke_key_command command) {
    operations_edit edit = [&](const fleet_snapshot& fleet, operations& next) {
        return edit_revoked_key(fleet, next, command.id);
    };
    const auto change =
        co_await edit_operations(services.table, std::move(edit), retry_policy_of(services));
    auto description = describe_revocation(command.id);
    co_return co_await report_change(services, change, std::move(description));
}

}  // namespace masticgrade
