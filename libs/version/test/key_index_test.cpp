#include "masticgrade/version/key_index.hpp"

#include <doctest/doctest.h>

#include "generators.hpp"
#include "masticgrade/version/snapshot_builder.hpp"

using namespace masticgrade;

namespace {

customer_key key(const std::string& id, const std::string& secret) {
    return {key_id{id}, generate::hash_of(secret)};
}

configuration make_config() {
    configuration config;
    config.customers[customer_id{"kust"}].keys = {key("k1", "one"), key("k2", "two")};
    config.customers[customer_id{"skog"}].keys = {key("k3", "three")};
    return config;
}

}  // namespace

// Guards against the use of another hash. The value is the FIPS 180-4 test vector for "abc".
TEST_CASE("keys are hashed with SHA-256") {
    const auto hash = to_key_hash(digest_key("abc"));
    CHECK(hash.str() == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(to_key_digest(hash) == digest_key("abc"));
    CHECK_FALSE(to_key_digest(key_hash{"BA"}).has_value());
}

// Guards against requests that are attributed to the wrong customer.
TEST_CASE("a valid key yields its customer and any other key yields none") {
    operations ops;
    ops.added_keys[customer_id{"skog"}] = {key("k4", "four")};
    ops.added_keys[customer_id{"unknown"}] = {key("k5", "five")};
    const key_index index{make_config(), ops};
    CHECK(index.find(digest_key("one"))->customer == customer_id{"kust"});
    CHECK(index.find(digest_key("three"))->customer == customer_id{"skog"});
    CHECK(index.find(digest_key("four"))->key == key_id{"k4"});
    CHECK(index.find(digest_key("five")) == nullptr);
    CHECK(index.find(digest_key("")) == nullptr);
    CHECK(rc::check("random keys", [&](const std::string& presented) {
        RC_PRE(presented != "one" && presented != "two");
        RC_ASSERT(index.find(digest_key(presented)) == nullptr);
    }));
    CHECK(key_index{{}, {}}.find(digest_key("one")) == nullptr);
}

// Guards against a revoked key that becomes valid again through the configuration, an operator's
// addition or a new id.
TEST_CASE("a revoked key is not valid under its own id or another one") {
    operations ops;
    ops.added_keys[customer_id{"kust"}] = {key("k1", "one"), key("k9", "nine")};
    ops.revoked_keys = {key_id{"k1"}, key_id{"k9"}};
    ops.revoked_hashes = {generate::hash_of("three")};
    const key_index index{make_config(), ops};
    CHECK(index.find(digest_key("one")) == nullptr);
    CHECK(index.find(digest_key("nine")) == nullptr);
    CHECK(index.find(digest_key("three")) == nullptr);
    CHECK(index.find(digest_key("two")) != nullptr);
}

// Guards against hash table collisions that hide a valid key or expose a revoked one.
TEST_CASE("all keys of a large configuration are found, except the revoked ones") {
    configuration config;
    operations ops;
    for (int i = 0; i < 3000; ++i) {
        const auto name = generate::name("k", i);
        config.customers[customer_id{name}].keys = {key(name, name)};
        if (i % 7 == 0) {
            ops.revoked_keys.insert(key_id{name});
        }
    }
    const key_index index{config, ops};
    for (int i = 0; i < 3000; ++i) {
        const auto name = generate::name("k", i);
        const auto* owner = index.find(digest_key(name));
        REQUIRE((owner == nullptr) == (i % 7 == 0));
        REQUIRE((owner == nullptr || owner->customer == customer_id{name}));
    }
}
