#include "idle_position_prover.hpp"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

#include "fakes.hpp"
#include "local_group.hpp"

using namespace masticgrade;
using namespace masticgrade::test;

namespace {

const group_id group_name{"ledger"};

/// A group with the primary "a" and the replica "b" that no statement uses.
class idle_group {
public:
    explicit idle_group(std::size_t other_hosts = 0) {
        connector.add("a", true).position = 12;
        connector.add("b", false).position = 12;
        group = std::make_shared<backend_group>(
            group_name, make_local_environment(context_.get_executor(), connector, metrics_));
        prove_leadership(*group);
        group_settings settings;
        settings.name = group_name;
        settings.max_connections = 20;
        group->update(settings, connector.entries(), {});
        std::vector<host_id> hosts{host_id{"host-0"}};
        for (std::size_t i = 0; i < other_hosts; ++i) {
            hosts.push_back(host_id{"host-" + std::to_string(i + 1)});
        }
        hosts_ = hosts;
    }

    /// One check by the host.
    void check(const host_id& host) {
        prover_ = std::make_unique<idle_position_prover>(
            group, idle_position_prover::environment{context_.get_executor(), connector, host,
                                                     [this] { return hosts_; }});
        boost::asio::co_spawn(context_, prover_->check(), boost::asio::detached);
        context_.restart();
        context_.run_for(milliseconds{50});
    }
    [[nodiscard]] const std::vector<host_id>& hosts() const { return hosts_; }

    fake_connector connector;
    std::shared_ptr<backend_group> group;

private:
    boost::asio::io_context context_{1};
    gateway_metrics metrics_;
    std::vector<host_id> hosts_;
    std::unique_ptr<idle_position_prover> prover_;
};

}  // namespace

// Guards against a group that nobody uses and whose dead primary is not replaced: a host that ended
// long ago may have acknowledged commits after the last position that was read.
TEST_CASE("the position of an idle group is read again") {
    idle_group fixture;
    const auto before = boot_clock::now();
    fixture.check(host_id{"host-0"});
    const auto proof = fixture.group->newest_proven_position();
    REQUIRE(proof);
    CHECK(proof->moment >= before);
    CHECK(proof->position == fixture.connector.at("a").end_of_log());
    CHECK(fixture.group->proven_position(before));

    // A recent proof is enough.
    fixture.connector.at("a").position = 14;
    fixture.check(host_id{"host-0"});
    CHECK(fixture.group->newest_proven_position() == proof);
}

// Guards against bounds below what was acknowledged.
TEST_CASE("an instance that does not lead proves no position") {
    idle_group fixture;
    SUBCASE("it has lost the lead") { fixture.connector.at("a").is_primary = false; }
    SUBCASE("it does not answer") { fixture.connector.at("a").refuses_connections = true; }
    SUBCASE("another host has begun a failover") { fixture.group->on_failover_begun(7); }
    fixture.check(host_id{"host-0"});
    CHECK_FALSE(fixture.group->newest_proven_position());
}

// Each request occupies a slot of the primary; in a large fleet all hosts would send one.
TEST_CASE("few hosts read the position of an idle group") {
    idle_group fixture{20};
    unsigned asked = 0;
    for (const auto& host : fixture.hosts()) {
        idle_group other{20};
        other.check(host);
        asked += other.group->newest_proven_position() ? 1 : 0;
    }
    CHECK(asked == 3);
}
