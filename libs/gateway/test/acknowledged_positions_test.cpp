#include "masticgrade/gateway/acknowledged_positions.hpp"
#include "masticgrade/gateway/replica_positions.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

#include "masticgrade/gateway/position_proofs.hpp"

using namespace masticgrade;

namespace {

constexpr boot_time start = boot_time{} + seconds(1000);

log_index at(std::uint64_t number) { return {term_number{1}, log_position{number}}; }

host_acknowledgements told_by(const char* host, boot_time started,
                              std::optional<acknowledged_bounds> bounds) {
    return {host_id{host}, started, bounds, std::nullopt};
}

/// Two hosts that have acknowledged commits up to 20 and 30.
acknowledgement_census two_hosts() {
    acknowledgement_census census;
    census.own = told_by("host-1", start, acknowledged_bounds{at(19), at(20)});
    census.confirmed.emplace(host_id{"host-2"},
                             told_by("host-2", start, acknowledged_bounds{at(25), at(30)}));
    census.is_announced = true;
    return census;
}

}  // namespace

// An answer's position may include commits that are not acknowledged yet, so it must not be taken
// for the position of the commit.
TEST_CASE("an acknowledged commit lies between what was seen before it and its answer") {
    acknowledgement_history history;
    REQUIRE(history.bounds());
    CHECK(*history.bounds() == acknowledged_bounds{});
    history.on_answered(at(14), start);
    CHECK(history.bounds()->up_to == at(14));
    CHECK_FALSE(history.bounds()->beyond);
    history.on_acknowledged(at(14), at(11));
    history.on_acknowledged(at(12), at(9));
    CHECK(*history.bounds() == acknowledged_bounds{at(11), at(14)});
    // The first commit of a term lies beyond everything of earlier terms.
    history.on_acknowledged({term_number{2}, log_position{3}}, at(900));
    CHECK(history.bounds()->beyond == log_index{term_number{2}, log_position{0}});
}

// Guards against a bound that leaves out a commit whose answer told no position.
TEST_CASE("a commit answered without a position is bounded by a later proof only") {
    acknowledgement_history history;
    history.on_answered(std::nullopt, start);
    CHECK_FALSE(history.bounds());
    history.on_proof({start - milliseconds{1}, at(40)});
    CHECK_FALSE(history.bounds());
    history.on_proof({start, at(41)});
    REQUIRE(history.bounds());
    CHECK(history.bounds()->up_to == at(41));
}

TEST_CASE("the bound is the highest of all hosts and of a proof that covers earlier processes") {
    auto census = two_hosts();
    CHECK(uncovered_before(census) == start);
    auto result = evaluate_census(census, at(28));
    CHECK(result.gap == census_gap::none);
    CHECK(result.bound == at(30));
    CHECK(result.up_to == at(30));
    CHECK(result.beyond == at(25));
    CHECK(evaluate_census(census, at(35)).bound == at(35));
    // The lowest of several proofs is enough.
    census.confirmed.at(host_id{"host-2"}).newest_proof = dated_position{start, at(31)};
    CHECK(evaluate_census(census, at(35)).bound == at(31));
    CHECK(evaluate_census(census, std::nullopt).bound == at(31));
}

TEST_CASE("without a proof that covers earlier processes there is no bound") {
    auto census = two_hosts();
    CHECK(evaluate_census(census, std::nullopt).gap == census_gap::no_position_proof);
    census.confirmed.at(host_id{"host-2"}).newest_proof =
        dated_position{start - milliseconds{1}, at(31)};
    CHECK_FALSE(evaluate_census(census, std::nullopt).bound);
    // An earlier process of the host that has started again may have acknowledged more.
    census.confirmed.at(host_id{"host-2"}).newest_proof = dated_position{start, at(31)};
    census.confirmed.at(host_id{"host-2"}).started = start + seconds{5};
    CHECK(uncovered_before(census) == start + seconds{5});
    CHECK_FALSE(evaluate_census(census, std::nullopt).bound);
    CHECK(evaluate_census(census, std::nullopt).beyond == at(25));
}

TEST_CASE("a host that has not confirmed counts until it has been silent for long") {
    auto census = two_hosts();
    census.unconfirmed.emplace(host_id{"host-3"}, start + seconds{2});
    CHECK(uncovered_before(census) == start + seconds{2} + silent_host_lifetime);
    census.confirmed.at(host_id{"host-2"}).newest_proof =
        dated_position{start + seconds{2}, at(31)};
    CHECK(evaluate_census(census, std::nullopt).gap == census_gap::no_position_proof);
    census.confirmed.at(host_id{"host-2"}).newest_proof->moment =
        start + seconds{2} + silent_host_lifetime;
    CHECK(evaluate_census(census, std::nullopt).bound == at(31));
}

TEST_CASE("there is no bound before all hosts were asked and have told") {
    auto census = two_hosts();
    census.is_announced = false;
    CHECK(evaluate_census(census, at(40)).gap == census_gap::not_announced);
    census.is_announced = true;
    census.confirmed.at(host_id{"host-2"}).bounds.reset();
    const auto result = evaluate_census(census, at(40));
    CHECK(result.gap == census_gap::unknown_acknowledgements);
    CHECK_FALSE(result.bound);
    // What the others have told still refutes a target.
    CHECK(result.beyond == at(19));
}

namespace {

/// A fleet whose hosts acknowledge commits of one primary, end, start again and are cut off from
/// the other hosts.
class fleet_model {
public:
    explicit fleet_model(std::size_t hosts) : hosts_(hosts) {
        for (std::size_t i = 0; i < hosts; ++i) {
            hosts_[i].heard_at = now_;
            start_process(i);
        }
    }

    void pass(milliseconds time) {
        now_ += time;
        for (auto& host : hosts_) {
            if (host.runs && !host.is_cut_off) {
                host.heard_at = now_;
            }
        }
    }

    /// A commit is acknowledged by the host. `unacknowledged` further commits follow it in the
    /// primary's log before it is answered.
    void acknowledge(std::size_t index, std::uint64_t unacknowledged, bool tells_position) {
        auto& host = hosts_[index];
        if (!host.runs || now_ - host.heard_at >= silent_host_lifetime) {
            return;
        }
        const auto seen_before = host.seen;
        const auto number = ++end_;
        end_ += unacknowledged;
        highest_acknowledged_ = number;
        if (tells_position) {
            host.history.on_answered(at(end_), now_);
            host.history.on_acknowledged(at(end_), seen_before);
            host.seen = at(end_);
        } else {
            host.history.on_answered(std::nullopt, now_);
        }
    }

    void prove_position(std::size_t index) {
        auto& host = hosts_[index];
        if (host.runs) {
            host.proofs.add(now_, at(end_));
            host.history.on_proof({now_, at(end_)});
            host.seen = at(end_);
        }
    }

    void stop(std::size_t index) { hosts_[index].runs = false; }
    void start_process(std::size_t index) {
        auto& host = hosts_[index];
        host.runs = true;
        host.started = now_;
        host.seen.reset();
        host.history = {};
        host.proofs = {};
    }
    void cut_off(std::size_t index, bool is_cut_off) { hosts_[index].is_cut_off = is_cut_off; }

    /// What the host `self` learns in a failover. Messages take up to `delay`.
    [[nodiscard]] census_result take_census(std::size_t self, milliseconds delay) const {
        acknowledgement_census census;
        census.own = told(self, milliseconds{0});
        census.own.newest_proof.reset();
        census.is_announced = true;
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            if (i == self) {
                continue;
            }
            const auto& host = hosts_[i];
            if (host.runs && !host.is_cut_off && !hosts_[self].is_cut_off) {
                census.confirmed.emplace(name_of(i), told(i, delay));
            } else {
                census.unconfirmed.emplace(name_of(i), host.heard_at);
            }
        }
        return evaluate_census(census, hosts_[self].proofs.covering(uncovered_before(census)));
    }

    [[nodiscard]] std::uint64_t highest_acknowledged() const { return highest_acknowledged_; }
    [[nodiscard]] bool runs(std::size_t index) const { return hosts_[index].runs; }

private:
    struct host_state {
        bool runs = false;
        bool is_cut_off = false;
        boot_time started;
        boot_time heard_at;
        std::optional<log_index> seen;
        acknowledgement_history history;
        position_proofs proofs;
    };

    static host_id name_of(std::size_t index) { return host_id{"host-" + std::to_string(index)}; }

    [[nodiscard]] host_acknowledgements told(std::size_t index, milliseconds delay) const {
        const auto& host = hosts_[index];
        host_acknowledgements result{name_of(index), host.started + delay, host.history.bounds(),
                                     std::nullopt};
        if (const auto moment = host.proofs.newest()) {
            result.newest_proof = dated_position{*moment - delay, *host.proofs.covering(*moment)};
        }
        return result;
    }

    std::vector<host_state> hosts_;
    boot_time now_ = start;
    std::uint64_t end_ = 0;
    std::uint64_t highest_acknowledged_ = 0;
};

}  // namespace

// What a host saw on a replica may have been acknowledged by one that was killed.
TEST_CASE("the census has the highest position at which a replica was seen") {
    acknowledgement_census census;
    census.own.replicas = {{instance_id{"b"}, {term_number{3}, log_position{40}}}};
    census.confirmed[host_id{"host-2"}].replicas = {
        {instance_id{"c"}, {term_number{3}, log_position{44}}}};
    CHECK(evaluate_census(census, std::nullopt).replicated ==
          log_index{term_number{3}, log_position{44}});

    SUBCASE("the end of a former primary's log may be on no replica") {
        census.former_primaries = {instance_id{"c"}};
        CHECK(evaluate_census(census, std::nullopt).replicated ==
              log_index{term_number{3}, log_position{40}});
    }
    SUBCASE("a promotion has given up what was not acknowledged in earlier terms") {
        census.term = term_number{4};
        CHECK(evaluate_census(census, std::nullopt).replicated == std::nullopt);
    }
}

TEST_CASE("a replica's positions of earlier terms are forgotten on a promotion") {
    replica_positions seen;
    seen.on_seen(instance_id{"b"}, {term_number{3}, log_position{44}});
    seen.on_seen(instance_id{"b"}, {term_number{3}, log_position{0}});
    seen.on_seen(instance_id{"c"}, {term_number{4}, log_position{45}});
    CHECK(seen.positions().at(instance_id{"b"}) == log_index{term_number{3}, log_position{44}});
    seen.on_promotion(term_number{4});
    seen.on_seen(instance_id{"b"}, {term_number{3}, log_position{46}});
    CHECK(seen.positions().size() == 1);
    for (std::uint64_t i = 0; i < 2 * replica_positions::max_replicas; ++i) {
        seen.on_seen(instance_id{"moved-" + std::to_string(i)}, {term_number{4}, log_position{i}});
    }
    CHECK(seen.positions().size() == replica_positions::max_replicas);
    CHECK(seen.positions().contains(instance_id{"c"}));
}

// Guards against promotions that lose what a host has acknowledged that was killed, has started
// again or was not heard.
TEST_CASE("a promotion that the acknowledgements allow has every acknowledged commit") {
    unsigned bounded = 0;
    unsigned bounded_after_restart = 0;
    const bool holds = rc::check([&] {
        const auto hosts = *rc::gen::inRange<std::size_t>(1, 4);
        fleet_model fleet{hosts};
        bool has_restarted = false;
        const auto steps = *rc::gen::inRange<unsigned>(1, 40);
        for (unsigned i = 0; i < steps; ++i) {
            fleet.pass(milliseconds{*rc::gen::inRange(1, 2000)});
            const auto host = *rc::gen::inRange<std::size_t>(0, hosts);
            switch (*rc::gen::weightedElement<int>(
                {{6, 0}, {4, 1}, {1, 2}, {2, 3}, {1, 4}, {2, 5}, {1, 6}})) {
                case 0:
                    fleet.acknowledge(host, *rc::gen::inRange<std::uint64_t>(0, 3), true);
                    break;
                case 1:
                    fleet.prove_position(host);
                    break;
                case 2:
                    fleet.stop(host);
                    break;
                case 3:
                    has_restarted = true;
                    fleet.start_process(host);
                    break;
                case 4:
                    fleet.cut_off(host, true);
                    break;
                case 5:
                    fleet.cut_off(host, false);
                    break;
                default:
                    fleet.acknowledge(host, 0, false);
                    break;
            }
        }
        const auto self = *rc::gen::inRange<std::size_t>(0, hosts);
        RC_PRE(fleet.runs(self));
        const auto result = fleet.take_census(self, milliseconds{*rc::gen::inRange(0, 50)});
        if (result.beyond) {
            RC_ASSERT(*result.beyond < at(fleet.highest_acknowledged()));
        }
        if (result.bound) {
            ++bounded;
            bounded_after_restart += has_restarted ? 1 : 0;
            RC_ASSERT(*result.bound >= at(fleet.highest_acknowledged()));
        }
    });
    CHECK(holds);
    CHECK(bounded > 0);
    CHECK(bounded_after_restart > 0);
}
