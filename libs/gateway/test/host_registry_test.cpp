#include "host_registry.hpp"

#include <doctest/doctest.h>

#include "fakes.hpp"

using namespace masticgrade;
using namespace masticgrade::test;

namespace {

const host_id self{"host-1"};
const host_id other{"host-2"};
const registered_host own{endpoint_address{"10.0.0.1:7000"}, failure_domain_id{"north"}, 100};

/// Reads the hosts' rows from the store and applies them.
void refresh(host_registry& registry, fake_store& store) {
    boost::asio::io_context context;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
            const auto deadline = steady_clock::now() + seconds{1};
            auto prefix = host_registry::rows;
            auto scanned = co_await store.scan(std::move(prefix), {}, deadline);
            co_await registry.update(std::move(scanned.rows), deadline);
        },
        boost::asio::detached);
    context.run();
}

}  // namespace

// A host that promotes asks all registered hosts to stop using the old primary. A host whose row a
// restore of the store had lost was not asked, and continued to use it.
TEST_CASE("a host whose row was lost by a restore of the store stays known while it reports") {
    fake_store store;
    host_registry registry{store, self, own};
    store.copy();
    store.put(host_registry::rows + other.str(), "10.0.0.2:7000 south 10");
    refresh(registry, store);
    REQUIRE(registry.others().contains(other));
    registry.mark_alive(other);
    store.restore();
    refresh(registry, store);
    REQUIRE(registry.others().contains(other));
    CHECK(registry.others().at(other).failure_domain == failure_domain_id{"south"});
    // Its own row was lost as well.
    CHECK(registry.is_registered());
    CHECK(store.value_of(host_registry::rows + self.str()) == "10.0.0.1:7000 north 100");
}

// A promotion has to consider what a host may have acknowledged that is not asked any more.
TEST_CASE("a host that has no row but reports is not forgotten") {
    fake_store store;
    host_registry registry{store, self, own};
    const auto before = boot_clock::now();
    registry.mark_alive(other);
    refresh(registry, store);
    CHECK_FALSE(registry.others().contains(other));
    CHECK(registry.silent() == std::set<host_id>{other});
    CHECK(registry.last_heard(other) >= before - milliseconds{1});
    CHECK(registry.last_heard(other) <= boot_clock::now());
    store.put(host_registry::rows + other.str(), "10.0.0.2:7000 south 10");
    refresh(registry, store);
    CHECK(registry.others().contains(other));
    CHECK(registry.silent().empty());
}

// Hosts that started at the same time did not know each other for 10 s, and each of them admitted
// the whole rate of a customer.
TEST_CASE("hosts that register at the same time read the rows once more") {
    fake_store store;
    host_registry first{store, self, own};
    host_registry second{store, other, own};
    for (auto* registry : {&first, &second}) {
        boost::asio::io_context context;
        boost::asio::co_spawn(context, registry->update({}, steady_clock::now() + seconds{1}),
                              boost::asio::detached);
        context.run();
    }
    for (auto* registry : {&first, &second}) {
        CHECK(registry->is_registered());
        CHECK_FALSE(registry->has_read_own_row());
        CHECK(registry->others().empty());
    }
    refresh(first, store);
    refresh(second, store);
    CHECK(first.has_read_own_row());
    CHECK(first.others().contains(other));
    CHECK(second.others().contains(self));
}
