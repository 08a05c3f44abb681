#include "masticgrade/gateway/leadership_evidence.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace masticgrade;

namespace {

const boot_time start{seconds{100}};
const instance_id old_primary{"a"};
const instance_id new_primary{"b"};

failover_record closed(std::uint64_t fence, const instance_id& target, std::uint64_t term) {
    return {fence, false, target, term_number{term}};
}

failover_record open(std::uint64_t fence) { return {fence, true, {}, {}}; }

bool allows(const leadership_evidence& evidence, const instance_id& id, boot_time now,
            std::uint64_t log_term = 1, bool target_is_listed = true) {
    return evidence.allows({id, term_number{log_term}}, target_is_listed, now);
}

}  // namespace

// A host that does not hear of a promotion would serve reads that lack acknowledged commits.
TEST_CASE("no primary is used without a recent read of the failover row") {
    leadership_evidence evidence;
    CHECK_FALSE(allows(evidence, old_primary, start));
    evidence.on_row(std::nullopt, start);
    CHECK(allows(evidence, old_primary, start));
    CHECK(allows(evidence, old_primary, start + leadership_evidence::lifetime - milliseconds{1}));
    CHECK_FALSE(allows(evidence, old_primary, start + leadership_evidence::lifetime));
    CHECK(evidence.is_expired(start + leadership_evidence::lifetime));
}

TEST_CASE("no primary is used while a failover is in progress") {
    leadership_evidence evidence;
    evidence.on_row(closed(3, old_primary, 1), start);
    evidence.on_row(open(4), start + milliseconds{100});
    CHECK_FALSE(allows(evidence, old_primary, start + milliseconds{100}));
    CHECK(evidence.on_row(closed(4, new_primary, 2), start + milliseconds{200}));
    CHECK_FALSE(allows(evidence, old_primary, start + milliseconds{200}));
    CHECK(allows(evidence, new_primary, start + milliseconds{200}));
    CHECK(evidence.contradicts({old_primary, term_number{1}}, true, start + milliseconds{200}));
}

TEST_CASE("an announced failover ends the use of the primary until its outcome is read") {
    leadership_evidence evidence;
    evidence.on_row(closed(3, old_primary, 1), start);
    evidence.revoke(4, start + milliseconds{10});
    CHECK_FALSE(allows(evidence, old_primary, start + milliseconds{10}));
    // Read before the announcement.
    evidence.on_row(closed(3, old_primary, 1), start + milliseconds{5});
    CHECK_FALSE(allows(evidence, old_primary, start + milliseconds{20}));
    evidence.on_row(closed(4, new_primary, 2), start + milliseconds{30});
    CHECK(allows(evidence, new_primary, start + milliseconds{30}));
}

// A host must not stop for good because of an announcement that does not match the store.
TEST_CASE("a read after a false announcement allows the primary again") {
    leadership_evidence evidence;
    evidence.on_row(closed(3, old_primary, 1), start);
    evidence.revoke(400, start + milliseconds{10});
    evidence.on_row(closed(3, old_primary, 1), start + milliseconds{20});
    CHECK(allows(evidence, old_primary, start + milliseconds{20}));
}

// Rows that other hosts have read arrive in any order.
TEST_CASE("an older row does not replace a newer one") {
    leadership_evidence evidence;
    evidence.on_row(closed(4, new_primary, 2), start);
    CHECK_FALSE(evidence.on_row(closed(3, old_primary, 1), start + milliseconds{10}));
    CHECK_FALSE(evidence.on_row(open(4), start + milliseconds{20}));
    CHECK(evidence.record() == closed(4, new_primary, 2));
    CHECK(evidence.read_at() == start);
}

// After a restore of the store, hosts that remembered a promotion ignored the older row for good
// and used no primary until the next failover.
TEST_CASE("a record that a restore of the store has lost is reported until it is written again") {
    const store_era first{1};
    const store_era second{2};
    leadership_evidence evidence;
    evidence.on_row(closed(4, new_primary, 2), start, first);
    CHECK_FALSE(evidence.on_row(closed(3, old_primary, 1), start + milliseconds{10}, first));
    CHECK_FALSE(evidence.is_lost());
    CHECK_FALSE(evidence.on_row(closed(3, old_primary, 1), start + seconds{1}, second));
    CHECK(evidence.is_lost());
    CHECK_FALSE(allows(evidence, old_primary, start + seconds{1}));
    CHECK(allows(evidence, new_primary, start + seconds{1}));
    // The older row does not extend the evidence.
    CHECK_FALSE(allows(evidence, new_primary, start + leadership_evidence::lifetime));
    // A read of the earlier era that arrives late.
    CHECK_FALSE(evidence.on_row(closed(4, new_primary, 2), start + seconds{2}, first));
    CHECK(evidence.is_lost());
    evidence.on_row(closed(5, new_primary, 2), start + seconds{4}, second);
    CHECK_FALSE(evidence.is_lost());
    CHECK(allows(evidence, new_primary, start + seconds{4}));
}

// The log of an instance that is shut down moves to a new instance, without a promotion.
TEST_CASE("an instance that took over the promoted instance's log may lead") {
    leadership_evidence evidence;
    evidence.on_row(closed(4, new_primary, 2), start);
    const instance_id successor{"c"};
    CHECK_FALSE(allows(evidence, successor, start, 2));
    CHECK(allows(evidence, successor, start, 2, false));
    CHECK_FALSE(allows(evidence, successor, start, 1, false));
    CHECK(allows(evidence, successor, start, 3));
}

// A target that crashed soon after its promotion and started again empty under its id went on as
// the primary on its own word.
TEST_CASE("a promoted instance that has started again has to show its log") {
    leadership_evidence evidence;
    auto record = closed(4, new_primary, 2);
    record.target_start_time = 100;
    record.target_position = {term_number{1}, log_position{12}};
    evidence.on_row(record, start);
    const auto is_allowed = [&](leadership_evidence::claimant instance) {
        instance.id = new_primary;
        instance.log_term = term_number{2};
        return evidence.allows(instance, true, start);
    };
    leadership_evidence::claimant chosen;
    chosen.start_time = 100;
    CHECK(is_allowed(chosen));
    chosen.start_time = 0;
    CHECK(is_allowed(chosen));
    auto later = chosen;
    later.start_time = 101;
    CHECK_FALSE(is_allowed(later));
    later.reported_end = log_index{term_number{2}, log_position{11}};
    CHECK_FALSE(is_allowed(later));
    later.reported_end = log_index{term_number{2}, log_position{12}};
    CHECK(is_allowed(later));
    later.may_have_restarted = true;
    CHECK_FALSE(is_allowed(later));
    chosen.position_fell = true;
    CHECK_FALSE(is_allowed(chosen));
    CHECK(evidence.is_below_record(term_number{2}, {term_number{2}, log_position{11}}));
    CHECK_FALSE(evidence.is_below_record(term_number{2}, {term_number{1}, log_position{12}}));
    CHECK_FALSE(evidence.is_below_record(term_number{1}, {term_number{1}, log_position{11}}));
}

// The promise that reads of current data depend on: a host that promotes follows the protocol,
// other hosts read the row at any time, through relays of any age, or are suspended, or don't hear
// of the failover; none may use the old primary once the promotion request has been sent.
TEST_CASE("no host uses the old primary after the promotion") {
    CHECK(rc::check([] {
        struct row_read {
            milliseconds sent;
            milliseconds executed;
        };
        const milliseconds locked{5000};
        const auto hosts = *rc::gen::inRange(1, 6);
        std::vector<std::optional<milliseconds>> confirmed_at;
        std::vector<std::vector<row_read>> reads;
        for (int i = 0; i < hosts; ++i) {
            const auto confirms = *rc::gen::arbitrary<bool>();
            const milliseconds confirmation{*rc::gen::inRange(0, 4000)};
            confirmed_at.push_back(confirms ? std::optional{locked + confirmation} : std::nullopt);
            auto& host = reads.emplace_back();
            const auto count = *rc::gen::inRange(1, 8);
            for (int j = 0; j < count; ++j) {
                const milliseconds sent{*rc::gen::inRange(0, 10000)};
                host.push_back({sent, sent + milliseconds{*rc::gen::inRange(0, 2000)}});
            }
        }
        milliseconds promoted = locked;
        for (const auto& moment : confirmed_at) {
            const auto expiry = locked + leadership_evidence::expiry_wait;
            promoted = std::max(promoted, std::min(moment.value_or(expiry), expiry));
        }
        const auto recorded = promoted + seconds{1};
        for (std::size_t i = 0; i < reads.size(); ++i) {
            leadership_evidence evidence;
            for (milliseconds now{0}; now < seconds{12}; now += milliseconds{50}) {
                for (const auto& read : reads[i]) {
                    if (read.executed > now - milliseconds{50} && read.executed <= now) {
                        const auto row = read.executed < locked     ? closed(3, old_primary, 1)
                                         : read.executed < recorded ? open(4)
                                                                    : closed(4, new_primary, 2);
                        evidence.on_row(row, start + read.sent);
                    }
                }
                if (confirmed_at[i] && *confirmed_at[i] <= now) {
                    evidence.revoke(4, start + *confirmed_at[i]);
                }
                if (now >= promoted) {
                    RC_ASSERT_FALSE(allows(evidence, old_primary, start + now));
                }
                if (now < recorded) {
                    RC_ASSERT_FALSE(allows(evidence, new_primary, start + now));
                }
            }
        }
    }));
}
