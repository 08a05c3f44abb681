#include "masticgrade/control/row_change.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "fakes.hpp"
#include "masticgrade/version/row_codec.hpp"

using namespace masticgrade;
using fake::commit_fault;

namespace {

const std::string key = "fleet/groups/g";

change_retry_policy retry_policy(milliseconds time = milliseconds{50}) {
    return {steady_clock::now() + time, milliseconds{1}};
}

std::string value(const change_marks& marks, const std::string& mark) {
    group_record record;
    record.primary = instance_id{"db-1"};
    record.marks = marks;
    return encode_group_row(record, mark);
}

/// Changes the row as another writer would, keeping its change marks.
void write_concurrently(fake::table& table, int number) {
    const auto marks = decode_row_state(table.row(key)).marks;
    table.put(key, value(marks, "other-" + std::to_string(number)));
}

change_result commit(fake::table& table, const row_state& base, milliseconds time) {
    return fake::run(
        commit_row(table, {key, value(base.marks, "mine")}, "mine", base, retry_policy(time)));
}

}  // namespace

// Guards against reporting a change as failed although it took effect, or the reverse, after lost
// requests and responses and concurrent changes.
TEST_CASE("the reported outcome matches the store after lost requests and responses") {
    CHECK(rc::check("outcome", [] {
        fake::table table;
        table.put(key, value({}, "first"));
        const auto base = decode_row_state(table.row(key));
        for (int i = 0; i < *rc::gen::inRange(0, 4); ++i) {
            table.faults.push_back(
                *rc::gen::element(commit_fault::response_lost, commit_fault::request_lost,
                                  commit_fault::unreachable, commit_fault::none));
        }
        const int conflicting_commit = *rc::gen::inRange(0, 5);
        const int others = *rc::gen::inRange(1, 4);
        table.before_commit = [&] {
            for (int i = 0; table.commits == conflicting_commit && i < others; ++i) {
                write_concurrently(table, i);
            }
        };
        const auto result = commit(table, base, milliseconds{1000});
        const bool recorded = decode_row_state(table.row(key)).marks.contains("mine");
        RC_ASSERT(result.outcome ==
                  (recorded ? change_outcome::committed : change_outcome::conflict));
        const auto mine = decode_row_state(table.row(key)).marks.newest_first();
        RC_ASSERT(std::count(mine.begin(), mine.end(), "mine") == (recorded ? 1 : 0));
    }));
}

// Guards against reporting a definite outcome for a change that may still take effect.
TEST_CASE("without a response by the deadline the outcome is unknown or not sent") {
    fake::table table;
    table.faults.assign(1000, commit_fault::request_lost);
    CHECK(commit(table, {}, milliseconds{5}).outcome == change_outcome::unknown);
    table.faults.assign(1000, commit_fault::unreachable);
    CHECK(commit(table, {}, milliseconds{5}).outcome == change_outcome::not_sent);
    table.faults.assign(1, commit_fault::response_lost);
    table.scans_fail = true;
    table.before_commit = [&] { table.faults.push_back(commit_fault::request_lost); };
    CHECK(commit(table, {}, milliseconds{5}).outcome == change_outcome::unknown);
}

// Guards against an edit of the operations that discards a concurrent edit by another operator.
TEST_CASE("an edit of the operations is retried after a conflict and keeps the other change") {
    fake::table table;
    bool conflict_written = false;
    table.before_commit = [&] {
        if (!std::exchange(conflict_written, true)) {
            operations other;
            other.revoked_keys = {key_id{"k1"}};
            table.put("fleet/operations", encode_operations_row(other, "other"));
        }
    };
    operations_edit edit = [](const fleet_snapshot&, operations& next) {
        return next.drained_domains.insert(failure_domain_id{"Falun"}).second;
    };
    CHECK(fake::run(edit_operations(table, edit, retry_policy(milliseconds{1000}))).outcome ==
          change_outcome::committed);
    const auto ops = decode_operations_row(table.row("fleet/operations"));
    CHECK(ops.revoked_keys.contains(key_id{"k1"}));
    CHECK(ops.drained_domains.contains(failure_domain_id{"Falun"}));
    CHECK(fake::run(edit_operations(table, edit, retry_policy())).outcome ==
          change_outcome::unchanged);
}

// Guards against an edit that replaces an undecodable row: its revoked keys would become valid
// again.
TEST_CASE("operations that cannot be decoded are not overwritten") {
    fake::table table;
    table.put("fleet/operations", "{}");
    operations_edit edit = [](const fleet_snapshot&, operations&) { return true; };
    CHECK_THROWS_AS(fake::run(edit_operations(table, edit, retry_policy())), error);
    CHECK(table.row("fleet/operations").value == "{}");
}
