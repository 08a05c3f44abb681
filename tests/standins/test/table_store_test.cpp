#include "table_store.hpp"

#include <doctest/doctest.h>

using namespace masticgrade;
using namespace masticgrade::standins;

// Guards against a commit that changes some of its rows although a condition failed.
TEST_CASE("a commit with a failed condition changes nothing") {
    table_store store;
    CHECK(store.commit({{"fleet/a", 0}}, {{"fleet/a", 1}}).version == 1);
    const auto refused = store.commit({{"fleet/a", 0}, {"fleet/b", 0}}, {{"fleet/b", 2}});
    CHECK(!refused.committed);
    REQUIRE(refused.conflicts.size() == 1);
    CHECK(refused.conflicts.front() == std::pair<std::string, std::uint64_t>("fleet/a", 1));
    CHECK(store.scan("fleet/", 0).at("rows").as_array().size() == 1);
}

// Guards against a scan that misses a changed row or returns rows outside its prefix.
TEST_CASE("a scan returns the rows changed after a version") {
    table_store store;
    store.commit({}, {{"fleet/a", 1}, {"fleet/b", 1}});
    store.commit({{"fleet/b", 1}}, {{"fleet/b", 2}});
    store.commit({}, {{"other", 3}});
    const auto changed = store.scan("fleet/", 1);
    CHECK(changed.at("version").as_uint64() == 2);
    REQUIRE(changed.at("rows").as_array().size() == 1);
    CHECK(changed.at("rows").at(0).at("key").as_string() == "fleet/b");
}

// Guards against a host list that shows a change before its lag has passed.
TEST_CASE("a lagging list shows a change after the lag") {
    lagging_list list;
    const time_point start{};
    list.set({"one"}, start);
    list.set({"two"}, start + seconds{10});
    CHECK(list.at(start + seconds{12}, seconds{3}).at(0).as_string() == "one");
    CHECK(list.at(start + seconds{13}, seconds{3}).at(0).as_string() == "two");
}
