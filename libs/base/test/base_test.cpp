#include <doctest/doctest.h>

#include "masticgrade/base/error.hpp"
#include "masticgrade/base/invariant.hpp"
#include "masticgrade/base/log.hpp"
#include "masticgrade/base/types.hpp"

using namespace masticgrade;

// Guards against errors whose message omits the step or the peer.
TEST_CASE("an error message contains the step, the peer and the reason") {
    const error failure{"confirm", "10.0.0.1:5432", "timed out"};
    CHECK(std::string{failure.what()} == "confirm (peer 10.0.0.1:5432): timed out");
    CHECK(failure.step() == "confirm");
    CHECK(failure.reason() == "timed out");
}

// Guards against invariant violations that go unnoticed.
TEST_CASE("a violated invariant is counted") {
    const auto before = invariant_violations();
    MG_INVARIANT("test", 1 + 1 == 3, std::string{"sum=2"});
    CHECK(invariant_violations() == before + 1);
}

TEST_CASE("the error for an unknown log level quotes the level") {
    CHECK_THROWS_WITH_AS(parse_log_level("loud"), doctest::Contains("loud"), error);
}
