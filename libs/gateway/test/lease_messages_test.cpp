#include "lease_messages.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "masticgrade/base/error.hpp"
#include "message_delay_estimator.hpp"

using namespace masticgrade;

namespace {

constexpr boot_time start = boot_time{} + seconds(100);
const host_id sender{"host-1"};
constexpr incarnation_number incarnation{3};

log_index index_of(std::uint64_t number) { return {term_number{number}, log_position{number + 1}}; }

lease_payload transmit(const lease_payload& call) {
    return decode_lease_message(encode_lease_message({milliseconds{5}, call})).call;
}

}  // namespace

// Guards against fields that are lost or swapped in encoding.
TEST_CASE("lease messages round-trip through encoding and decoding") {
    CHECK(rc::check([](const std::string& text, std::uint64_t number, bool flag) {
        lease_request opening{
            group_id{text}, instance_id{text + "i"}, customer_id{text + "c"}, flag,
            std::nullopt,   milliseconds{7},         milliseconds{8},         3};
        if (flag) {
            opening.at_least = index_of(number % 1000);
        }
        RC_ASSERT(std::get<lease_request>(transmit(opening)) == opening);
        const lease_reply opened{lease_id{number}, lease_failure::late};
        RC_ASSERT(std::get<lease_reply>(transmit(opened)) == opened);
        const lease_release closing{lease_id{number}};
        RC_ASSERT(std::get<lease_release>(transmit(closing)) == closing);
        RC_ASSERT(std::holds_alternative<ping>(transmit(ping{})));
        RC_ASSERT(std::holds_alternative<pong>(transmit(pong{})));
        const position_query question{group_id{text}, customer_id{text + "c"}, milliseconds{9}};
        RC_ASSERT(std::get<position_query>(transmit(question)) == question);
        position_reply reported{instance_id{text}, std::nullopt, milliseconds{11}};
        if (flag) {
            reported.position = index_of(number % 1000);
        }
        RC_ASSERT(std::get<position_reply>(transmit(reported)) == reported);
        const failover_begun begun{group_id{text}, number};
        RC_ASSERT(std::get<failover_begun>(transmit(begun)) == begun);
        failover_confirmed confirmed;
        if (flag) {
            confirmed.acknowledged =
                acknowledged_bounds{index_of(number % 500), index_of(number % 1000)};
            confirmed.proof = index_of(number % 2000);
            confirmed.proof_age = milliseconds{14};
            confirmed.replicas = {{instance_id{text + "a"}, {term_number{2}, log_position{number}}},
                                  {instance_id{text + "b"}, {term_number{1}, log_position{7}}}};
        }
        RC_ASSERT(std::get<failover_confirmed>(transmit(confirmed)) == confirmed);
        // Nothing acknowledged is not the same as unknown.
        confirmed.acknowledged = acknowledged_bounds{};
        RC_ASSERT(std::get<failover_confirmed>(transmit(confirmed)) == confirmed);
        const failover_recorded recorded{group_id{text}, number};
        RC_ASSERT(std::get<failover_recorded>(transmit(recorded)) == recorded);
        const primary_query about{group_id{text}, instance_id{text + "i"}};
        RC_ASSERT(std::get<primary_query>(transmit(about)) == about);
        const primary_reply heard{flag, milliseconds{13}};
        RC_ASSERT(std::get<primary_reply>(transmit(heard)) == heard);
        const positions_query several{{{group_id{text}, customer_id{text + "c"}}, {}}};
        RC_ASSERT(std::get<positions_query>(transmit(several)) == several);
        const positions_reply known{{{group_id{text}, reported}}};
        RC_ASSERT(std::get<positions_reply>(transmit(known)) == known);
        const usage_update totals{{{window_number{number}, {{customer_id{text}, 7}}}},
                                  number,
                                  wall_time{milliseconds{number % 1'000'000'000}},
                                  incarnation_number{number},
                                  number};
        RC_ASSERT(std::get<usage_update>(transmit(totals)) == totals);
        const usage_acknowledgement stored{number, incarnation_number{number}, number % 2 == 0};
        RC_ASSERT(std::get<usage_acknowledgement>(transmit(stored)) == stored);
        const row_query rows{text, number};
        RC_ASSERT(std::get<row_query>(transmit(rows)) == rows);
        const row_reply answer{flag,
                               number,
                               milliseconds{12},
                               {{text, fleet_version{number}, text + "v"}},
                               store_era{number}};
        const auto arrived = std::get<row_reply>(transmit(answer));
        RC_ASSERT(arrived.known == flag);
        RC_ASSERT(arrived.digest == number);
        RC_ASSERT(arrived.age == milliseconds{12});
        RC_ASSERT(arrived.rows.size() == 1U);
        RC_ASSERT(arrived.rows.front().key == text);
        RC_ASSERT(arrived.rows.front().version == fleet_version{number});
        RC_ASSERT(arrived.rows.front().value == text + "v");
        RC_ASSERT(arrived.era == store_era{number});
    }));
}

TEST_CASE("steps and answers round-trip through encoding and decoding") {
    const auto index = index_of(9);
    run_request call;
    call.lease = lease_id{4};
    call.remaining = milliseconds{350};
    call.values = {{"zone", "north"}, {"empty", ""}};
    call.prepared = prepared_statement{access_kind::write, "q1"};
    call.steps = {backend_begin{true, index},
                  backend_rollback{},
                  backend_statement{statement_id{"a1"}, "READ x", index},
                  backend_execute{statement_id{"a2"}, "w_q1", "x data", std::nullopt},
                  backend_set{"n", "v"},
                  backend_prepare{"w_q1", access_kind::write, "q1"},
                  backend_reset{},
                  backend_status{},
                  backend_hold{term_number{5}},
                  backend_resume{},
                  backend_step_down{term_number{6}}};
    const auto received = std::get<run_request>(transmit(call));
    CHECK(received.lease == call.lease);
    CHECK(received.remaining == call.remaining);
    CHECK(received.values == call.values);
    CHECK(received.prepared == call.prepared);
    REQUIRE(received.steps.size() == call.steps.size());
    for (std::size_t i = 0; i < call.steps.size(); ++i) {
        CHECK(received.steps[i].index() == call.steps[i].index());
    }
    CHECK(std::get<backend_begin>(received.steps[0]).at_least == index);
    CHECK(std::get<backend_begin>(received.steps[0]).read_only);
    CHECK(std::get<backend_statement>(received.steps[2]).text == "READ x");
    CHECK(std::get<backend_execute>(received.steps[3]).arguments == "x data");
    CHECK_FALSE(std::get<backend_execute>(received.steps[3]).at_least);
    CHECK(std::get<backend_hold>(received.steps[8]).term == term_number{5});
    CHECK(std::get<backend_step_down>(received.steps[10]).term == term_number{6});

    statement_answer answer;
    answer.code = answer_code::lagging;
    answer.text = "3.1";
    answer.rows = {"row 1", ""};
    answer.phase = transaction_phase::failed;
    answer.position = index;
    const auto result = std::get<run_reply>(
        transmit(run_reply{lease_failure::broken_may_have_run, "reason", {answer}}));
    CHECK(result.failure == lease_failure::broken_may_have_run);
    REQUIRE(result.answers.size() == 1);
    CHECK(result.answers[0].code == answer.code);
    CHECK(result.answers[0].rows == answer.rows);
    CHECK(result.answers[0].phase == answer.phase);
    CHECK(result.answers[0].position == answer.position);
}

// Malformed bytes from a peer must not crash the process.
TEST_CASE("random bytes are decoded or rejected with an error") {
    CHECK(rc::check([](const std::vector<std::uint8_t>& bytes) {
        try {
            static_cast<void>(decode_lease_message(bytes));
        } catch (const error&) {
        }
    }));
}

// A statement that arrives after a network partition heals must not run, since its key may have
// been revoked in the meantime.
TEST_CASE("a message that was delayed in transit is late") {
    message_delay_estimator delays;
    const auto uptime = [](boot_time sent) {
        return std::chrono::duration_cast<milliseconds>(sent - start) + milliseconds{500};
    };
    CHECK(delays.is_late(sender, incarnation, uptime(start), start));
    delays.record_round_trip(sender, incarnation, uptime(start), start - milliseconds{4}, start);
    const auto now = start + seconds{20};
    CHECK_FALSE(delays.is_late(sender, incarnation, uptime(now - milliseconds{5}), now));
    CHECK(delays.is_late(sender, incarnation, uptime(now - seconds{3}), now));
    CHECK(delays.is_late(sender, incarnation_number{4}, uptime(now), now));
}

TEST_CASE("a slow round trip is not used as a measurement") {
    message_delay_estimator delays;
    delays.record_round_trip(sender, incarnation, milliseconds{500}, start,
                             start + message_delay_estimator::max_round_trip + milliseconds{1});
    CHECK_FALSE(delays.is_known(sender, incarnation));
}

// One damaged message from another host must not end the process.
TEST_CASE("damaged lease messages are decoded or rejected with masticgrade::error") {
    statement_answer answer;
    answer.rows = {"row"};
    answer.position = index_of(4);
    run_request steps;
    steps.values = std::map<std::string, std::string>{{"name", "value"}};
    steps.prepared = prepared_statement{access_kind::write, "shape"};
    steps.steps = {backend_begin{true, index_of(3)},
                   backend_statement{statement_id{"s"}, "text", {}}, backend_hold{term_number{2}}};
    const std::vector<lease_payload> messages{
        lease_request{},
        steps,
        run_reply{lease_failure::none, "", {answer}},
        row_reply{true, 7, milliseconds{1}, {{"key", fleet_version{2}, "value"}}},
        positions_reply{{{group_id{"g"}, {instance_id{"i"}, index_of(5), milliseconds{2}}}}},
        positions_query{{{group_id{"g"}, customer_id{"c"}}}},
        failover_begun{group_id{"g"}, 3}};
    CHECK(rc::check([&] {
        const auto index = *rc::gen::inRange<std::size_t>(0, messages.size());
        auto bytes = encode_lease_message({milliseconds{5}, messages[index]});
        const auto changes = *rc::gen::inRange(1, 6);
        for (int i = 0; i < changes; ++i) {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
                *rc::gen::arbitrary<std::uint8_t>();
        }
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        try {
            static_cast<void>(decode_lease_message(bytes));
        } catch (const error&) {
        }
    }));
}
