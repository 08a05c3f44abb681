#include "masticgrade/version/configuration_codec.hpp"

#include <fmt/format.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cmath>
#include <limits>
#include <map>
#include <utility>

#include "field_reader.hpp"
#include "key_json.hpp"
#include "masticgrade/base/error.hpp"

namespace masticgrade {

namespace {

namespace json = boost::json;

// Upper bounds far above any practical setting. They keep token bucket arithmetic in doubles exact.
constexpr double max_rate = 1e9;
constexpr std::uint64_t max_count = 1'000'000;

/// Reports duplicate values, with the path of the first definition.
class duplicate_detector {
public:
    duplicate_detector(std::string_view kind, std::vector<field_error>& errors)
        : kind_(kind), errors_(&errors) {}

    /// Returns whether the value is new. An empty value stands for an invalid field, which has
    /// already been reported.
    bool add(const std::string& value, const std::string& path, bool quote = true) {
        if (value.empty()) {
            return false;
        }
        const auto [first, added] = paths_.emplace(value, path);
        if (!added) {
            errors_->push_back(
                {path, fmt::format("{}{} is defined twice", kind_, quote ? " " + value : ""),
                 first->second});
        }
        return added;
    }

private:
    std::string_view kind_;
    std::vector<field_error>* errors_;
    std::map<std::string, std::string> paths_;
};

class document_decoder {
public:
    decoded_configuration decode(const json::value& document) {
        field_reader root{document, "", errors_};
        // Groups are decoded before routes and routes before customers, so that references can be
        // checked in one pass.
        for (const auto& entry : root.optional_elements("group")) {
            decode_group(entry);
        }
        for (const auto& entry : root.optional_elements("route")) {
            decode_route(entry);
        }
        for (const auto& entry : root.optional_elements("customer")) {
            decode_customer(entry);
        }
        root.reject_unknown_fields();
        return {std::move(config_), std::move(errors_)};
    }

private:
    void decode_group(const field_reader::element& entry) {
        field_reader reader{*entry.value, entry.path, errors_};
        group_config group;
        group.name = group_id{reader.name("name")};
        for (const auto& instance : reader.elements("instances")) {
            decode_instance(instance, group);
        }
        if (reader.required("instances") != nullptr && group.instances.empty()) {
            reader.report("instances", "must have at least one valid instance");
        }
        group.max_connections =
            static_cast<unsigned>(reader.integer("max_connections", 1, max_count));
        group.slots = static_cast<unsigned>(reader.integer("slots", 1, max_count));
        reader.reject_unknown_fields();
        if (group_names_.add(group.name.str(), reader.path_of("name"))) {
            config_.groups.emplace(group.name, std::move(group));
        }
    }

    void decode_instance(const field_reader::element& entry, group_config& group) {
        field_reader reader{*entry.value, entry.path, errors_};
        instance_config instance;
        instance.id = instance_id{reader.name("id")};
        instance.address = endpoint_address{reader.address("address")};
        instance.failure_domain = failure_domain_id{reader.name("failure_domain")};
        reader.reject_unknown_fields();
        const bool new_id = instance_ids_.add(instance.id.str(), reader.path_of("id"));
        const bool new_address = addresses_.add(instance.address.str(), reader.path_of("address"));
        if (new_id && new_address) {
            group.instances.push_back(std::move(instance));
        }
    }

    void decode_route(const field_reader::element& entry) {
        field_reader reader{*entry.value, entry.path, errors_};
        route_config route;
        route.name = route_id{reader.name("name")};
        route.group = group_id{reader.name("group")};
        route.open = reader.optional_flag("open");
        reader.reject_unknown_fields();
        if (!route.group.empty() && !config_.groups.contains(route.group)) {
            report_missing_reference(reader.path_of("group"), "group", route.group.str());
        }
        if (route_names_.add(route.name.str(), reader.path_of("name"))) {
            config_.routes.emplace(route.name, std::move(route));
        }
    }

    void decode_customer(const field_reader::element& entry) {
        field_reader reader{*entry.value, entry.path, errors_};
        customer_config customer;
        customer.name = customer_id{reader.name("name")};
        customer.rate = reader.positive_number("rate", 0, max_rate);
        // A token bucket with a capacity below one token would never admit a statement.
        customer.burst = reader.positive_number("burst", 1, max_rate);
        decode_routes(reader, customer);
        for (const auto& key : reader.optional_elements("keys")) {
            decode_key(key, customer);
        }
        reader.reject_unknown_fields();
        if (customer_names_.add(customer.name.str(), reader.path_of("name"))) {
            config_.customers.emplace(customer.name, std::move(customer));
        }
    }

    void decode_routes(field_reader& reader, customer_config& customer) {
        for (auto& name : reader.names("routes")) {
            const route_id route{std::move(name)};
            if (!config_.routes.contains(route)) {
                report_missing_reference(reader.path_of("routes"), "route", route.str());
            }
            if (!customer.routes.insert(route).second) {
                reader.report("routes", fmt::format("lists the route {} twice", route));
            }
        }
    }

    void decode_key(const field_reader::element& entry, customer_config& customer) {
        field_reader reader{*entry.value, entry.path, errors_};
        auto key = read_key(reader);
        reader.reject_unknown_fields();
        const bool new_id = key_ids_.add(key.id.str(), reader.path_of("id"));
        // A key shared by two customers would not identify the caller.
        const bool new_hash = key_hashes_.add(key.hash.str(), reader.path_of("sha256"), false);
        if (new_id && new_hash) {
            customer.keys.push_back(std::move(key));
        }
    }

    void report_missing_reference(std::string path, std::string_view kind,
                                  const std::string& name) {
        errors_.push_back({std::move(path),
                           fmt::format("refers to the {} {}, which is not defined", kind, name), "",
                           true});
    }

    configuration config_;
    std::vector<field_error> errors_;
    duplicate_detector customer_names_{"customer", errors_};
    duplicate_detector route_names_{"route", errors_};
    duplicate_detector group_names_{"group", errors_};
    duplicate_detector instance_ids_{"instance", errors_};
    duplicate_detector addresses_{"address", errors_};
    duplicate_detector key_ids_{"key", errors_};
    duplicate_detector key_hashes_{"the same key hash", errors_};
};

json::value encode_number(double number) {
    // Whole numbers are encoded as integers, because operators read them in the output of `show`.
    if (std::floor(number) == number && number < std::numeric_limits<std::int32_t>::max()) {
        return static_cast<std::int64_t>(number);
    }
    return number;
}

json::value encode_customer(const customer_config& customer) {
    json::array routes;
    for (const auto& route : customer.routes) {
        routes.emplace_back(route.str());
    }
    json::array keys;
    for (const auto& key : customer.keys) {
        keys.push_back(json::object{{"id", key.id.str()}, {"sha256", key.hash.str()}});
    }
    return json::object{{"name", customer.name.str()},
                        {"rate", encode_number(customer.rate)},
                        {"burst", encode_number(customer.burst)},
                        {"routes", std::move(routes)},
                        {"keys", std::move(keys)}};
}

json::value encode_group(const group_config& group) {
    json::array instances;
    for (const auto& instance : group.instances) {
        instances.push_back(json::object{{"id", instance.id.str()},
                                         {"address", instance.address.str()},
                                         {"failure_domain", instance.failure_domain.str()}});
    }
    return json::object{{"name", group.name.str()},
                        {"instances", std::move(instances)},
                        {"max_connections", group.max_connections},
                        {"slots", group.slots}};
}

}  // namespace

decoded_configuration decode_configuration(const json::value& document) {
    return document_decoder{}.decode(document);
}

configuration parse_configuration(std::string_view text) {
    auto decoded = decode_configuration(parse_json(text, "decode configuration"));
    if (!decoded.errors.empty()) {
        const auto& first = decoded.errors.front();
        throw error("decode configuration", "", first.field + " " + first.reason);
    }
    return std::move(decoded.config);
}

json::value encode_configuration(const configuration& config) {
    json::array customers;
    for (const auto& [name, customer] : config.customers) {
        customers.push_back(encode_customer(customer));
    }
    json::array routes;
    for (const auto& [name, route] : config.routes) {
        routes.push_back(json::object{
            {"name", route.name.str()}, {"group", route.group.str()}, {"open", route.open}});
    }
    json::array groups;
    for (const auto& [name, group] : config.groups) {
        groups.push_back(encode_group(group));
    }
    return json::object{{"customer", std::move(customers)},
                        {"route", std::move(routes)},
                        {"group", std::move(groups)}};
}

}  // namespace masticgrade
