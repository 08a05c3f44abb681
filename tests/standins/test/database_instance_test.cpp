#include "database_instance.hpp"

#include <doctest/doctest.h>

using namespace masticgrade;
using namespace masticgrade::standins;
namespace json = boost::json;

namespace {

const time_point start{};
const std::string customer = "north";

json::value put(const char* key, const char* value) {
    return {{"op", "put"}, {"key", key}, {"value", value}};
}
json::value take(const char* key) { return {{"op", "take"}, {"key", key}}; }
json::value get(const char* key) { return {{"op", "get"}, {"key", key}}; }

/// Copies until the replica has the primary's whole log.
void replicate(const database_instance& primary, database_instance& replica,
               time_point now = start) {
    for (int round = 0; round < 100; ++round) {
        const auto request = replica.next_replication_request();
        REQUIRE(request);
        REQUIRE(replica.accept_answer(*request, primary.entries_for(*request, 2), now, now));
        replica.advance(now, duration::zero());
    }
    CHECK(replica.received_position() == primary.received_position());
}

database_instance make_primary() { return {instance_role::primary, 1}; }
database_instance make_replica() { return {instance_role::replica, 1, "127.0.0.1:1"}; }

}  // namespace

// Guards against a booking made twice when its request is repeated on the promoted replica.
TEST_CASE("an idempotency record replicates with its booking") {
    auto primary = make_primary();
    auto replica = make_replica();
    const auto first = primary.write(1, customer, "k1", take("seat"));
    CHECK(first.status == "ok");
    replicate(primary, replica);
    CHECK(replica.seal(2).status == "ok");
    CHECK(replica.promote(2).status == "ok");
    const auto again = replica.write(2, customer, "k1", take("seat"));
    CHECK(again.status == "ok");
    CHECK(again.fields.at("replayed").as_bool());
    CHECK(again.fields.at("result") == first.fields.at("result"));
    CHECK(replica.write(2, "south", "k1", take("seat")).status == "error");
    CHECK(replica.dump().size() == 3);
}

// Guards against a late arrival that runs after its caller was told "not run".
TEST_CASE("a cancelled key never runs, and a key that ran is not cancelled") {
    auto primary = make_primary();
    CHECK(primary.cancel(1, customer, "k1").status == "cancelled");
    CHECK(primary.write(1, customer, "k1", take("seat")).status == "cancelled");
    CHECK(primary.cancel(1, customer, "k1").status == "cancelled");
    CHECK(primary.write(1, customer, "k2", take("seat")).status == "ok");
    CHECK(primary.cancel(1, customer, "k2").status == "found");
    CHECK(primary.received_position() == 3);
}

// Guards against an old primary that accepts or confirms work after a majority was sealed.
TEST_CASE("a sealed instance refuses lower terms and confirms nothing") {
    auto primary = make_primary();
    CHECK(primary.seal(3).status == "ok");
    CHECK(primary.seal(2).status == "stale_term");
    CHECK(primary.seal(3).status == "ok");
    CHECK(primary.write(1, customer, "", put("a", "1")).status == "stale_term");
    CHECK(primary.write(3, customer, "", put("a", "1")).status == "not_primary");
    CHECK(primary.read(1, 0, get("a"), customer).status == "stale_term");
    CHECK(primary.confirm(1, 1).status == "stale_term");
    CHECK(primary.confirm(3, 1).status == "pending");
    CHECK(primary.promote(4).status == "error");
    CHECK(primary.promote(3).fields.at("start_position").as_uint64() == 2);
    CHECK(primary.promote(3).fields.at("start_position").as_uint64() == 2);
    CHECK(primary.seal(3).status == "stale_term");
    CHECK(primary.follow(3, "127.0.0.1:2").status == "error");
}

// Guards against entries of an isolated primary that survive beside the new primary's log.
TEST_CASE("a diverged suffix is removed when a newer term is followed") {
    auto old_primary = make_primary();
    auto new_primary = make_replica();
    old_primary.write(1, customer, "k1", put("a", "1"));
    replicate(old_primary, new_primary);
    for (int i = 0; i < 5; ++i) {
        old_primary.write(1, customer, "lost" + std::to_string(i), put("a", "lost"));
    }
    new_primary.seal(2);
    new_primary.promote(2);
    new_primary.write(2, customer, "k2", put("b", "2"));

    CHECK(old_primary.follow(2, "127.0.0.1:2").status == "ok");
    CHECK(old_primary.confirm(2, 1).status == "pending");
    CHECK(old_primary.read(2, 0, get("a"), customer).status == "lagging");
    replicate(new_primary, old_primary);
    CHECK(old_primary.dump() == new_primary.dump());
    CHECK(old_primary.confirm(2, 4).status == "ok");
    const auto read = old_primary.read(2, 4, get("a"), customer);
    CHECK(read.fields.at("result").at("value").as_string() == "1");
    CHECK(old_primary.seal(3).status == "ok");
    CHECK(old_primary.promote(3).status == "ok");
    CHECK(old_primary.write(3, customer, "lost1", put("a", "3")).fields.at("replayed").as_bool() ==
          false);
}

// Guards against the loss of confirmed entries while the common part of two logs is searched.
TEST_CASE("the search for the common part removes nothing that the primary has") {
    auto primary = make_primary();
    auto replica = make_replica();
    auto other = make_replica();
    for (int i = 0; i < 10; ++i) {
        primary.write(1, customer, "", put("a", "1"));
    }
    replicate(primary, replica);
    replicate(primary, other);
    primary.write(1, customer, "", put("a", "2"));
    replicate(primary, replica);
    other.seal(2);
    other.promote(2);
    replica.follow(2, "127.0.0.1:2");
    const auto request = *replica.next_replication_request();
    CHECK(replica.accept_answer(request, other.entries_for(request, 2), start, start));
    replica.seal(3);
    CHECK(replica.received_position() == 12);
}

// Guards against a replica that confirms or shows an entry before its delay or lag has passed.
TEST_CASE("receiving and applying are delayed separately") {
    auto primary = make_primary();
    auto replica = make_replica();
    primary.write(1, customer, "", put("a", "1"));
    const auto request = *replica.next_replication_request();
    const auto due = start + milliseconds{50};
    CHECK(replica.accept_answer(request, primary.entries_for(request, 10), start, due));
    replica.advance(due - milliseconds{1}, milliseconds{30});
    CHECK(replica.confirm(1, 2).status == "pending");
    CHECK(!replica.staleness(due));
    replica.advance(due, milliseconds{30});
    CHECK(replica.confirm(1, 2).status == "ok");
    CHECK(replica.read(1, 2, get("a"), customer).status == "lagging");
    CHECK(*replica.next_due(milliseconds{30}) == due + milliseconds{30});
    replica.advance(due + milliseconds{30}, milliseconds{30});
    CHECK(replica.read(1, 2, get("a"), customer).status == "ok");
    CHECK(*replica.staleness(start + milliseconds{90}) == milliseconds{90});
}

// Guards against a transaction that is visible early, applied in part, or based on changed rows.
TEST_CASE("a transaction takes effect as a whole or not at all") {
    auto primary = make_primary();
    std::optional<open_transaction> transaction;
    CHECK(primary.begin(1, transaction).status == "ok");
    CHECK(primary.execute_in_transaction(1, *transaction, customer, take("s1")).status == "ok");
    CHECK(primary.execute_in_transaction(1, *transaction, customer, take("s1")).status == "error");
    CHECK(primary.execute_in_transaction(1, *transaction, "south", take("s3")).status == "error");
    CHECK(primary.execute_in_transaction(1, *transaction, customer, take("s2")).status == "ok");
    CHECK(primary.read(1, 0, get("s1"), customer).fields.at("result").at("value").is_null());

    SUBCASE("it commits, and the commit can be repeated") {
        const auto committed = primary.commit(1, transaction, customer, "k1");
        CHECK(committed.fields.at("position").as_uint64() == 2);
        const auto repeated = primary.commit(1, transaction, customer, "k1");
        CHECK(repeated.fields.at("replayed").as_bool());
        CHECK(repeated.fields.at("result") == committed.fields.at("result"));
    }
    SUBCASE("it conflicts with a booking made meanwhile") {
        primary.write(1, "south", "", take("s2"));
        CHECK(primary.commit(1, transaction, customer, "k1").status == "error");
        CHECK(primary.read(1, 0, get("s1"), customer).fields.at("result").at("value").is_null());
        CHECK(primary.cancel(1, customer, "k1").status == "cancelled");
    }
    SUBCASE("it cannot be committed under a later term") {
        primary.seal(2);
        primary.promote(2);
        CHECK(primary.commit(1, transaction, customer, "k1").status == "stale_term");
        CHECK(primary.commit(2, transaction, customer, "k1").status == "stale_term");
    }
}
