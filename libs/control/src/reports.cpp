#include <fmt/format.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <map>
#include <utility>

#include "masticgrade/base/error.hpp"
#include "masticgrade/control/commands.hpp"
#include "masticgrade/version/configuration_codec.hpp"
#include "masticgrade/version/row_codec.hpp"
#include "render.hpp"
#include "wait.hpp"

namespace masticgrade {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

template <class Ids>
json::array list_ids(const Ids& ids) {
    json::array list;
    for (const auto& id : ids) {
        list.emplace_back(id.str());
    }
    return list;
}

/// Lists the rows that hosts cannot decode; an operator has to repair them.
json::array describe_rejected_rows(const snapshot_update& fleet) {
    json::array rejected;
    for (const auto& row : fleet.rejected) {
        rejected.push_back(json::object{
            {"row", row.key}, {"version", row.version.value()}, {"reason", row.reason}});
    }
    return rejected;
}

json::object describe_group_record(const fleet_snapshot& fleet, const group_id& group) {
    const auto found = fleet.groups.find(group);
    if (found == fleet.groups.end()) {
        return {{"phase", "unassigned"}};
    }
    const auto& record = found->second;
    return {{"phase", record.phase == group_phase::sealing ? "sealing" : "active"},
            {"term", record.term.value()},
            {"primary", record.primary.str()},
            {"start_position", record.start_position.value()},
            {"coordinator", record.coordinator.str()}};
}

bool is_primary(const fleet_snapshot& fleet, const group_id& group, const instance_id& instance) {
    const auto record = fleet.groups.find(group);
    return record != fleet.groups.end() && record->second.primary == instance;
}

json::object describe_instance(const fleet_snapshot& fleet, const group_id& group,
                               const instance_config& instance) {
    return {{"id", instance.id.str()},
            {"group", group.str()},
            {"address", instance.address.str()},
            {"failure_domain", instance.failure_domain.str()},
            {"primary", is_primary(fleet, group, instance.id)},
            {"drained", fleet.drained_instances.contains(instance.id)}};
}

[[noreturn]] void throw_unknown_name(std::string_view kind, const std::string& name) {
    throw error("explain", "", fmt::format("{} \"{}\" is not known", kind, name));
}

json::object describe_key(const operations& ops, const customer_key& key, const char* source) {
    const bool revoked = ops.revoked_keys.contains(key.id) || ops.revoked_hashes.contains(key.hash);
    return {{"id", key.id.str()}, {"source", source}, {"state", revoked ? "revoked" : "valid"}};
}

json::object explain_customer(const fleet_snapshot& fleet, const std::string& name) {
    const auto found = fleet.config.customers.find(customer_id{name});
    if (found == fleet.config.customers.end()) {
        throw_unknown_name("customer", name);
    }
    const auto& customer = found->second;
    json::array routes;
    for (const auto& route : customer.routes) {
        const auto& config = fleet.config.routes.at(route);
        routes.push_back(json::object{
            {"name", route.str()}, {"group", config.group.str()}, {"open", config.open}});
    }
    json::array keys;
    for (const auto& key : customer.keys) {
        keys.push_back(describe_key(fleet.ops, key, "folder"));
    }
    if (const auto added = fleet.ops.added_keys.find(customer.name);
        added != fleet.ops.added_keys.end()) {
        for (const auto& key : added->second) {
            keys.push_back(describe_key(fleet.ops, key, "operations"));
        }
    }
    return {{"customer", name},
            {"rate", customer.rate},
            {"burst", customer.burst},
            {"routes", std::move(routes)},
            {"keys", std::move(keys)}};
}

json::object explain_group(const fleet_snapshot& fleet, const std::string& name) {
    const auto found = fleet.config.groups.find(group_id{name});
    if (found == fleet.config.groups.end()) {
        throw_unknown_name("group", name);
    }
    const auto& group = found->second;
    json::array instances;
    for (const auto& instance : group.instances) {
        instances.push_back(describe_instance(fleet, group.name, instance));
    }
    json::array routes;
    for (const auto& [route, config] : fleet.config.routes) {
        if (config.group == group.name) {
            routes.emplace_back(route.str());
        }
    }
    return {{"group", name},
            {"record", describe_group_record(fleet, group.name)},
            {"max_connections", group.max_connections},
            {"slots", group.slots},
            {"routes", std::move(routes)},
            {"instances", std::move(instances)}};
}

json::object explain_domain(const fleet_snapshot& fleet, const std::string& name) {
    const failure_domain_id domain{name};
    json::array hosts;
    for (const auto& [id, host] : fleet.hosts.hosts) {
        if (host.failure_domain == domain) {
            hosts.push_back(json::object{{"id", id.str()}, {"address", host.peer_address.str()}});
        }
    }
    json::array servers;
    for (const auto& [group, config] : fleet.config.groups) {
        for (const auto& instance : config.instances) {
            if (instance.failure_domain == domain) {
                servers.push_back(describe_instance(fleet, group, instance));
            }
        }
    }
    const bool drained = fleet.ops.drained_domains.contains(domain);
    if (hosts.empty() && servers.empty() && !drained) {
        throw_unknown_name("failure domain", name);
    }
    return {{"failure_domain", name},
            {"drained", drained},
            {"hosts", std::move(hosts)},
            {"backend_servers", std::move(servers)}};
}

json::object describe_operations(const operations& ops) {
    json::array added;
    for (const auto& [customer, keys] : ops.added_keys) {
        for (const auto& key : keys) {
            added.push_back(json::object{{"customer", customer.str()}, {"id", key.id.str()}});
        }
    }
    return {{"version", ops.version.value()},
            {"drained_domains", list_ids(ops.drained_domains)},
            {"drained_servers", list_ids(ops.drained_servers)},
            {"added_keys", std::move(added)},
            {"revoked_keys", list_ids(ops.revoked_keys)}};
}

json::object describe_platform(const snapshot_update& update) {
    const auto& fleet = *update.snapshot;
    json::array groups;
    for (const auto& [name, config] : fleet.config.groups) {
        auto group = describe_group_record(fleet, name);
        group["name"] = name.str();
        groups.push_back(std::move(group));
    }
    return {{"version", fleet.version.value()},
            {"config_version", fleet.config_version.value()},
            {"operations_version", fleet.ops.version.value()},
            {"drained_domains", list_ids(fleet.ops.drained_domains)},
            {"drained_servers", list_ids(fleet.ops.drained_servers)},
            {"groups", std::move(groups)},
            {"undecodable_rows", describe_rejected_rows(update)}};
}

json::object describe_configuration(const snapshot_update& update) {
    const auto& fleet = *update.snapshot;
    std::string operator_name;
    if (const auto row = fleet.rows.find(std::string{config_row_key});
        row != fleet.rows.end() && find_rejected(update, config_row_key) == nullptr) {
        operator_name = decode_config_row(*row->second).operator_name;
    }
    return {{"version", fleet.config_version.value()},
            {"operator", operator_name},
            {"document", encode_configuration(fleet.config)},
            {"operations", describe_operations(fleet.ops)},
            {"undecodable_rows", describe_rejected_rows(update)}};
}

command_result make_report(json::object document, exit_code code = exit_code::done) {
    command_result result{code, render_text(document), {}};
    result.document = std::move(document);
    return result;
}

}  // namespace

asio::awaitable<command_result> run_show(control_services services) {
    const auto update = co_await load_fleet(services.table, services.deadline);
    co_return make_report(describe_configuration(update));
}

asio::awaitable<command_result> run_status(control_services services) {
    json::object document;
    auto code = exit_code::done;
    const auto fail = [&](const char* field, const error& failure) {
        document[field].emplace_object()["error"] = failure.what();
        code = exit_code::failed;
    };
    // The platform query gets half of the time, so that its failure leaves time for the proxy
    // query.
    const auto now = steady_clock::now();
    try {
        const auto half = now + (services.deadline - now) / 2;
        document["platform"] = describe_platform(co_await load_fleet(services.table, half));
    } catch (const error& failure) {
        fail("platform", failure);
    }
    try {
        document["proxy"] = co_await services.proxies.read_status(services.deadline);
    } catch (const error& failure) {
        fail("proxy", failure);
    }
    co_return make_report(std::move(document), code);
}

asio::awaitable<command_result> run_explain(control_services services, explain_command command) {
    const auto update = co_await load_fleet(services.table, services.deadline);
    const auto& fleet = *update.snapshot;
    switch (command.kind) {
        case subject_kind::customer:
            co_return make_report(explain_customer(fleet, command.name));
        case subject_kind::group:
            co_return make_report(explain_group(fleet, command.name));
        case subject_kind::domain:
        case subject_kind::server:
            break;
    }
    co_return make_report(explain_domain(fleet, command.name));
}

}  // namespace masticgrade
