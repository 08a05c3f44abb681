#include "failover_row.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <map>
#include <random>

#include "masticgrade/base/event_log.hpp"

namespace masticgrade {

namespace json = boost::json;

namespace {

std::string random_nonce() {
    std::random_device source;
    return std::to_string((std::uint64_t{source()} << 32U) | source());
}

std::uint64_t number_or_zero(const json::object& object, std::string_view name) {
    const auto* value = object.if_contains(name);
    boost::system::error_code failure;
    const auto number =
        value != nullptr && value->is_number() ? value->to_number<std::uint64_t>(failure) : 0;
    return failure ? 0 : number;
}

bool bool_or(const json::object& object, std::string_view name, bool fallback) {
    const auto* value = object.if_contains(name);
    return value != nullptr && value->is_bool() ? value->as_bool() : fallback;
}

std::string string_or_empty(const json::object& object, std::string_view name) {
    const auto* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string{value->as_string()} : std::string{};
}

std::int64_t start_time_or_zero(const json::object& object, std::string_view name = "start_time") {
    const auto* value = object.if_contains(name);
    boost::system::error_code failure;
    const auto number =
        value != nullptr && value->is_number() ? value->to_number<std::int64_t>(failure) : 0;
    return failure ? 0 : number;
}

json::value encode_position(const std::optional<log_index>& position) {
    if (!position) {
        return nullptr;
    }
    return json::object{{"term", position->term.value()}, {"number", position->number.value()}};
}

std::optional<log_index> read_position(const json::object& object, std::string_view name) {
    const auto* value = object.if_contains(name);
    if (value == nullptr || !value->is_object()) {
        return std::nullopt;
    }
    const auto& position = value->as_object();
    return log_index{term_number{number_or_zero(position, "term")},
                     log_position{number_or_zero(position, "number")}};
}

json::array encode_requests(const std::vector<promotion_request>& requests) {
    json::array result;
    for (const auto& request : requests) {
        result.push_back(json::object{{"fence", request.fence},
                                      {"target", request.target.str()},
                                      {"start_time", request.start_time},
                                      {"position", encode_position(request.position)},
                                      {"hold_term", request.hold_term.value()}});
    }
    return result;
}

std::vector<promotion_request> read_requests(const json::object& row) {
    std::vector<promotion_request> result;
    const auto* requests = row.if_contains("requests");
    if (requests == nullptr || !requests->is_array()) {
        return result;
    }
    for (const auto& item : requests->as_array()) {
        if (item.is_object()) {
            const auto& request = item.as_object();
            result.push_back({number_or_zero(request, "fence"),
                              instance_id{string_or_empty(request, "target")},
                              start_time_or_zero(request),
                              read_position(request, "position").value_or(log_index{}),
                              term_number{number_or_zero(request, "hold_term")}});
        }
    }
    return result;
}

json::object encode_log_holder(const log_holder& holder) {
    return {{"instance", holder.instance.str()},
            {"address", holder.address.str()},
            {"start_time", holder.start_time}};
}

json::value encode_primary(const std::optional<recorded_primary>& primary) {
    if (!primary) {
        return nullptr;
    }
    auto result = encode_log_holder(primary->process);
    result["era"] = primary->era.value();
    result["end"] = encode_position(primary->end);
    return result;
}

json::array encode_log_holders(const failover_record& record) {
    json::array result;
    for (const auto& holder : record.log_holders) {
        auto item = encode_log_holder(holder);
        if (const auto bound = record.log_bounds.find(holder); bound != record.log_bounds.end()) {
            item["bound"] = encode_position(bound->second);
        }
        result.push_back(std::move(item));
    }
    return result;
}

/// The addresses by instance id, which hosts of earlier releases read. Of several processes of an
/// instance, the one that started last is written.
json::object encode_holder_addresses(const std::set<log_holder>& holders) {
    std::map<instance_id, const log_holder*> latest;
    for (const auto& holder : holders) {
        auto& known = latest[holder.instance];
        if (known == nullptr || known->start_time <= holder.start_time) {
            known = &holder;
        }
    }
    json::object result;
    for (const auto& [id, holder] : latest) {
        result[id.str()] = holder->address.str();
    }
    return result;
}

log_holder decode_log_holder(const json::object& holder) {
    return {instance_id{string_or_empty(holder, "instance")},
            endpoint_address{string_or_empty(holder, "address")}, start_time_or_zero(holder)};
}

std::optional<recorded_primary> read_primary(const json::object& row) {
    const auto* value = row.if_contains("primary");
    if (value == nullptr || !value->is_object()) {
        return std::nullopt;
    }
    const auto& primary = value->as_object();
    return recorded_primary{decode_log_holder(primary), store_era{number_or_zero(primary, "era")},
                            read_position(primary, "end")};
}

std::set<log_holder> decode_log_holders(const json::array& holders) {
    std::set<log_holder> result;
    for (const auto& item : holders) {
        if (item.is_object()) {
            result.insert(decode_log_holder(item.as_object()));
        }
    }
    return result;
}

std::map<log_holder, log_index> read_log_bounds(const json::object& row) {
    std::map<log_holder, log_index> result;
    const auto* holders = row.if_contains("log_processes");
    if (holders == nullptr || !holders->is_array()) {
        return result;
    }
    for (const auto& item : holders->as_array()) {
        const auto bound =
            item.is_object() ? read_position(item.as_object(), "bound") : std::nullopt;
        if (bound) {
            result.emplace(decode_log_holder(item.as_object()), *bound);
        }
    }
    return result;
}

std::set<log_holder> decode_holder_addresses(const json::object& addresses) {
    std::set<log_holder> result;
    for (const auto& [id, address] : addresses) {
        const bool is_text = address.is_string();
        result.insert({instance_id{std::string{id}},
                       endpoint_address{is_text ? std::string{address.as_string()} : std::string{}},
                       0});
    }
    return result;
}

std::set<log_holder> read_log_holders(const json::object& row) {
    if (const auto* holders = row.if_contains("log_processes");
        holders != nullptr && holders->is_array()) {
        return decode_log_holders(holders->as_array());
    }
    // Hosts of earlier releases record no start times.
    const auto* addresses = row.if_contains("log_holders");
    return addresses != nullptr && addresses->is_object()
               ? decode_holder_addresses(addresses->as_object())
               : std::set<log_holder>{};
}

}  // namespace

const std::string failover_row::prefix = "failover/";

std::string failover_row_key(const group_id& group) { return failover_row::prefix + group.str(); }

std::string encode_failover_row(const failover_record& record, const host_id& holder) {
    json::object row{{"fence", record.fence},
                     {"holder", holder.str()},
                     {"target", record.target.str()},
                     {"term", record.term.value()},
                     {"open", record.open},
                     {"request_pending", record.request_pending},
                     {"requests", encode_requests(record.requests)},
                     {"target_start_time", record.target_start_time},
                     {"target_position", encode_position(record.target_position)},
                     {"log_holders", encode_holder_addresses(record.log_holders)},
                     {"log_processes", encode_log_holders(record)},
                     {"primary", encode_primary(record.primary)},
                     {"required", encode_position(record.required)},
                     {"mark", random_nonce()}};
    return json::serialize(row);
}

failover_row decode_failover_row(const table_row& row) {
    failover_row result;
    result.version = row.version;
    boost::system::error_code failure;
    const auto value = json::parse(row.value, failure);
    if (failure || !value.is_object()) {
        event_line{"failover_row_unreadable"}
            .field("row", row.key)
            .field("version", row.version)
            .write();
        result.record.open = true;
        result.record.request_pending = true;
        return result;
    }
    const auto& object = value.as_object();
    result.record.fence = number_or_zero(object, "fence");
    result.record.target = instance_id{string_or_empty(object, "target")};
    result.record.term = term_number{number_or_zero(object, "term")};
    result.record.open = bool_or(object, "open", true);
    // Hosts of earlier releases don't record their requests.
    result.record.request_pending = bool_or(object, "request_pending", result.record.open);
    result.record.requests = read_requests(object);
    result.record.target_start_time = start_time_or_zero(object, "target_start_time");
    result.record.target_position = read_position(object, "target_position").value_or(log_index{});
    result.record.log_holders = read_log_holders(object);
    result.record.primary = read_primary(object);
    result.record.required = read_position(object, "required");
    result.record.log_bounds = read_log_bounds(object);
    result.holder = host_id{string_or_empty(object, "holder")};
    return result;
}

std::optional<failover_row> find_failover_row(const std::vector<table_row>& rows,
                                              const group_id& group) {
    const auto key = failover_row_key(group);
    const auto found =
        std::find_if(rows.begin(), rows.end(), [&](const auto& row) { return row.key == key; });
    if (found == rows.end()) {
        return std::nullopt;
    }
    return decode_failover_row(*found);
}

}  // namespace masticgrade
