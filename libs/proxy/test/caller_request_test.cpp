#include "caller_request.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

#include "masticgrade/base/error.hpp"

using namespace masticgrade;

namespace {

http_headers headers_with(const std::string& name, const std::string& value) {
    http_headers headers;
    headers.add(name, value);
    return headers;
}

template <class Function>
void run_or_reject(Function function) {
    try {
        function();
    } catch (const error&) {
    }
}

}  // namespace

// Guards against malformed input from a caller that crashes the process or fails another caller's
// request.
TEST_CASE("random targets, headers and bodies are parsed or rejected") {
    CHECK(rc::check([](const std::string& method, const std::string& target,
                       const std::string& value, const std::string& body) {
        static_cast<void>(parse_operation(method, target));
        static_cast<void>(parse_operation("POST", "/v1/" + target));
        for (const auto* name : {"Authorization", "Idempotency-Key", "Masticgrade-Session",
                                 "Masticgrade-Deadline-Ms", "Masticgrade-Max-Staleness-Ms"}) {
            run_or_reject([&] { parse_context(headers_with(name, value), time_point{}); });
        }
        run_or_reject([&] { parse_statement(body); });
        run_or_reject([&] { parse_statement("{\"kind\":\"read\",\"statement\":" + body); });
    }));
}

TEST_CASE("a header outside its range is rejected by name") {
    for (const auto* value : {"0", "60001", "-1", "1.5", "", "soon", "99999999999999999999"}) {
        CHECK_THROWS_WITH_AS(
            parse_context(headers_with("Masticgrade-Deadline-Ms", value), time_point{}),
            doctest::Contains("Masticgrade-Deadline-Ms"), error);
    }
    CHECK_THROWS_WITH_AS(parse_context(headers_with("Idempotency-Key", std::string(129, 'x')), {}),
                         doctest::Contains("Idempotency-Key"), error);
    CHECK_THROWS_WITH_AS(parse_context(headers_with("Authorization", "Basic x"), {}),
                         doctest::Contains("Bearer"), error);
}

// Guards against an error message that reveals the rejected key.
TEST_CASE("an error about a key does not repeat the key") {
    try {
        parse_context(headers_with("Authorization", "Basic secret-key"), time_point{});
        FAIL("accepted");
    } catch (const error& failure) {
        CHECK(std::string{failure.what()}.find("secret-key") == std::string::npos);
    }
}

TEST_CASE("a statement requires a known kind and no unknown fields") {
    for (const auto* body : {"", "[]", "{}", R"({"kind":"read"})", R"({"statement":1})",
                             R"({"kind":"drop","statement":1})", R"({"kind":1,"statement":1})",
                             R"({"kind":"read","statement":1,"extra":2})"}) {
        CHECK_THROWS_AS(parse_statement(body), error);
    }
    CHECK(parse_statement(R"({"kind":"write","statement":{"op":"put"}})").is_write);
}

TEST_CASE("each path selects one operation") {
    CHECK(std::get<run_statement>(*parse_operation("POST", "/v1/routes/ledger/statements"))
              .route.str() == "ledger");
    CHECK(std::holds_alternative<commit_transaction>(
        *parse_operation("POST", "/v1/transactions/abc/commit")));
    CHECK_FALSE(parse_operation("GET", "/v1/routes/ledger/statements"));
    CHECK_FALSE(parse_operation("POST", "/v1/routes//statements"));
    CHECK_FALSE(parse_operation("POST", "/v1/routes/a/b/statements"));
}

// Guards against a host that reports a valid route or key as unknown before it has read a
// configuration.
TEST_CASE("a host without a configuration refuses requests as unavailable") {
    const auto refusal = refuse_without_configuration(fleet_version{0});
    REQUIRE(refusal);
    CHECK(refusal->kind == outcome_kind::not_run);
    CHECK(refusal->cause == refusal::unavailable);
    CHECK(refusal->repeat_safe);
    CHECK_FALSE(refuse_without_configuration(fleet_version{1}));
}
