#pragma once

#include <fmt/format.h>
#include <rapidcheck.h>

#include <boost/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "masticgrade/version/fleet_snapshot.hpp"
#include "masticgrade/version/key_index.hpp"

namespace masticgrade::generate {

inline std::string name(std::string_view kind, int number) {
    return fmt::format("{}-{}", kind, number);
}

inline key_hash hash_of(std::string_view key) { return to_key_hash(digest_key(key)); }

inline group_config group(int number) {
    group_config result;
    result.name = group_id{name("group", number)};
    for (int i = 0; i < *rc::gen::inRange(1, 4); ++i) {
        result.instances.push_back({instance_id{fmt::format("db-{}-{}", number, i)},
                                    endpoint_address{fmt::format("127.0.{}.{}:5000", number, i)},
                                    failure_domain_id{name("Örebro", i)}});
    }
    result.max_connections = *rc::gen::inRange(1U, 100U);
    result.slots = *rc::gen::inRange(1U, 10U);
    return result;
}

inline customer_config customer(int number, int routes) {
    customer_config result;
    result.name = customer_id{name("customer", number)};
    // Multiples of 1/8 are exact in binary, so that round trips can be compared for equality.
    result.rate = *rc::gen::inRange(1, 100000) / 8.0;
    result.burst = 1 + *rc::gen::inRange(0, 1000) / 8.0;
    for (int i = 0; i < routes; ++i) {
        if (*rc::gen::arbitrary<bool>()) {
            result.routes.insert(route_id{name("route", i)});
        }
    }
    for (int i = 0; i < *rc::gen::inRange(0, 3); ++i) {
        const auto id = fmt::format("key-{}-{}", number, i);
        result.keys.push_back({key_id{id}, hash_of(id)});
    }
    return result;
}

/// Generates a valid configuration with 1 to 3 groups, a route to each and up to 4 customers.
inline configuration config() {
    configuration result;
    const int groups = *rc::gen::inRange(1, 4);
    for (int i = 0; i < groups; ++i) {
        result.groups.emplace(group_id{name("group", i)}, group(i));
        const route_id route{name("route", i)};
        result.routes[route] = {route, group_id{name("group", i)}, *rc::gen::arbitrary<bool>()};
    }
    for (int i = 0; i < *rc::gen::inRange(0, 5); ++i) {
        result.customers.emplace(customer_id{name("customer", i)}, customer(i, groups));
    }
    return result;
}

inline boost::json::value json_value() {
    namespace json = boost::json;
    switch (*rc::gen::inRange(0, 9)) {
        case 0:
            return nullptr;
        case 1:
            return *rc::gen::arbitrary<bool>();
        case 2:
            return *rc::gen::arbitrary<std::int64_t>();
        case 3:
            return *rc::gen::element(0.0, -1.5, 1e300, 1.0 / 3);
        case 4:
            return json::value(*rc::gen::arbitrary<std::string>());
        case 5:
            return json::array{json_value(), json_value()};
        case 6:
            return json::object{{"name", json_value()}, {"id", json_value()}};
        case 7:
            return json::array{};
        default:
            return json::value("customer-0");
    }
}

/// Replaces, removes or adds one node at a random depth of a document.
inline void mutate(boost::json::value& value) {
    const bool descend = *rc::gen::inRange(0, 4) != 0;
    if (auto* object = value.if_object(); object != nullptr && descend && !object->empty()) {
        auto* field = object->begin() + *rc::gen::inRange<std::size_t>(0, object->size());
        if (*rc::gen::inRange(0, 8) == 0) {
            object->erase(field);
        } else {
            mutate(field->value());
        }
    } else if (auto* array = value.if_array(); array != nullptr && descend && !array->empty()) {
        mutate((*array)[*rc::gen::inRange<std::size_t>(0, array->size())]);
    } else {
        value = json_value();
    }
}

inline change_marks marks() {
    change_marks result;
    for (int i = 0; i < *rc::gen::inRange(0, 12); ++i) {
        result.add(name("mark", i));
    }
    return result;
}

}  // namespace masticgrade::generate
