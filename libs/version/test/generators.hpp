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
    group_config made;
    made.name = group_id{name("group", number)};
    for (int i = 0; i < *rc::gen::inRange(1, 4); ++i) {
        made.instances.push_back({instance_id{fmt::format("db-{}-{}", number, i)},
                                  endpoint_address{fmt::format("127.0.{}.{}:5000", number, i)},
                                  failure_domain_id{name("Örebro", i)}});
    }
    made.max_connections = *rc::gen::inRange(1U, 100U);
    made.slots = *rc::gen::inRange(1U, 10U);
    return made;
}

inline customer_config customer(int number, int routes) {
    customer_config made;
    made.name = customer_id{name("customer", number)};
    // Eighths are exact in binary, so that the round trip can be compared exactly.
    made.rate = *rc::gen::inRange(1, 100000) / 8.0;
    made.burst = 1 + *rc::gen::inRange(0, 1000) / 8.0;
    for (int i = 0; i < routes; ++i) {
        if (*rc::gen::arbitrary<bool>()) {
            made.routes.insert(route_id{name("route", i)});
        }
    }
    for (int i = 0; i < *rc::gen::inRange(0, 3); ++i) {
        const auto id = fmt::format("key-{}-{}", number, i);
        made.keys.push_back({key_id{id}, hash_of(id)});
    }
    return made;
}

/// A valid configuration with 1 to 3 groups, a route to each and up to 4 customers.
inline configuration config() {
    configuration made;
    const int groups = *rc::gen::inRange(1, 4);
    for (int i = 0; i < groups; ++i) {
        made.groups.emplace(group_id{name("group", i)}, group(i));
        const route_id route{name("route", i)};
        made.routes[route] = {route, group_id{name("group", i)}, *rc::gen::arbitrary<bool>()};
    }
    for (int i = 0; i < *rc::gen::inRange(0, 5); ++i) {
        made.customers.emplace(customer_id{name("customer", i)}, customer(i, groups));
    }
    return made;
}

inline boost::json::value any_json() {
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
            return json::array{any_json(), any_json()};
        case 6:
            return json::object{{"name", any_json()}, {"id", any_json()}};
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
        value = any_json();
    }
}

inline change_marks marks() {
    change_marks made;
    for (int i = 0; i < *rc::gen::inRange(0, 12); ++i) {
        made.add(name("mark", i));
    }
    return made;
}

}  // namespace masticgrade::generate
