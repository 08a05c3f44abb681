#include "masticgrade/version/configuration_codec.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <limits>

#include "generators.hpp"
#include "masticgrade/base/error.hpp"

using namespace masticgrade;
namespace json = boost::json;

namespace {

const char* const valid_document = R"({
  "customer": [{"name": "kust", "rate": 10, "burst": 20, "routes": ["ledger"], "keys": []}],
  "route": [{"name": "ledger", "group": "g1"}],
  "group": [{"name": "g1", "max_connections": 20, "slots": 3, "instances": [
    {"id": "db-1", "address": "127.0.0.1:5001", "failure_domain": "Falun"}]}]})";

json::value document_with(std::string_view pointer, const json::value& value) {
    auto document = json::parse(valid_document);
    document.at_pointer(std::string{pointer}.substr(0, pointer.rfind('/')))
        .as_object()[std::string{pointer.substr(pointer.rfind('/') + 1)}] = value;
    return document;
}

bool names_field(const std::vector<field_error>& errors, std::string_view field) {
    return std::any_of(errors.begin(), errors.end(),
                       [&](const field_error& found) { return found.field == field; });
}

}  // namespace

// Guards against fields that are lost or changed between the operator and the hosts.
TEST_CASE("encoding and decoding a configuration preserves it") {
    CHECK(rc::check("round trip", [] {
        const auto config = generate::config();
        const auto text = json::serialize(encode_configuration(config));
        const auto again = json::serialize(encode_configuration(parse_configuration(text)));
        RC_ASSERT(again == text);
        const auto decoded = parse_configuration(text);
        for (const auto& [name, customer] : config.customers) {
            RC_ASSERT(decoded.customers.at(name).rate == customer.rate);
            RC_ASSERT(decoded.customers.at(name).routes == customer.routes);
            RC_ASSERT(decoded.customers.at(name).keys.size() == customer.keys.size());
        }
        for (const auto& [name, route] : config.routes) {
            RC_ASSERT(decoded.routes.at(name).open == route.open);
        }
        RC_ASSERT(decoded.groups.size() == config.groups.size());
    }));
}

// Guards against a malformed document that crashes every host.
TEST_CASE("malformed documents do not crash the decoder") {
    CHECK(rc::check("random bytes", [](const std::string& text) {
        try {
            parse_configuration(text);
        } catch (const error&) {
        }
    }));
    CHECK(rc::check("mutated documents", [] {
        auto document = encode_configuration(generate::config());
        for (int i = 0; i < *rc::gen::inRange(1, 4); ++i) {
            generate::mutate(document);
        }
        const auto decoded = decode_configuration(document);
        if (decoded.errors.empty()) {
            const auto& config = decoded.config;
            for (const auto& [name, customer] : config.customers) {
                RC_ASSERT(customer.rate > 0);
                RC_ASSERT(customer.burst >= 1);
                for (const auto& route : customer.routes) {
                    RC_ASSERT(config.groups.contains(config.routes.at(route).group));
                }
            }
        }
    }));
}

// Guards against rates that admit everything or nothing, or that break token bucket arithmetic.
TEST_CASE("out-of-range rates, bursts and limits are reported by field") {
    REQUIRE(decode_configuration(json::parse(valid_document)).errors.empty());
    const auto nan = std::numeric_limits<double>::quiet_NaN();
    const auto infinity = std::numeric_limits<double>::infinity();
    for (const json::value& bad :
         {json::value(0), json::value(-1), json::value(nan), json::value(infinity),
          json::value("10"), json::value(nullptr)}) {
        for (const std::string field : {"rate", "burst"}) {
            const auto errors =
                decode_configuration(document_with("/customer/0/" + field, bad)).errors;
            REQUIRE(errors.size() == 1);
            CHECK(errors.front().field == "customer[0]." + field);
        }
    }
    for (const std::string field : {"slots", "max_connections"}) {
        const auto errors = decode_configuration(document_with("/group/0/" + field, 0)).errors;
        CHECK(names_field(errors, "group[0]." + field));
    }
}

// Guards against misspelt fields that are silently ignored.
TEST_CASE("unknown and missing fields are errors") {
    const auto decode = [](std::string_view pointer, const json::value& value) {
        return decode_configuration(document_with(pointer, value)).errors;
    };
    CHECK(names_field(decode("/customer/0/brust", 1), "customer[0].brust"));
    CHECK(names_field(decode("/group/0/instances/0/port", 1), "group[0].instances[0].port"));
    CHECK(names_field(decode("/customers", json::array{}), "customers"));
    auto document = json::parse(valid_document);
    document.at("customer").at(0).as_object().erase("rate");
    CHECK(names_field(decode_configuration(document).errors, "customer[0].rate"));
}

// Guards against ambiguous entries and dangling references.
TEST_CASE("duplicates are reported with both paths, and missing references are errors") {
    auto document = json::parse(valid_document);
    auto& customers = document.at("customer").as_array();
    customers.push_back(json::value(customers.front()));
    const auto duplicate = decode_configuration(document).errors;
    REQUIRE(duplicate.size() == 1);
    CHECK(duplicate.front().field == "customer[1].name");
    CHECK(duplicate.front().first_definition == "customer[0].name");

    const auto route = decode_configuration(document_with("/route/0/group", "g2")).errors;
    REQUIRE(route.size() == 1);
    CHECK(route.front().missing_reference);
    const auto missing =
        decode_configuration(document_with("/customer/0/routes", json::array{"roster"})).errors;
    CHECK(names_field(missing, "customer[0].routes"));
}

// Guards against error messages that leak a plaintext key.
TEST_CASE("a plaintext key in place of its hash is rejected and not quoted") {
    const std::string secret = "c2VjcmV0LWtleS1vZi1hLWN1c3RvbWVy";
    const json::array keys{json::object{{"id", "k1"}, {"sha256", secret}}};
    const auto errors = decode_configuration(document_with("/customer/0/keys", keys)).errors;
    REQUIRE(names_field(errors, "customer[0].keys[0].sha256"));
    CHECK(errors.front().reason.find(secret) == std::string::npos);
}

// Guards against addresses that no host can connect to.
TEST_CASE("addresses are validated") {
    const auto accepts = [](std::string_view address) {
        return decode_configuration(
                   document_with("/group/0/instances/0/address", json::value(address)))
            .errors.empty();
    };
    CHECK(accepts("10.0.0.1:1"));
    CHECK(accepts("[::1]:65535"));
    for (const auto* bad : {"10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "db.example:5432",
                            "10.0.0.256:80", "::1:80", "10.0.0.1:80x", ":80", ""}) {
        CAPTURE(bad);
        CHECK_FALSE(accepts(bad));
    }
}
