#include "masticgrade/request/retry_budget.hpp"

#include <doctest/doctest.h>

using namespace masticgrade;

// Guards against retries that multiply the load on a failing instance.
TEST_CASE("retries add at most 10% to the load of a failing instance") {
    retry_budget budget;
    while (budget.try_retry()) {
    }
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.on_request();
        retries += budget.try_retry() ? 1 : 0;
    }
    CHECK(retries == 100);
}
