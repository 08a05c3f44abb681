#include "masticgrade/gateway/answer_matcher.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <string>
#include <vector>

using namespace masticgrade;

namespace {

constexpr std::uint64_t first_position = 10;

log_index at(std::uint64_t number) { return {term_number{1}, log_position{number}}; }

statement_answer success(std::string signature, transaction_phase phase,
                         std::uint64_t position = first_position) {
    statement_answer answer;
    answer.text = std::move(signature);
    answer.phase = phase;
    answer.position = at(position);
    return answer;
}

statement_answer error(answer_code code, transaction_phase phase,
                       std::uint64_t position = first_position) {
    auto answer = success("i-1", phase, position);
    answer.code = code;
    return answer;
}

statement_answer status(std::uint64_t position = first_position) {
    auto answer = success("-", transaction_phase::none, position);
    answer.rows.emplace_back("replica 1 1.10 0 0 0 1");
    return answer;
}

constexpr auto idle = transaction_phase::none;
constexpr auto open = transaction_phase::open;

/// A number below `end`; any of them from the first schedule on.
std::size_t pick(std::size_t end) {
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(0, end));
}

/// An answer on its way, with the number of the request that it belongs to.
struct sent_answer {
    std::size_t request = 0;
    statement_answer answer;
};

/// An instance that answers each request and sends some answers again at any later time.
class stuttering_instance {
public:
    /// Answers the request, after and before repeated answers.
    void serve(request_kind kind) {
        ++requests_;
        repeat_some();
        sent_answer own{requests_, answer_to(kind)};
        earlier_.push_back(own);
        stream.push_back(std::move(own));
        repeat_some();
    }

    void reset_connection() {
        stream.clear();
        earlier_.clear();
        is_open_ = false;
    }

    [[nodiscard]] std::size_t last_request() const { return requests_; }

    std::deque<sent_answer> stream;

private:
    void repeat_some() {
        for (auto count = earlier_.empty() ? 0 : pick(3); count > 0; --count) {
            stream.push_back(earlier_.at(pick(earlier_.size())));
        }
    }

    statement_answer answer_to(request_kind kind) {
        position_ += pick(2);
        const bool fails = pick(5) == 0;
        const bool is_data = kind == request_kind::statement || kind == request_kind::commit;
        if (fails && kind != request_kind::order) {
            const auto code = *rc::gen::element(answer_code::busy, answer_code::failed);
            return error(code, is_open_ ? transaction_phase::failed : idle, position_);
        }
        if (kind == request_kind::order) {
            return status(position_);
        }
        if (kind == request_kind::begin) {
            is_open_ = true;
        } else if (kind == request_kind::commit || kind == request_kind::rollback) {
            is_open_ = false;
        }
        position_ += is_data && !is_open_ ? 1 : 0;
        return success(is_data ? "signature " + std::to_string(requests_) : "-",
                       is_open_ ? open : idle, position_);
    }

    std::vector<sent_answer> earlier_;
    std::uint64_t position_ = first_position;
    std::size_t requests_ = 0;
    bool is_open_ = false;
};

}  // namespace

// A caller got the answer to the statement that ran before its own on the connection.
TEST_CASE("a signature that was received before is not taken for the next answer") {
    answer_matcher matcher;
    const auto first = success("a", idle);
    REQUIRE(matcher.match({request_kind::statement}, first) == answer_match::belongs);
    CHECK(matcher.is_reusable());
    CHECK(matcher.match({request_kind::statement}, first) == answer_match::repeats_earlier);
    CHECK(matcher.match({request_kind::statement}, success("b", idle)) == answer_match::belongs);
    CHECK_FALSE(matcher.is_reusable());
}

// The answer to a write was read as that to BEGIN, so the connection returned to the pool with an
// open transaction.
TEST_CASE("a transaction counts as begun only after an answer that shows it open") {
    answer_matcher matcher;
    const auto write = success("a", idle);
    REQUIRE(matcher.match({request_kind::statement}, write) == answer_match::belongs);
    CHECK(matcher.match({request_kind::begin}, write) == answer_match::repeats_earlier);
    CHECK(matcher.match({request_kind::begin}, success("-", idle)) ==
          answer_match::repeats_earlier);
    CHECK(matcher.match({request_kind::begin}, success("-", open)) == answer_match::belongs);
}

// A commit was acknowledged by the repeated answer to the last write before it, and was lost.
TEST_CASE("a commit is not acknowledged by an earlier answer") {
    answer_matcher matcher;
    REQUIRE(matcher.match({request_kind::begin}, success("-", open)) == answer_match::belongs);
    const auto write = success("a", open);
    REQUIRE(matcher.match({request_kind::statement}, write) == answer_match::belongs);
    CHECK(matcher.match({request_kind::commit}, write) == answer_match::repeats_earlier);
    CHECK(matcher.match({request_kind::commit}, success("-", open)) ==
          answer_match::repeats_earlier);
    CHECK(matcher.match({request_kind::commit}, success("b", open)) == answer_match::ambiguous);
}

// A refusal promises that the statement has not run.
TEST_CASE("an error that was received before at this position is not believed again") {
    answer_matcher matcher;
    const auto busy = error(answer_code::busy, idle);
    REQUIRE(matcher.match({request_kind::statement}, busy) == answer_match::belongs);
    CHECK(matcher.match({request_kind::statement}, busy) == answer_match::ambiguous);
    const auto later = error(answer_code::busy, idle, first_position + 1);
    CHECK(matcher.match({request_kind::statement}, later) == answer_match::belongs);
}

// Reads were served by replicas without commits that had been acknowledged for longer than allowed:
// the position to wait for came from the answer to an earlier BEGIN.
TEST_CASE("a begin proves the position of the log only if its answer is new") {
    answer_matcher matcher;
    const auto begun = success("-", open);
    REQUIRE(matcher.match({request_kind::begin}, begun) == answer_match::belongs);
    CHECK(matcher.is_confirmed());
    REQUIRE(matcher.match({request_kind::rollback}, success("-", idle)) == answer_match::belongs);
    REQUIRE(matcher.match({request_kind::begin}, begun) == answer_match::belongs);
    CHECK_FALSE(matcher.is_confirmed());
    REQUIRE(matcher.match({request_kind::statement}, success("a", open)) == answer_match::belongs);
    CHECK(matcher.is_confirmed());
}

// Each read that an idle replica refused a second time looked like a fault of the instance.
TEST_CASE("a lagging instance may refuse reads at the same position again") {
    answer_matcher matcher;
    const auto lagging = error(answer_code::lagging, idle);
    REQUIRE(matcher.match({request_kind::statement, at(first_position + 1)}, lagging) ==
            answer_match::belongs);
    CHECK(matcher.is_reusable());
    CHECK(matcher.match({request_kind::statement, at(first_position + 1)}, lagging) ==
          answer_match::belongs);
    CHECK_FALSE(matcher.is_reusable());
    CHECK(matcher.match({request_kind::statement}, lagging) == answer_match::ambiguous);
}

// The error of a SET whose answer was taken from an earlier SET arrived as that of the write.
TEST_CASE("an error is not believed while the answer to an earlier request may be still to come") {
    answer_matcher matcher;
    const auto set = success("-", idle);
    REQUIRE(matcher.match({request_kind::context}, set) == answer_match::belongs);
    const auto refused = error(answer_code::busy, idle);
    SUBCASE("a repeated success was accepted") {
        REQUIRE(matcher.match({request_kind::context}, set) == answer_match::belongs);
        CHECK(matcher.match({request_kind::statement}, refused) == answer_match::ambiguous);
    }
    SUBCASE("a signature came after it") {
        REQUIRE(matcher.match({request_kind::context}, set) == answer_match::belongs);
        REQUIRE(matcher.match({request_kind::statement}, success("a", idle)) ==
                answer_match::belongs);
        CHECK(matcher.match({request_kind::statement}, refused) == answer_match::belongs);
    }
    SUBCASE("the position shows that the success is new") {
        REQUIRE(matcher.match({request_kind::context}, success("-", idle, first_position + 1)) ==
                answer_match::belongs);
        CHECK(matcher.match({request_kind::statement}, refused) == answer_match::belongs);
    }
}

// BEGIN was refused after its answer had been taken from an earlier BEGIN. The refusal was taken
// for that of the first statement, whose own answer then reached the next operation.
TEST_CASE("a connection is not used again if the answer to a refused statement may still come") {
    answer_matcher matcher;
    const auto begun = success("-", open);
    REQUIRE(matcher.match({request_kind::begin}, begun) == answer_match::belongs);
    REQUIRE(matcher.match({request_kind::statement}, success("a", open)) == answer_match::belongs);
    REQUIRE(matcher.match({request_kind::commit}, success("b", idle)) == answer_match::belongs);
    REQUIRE(matcher.match({request_kind::begin}, begun) == answer_match::belongs);
    SUBCASE("the replica lags") {
        matcher.match({request_kind::statement}, error(answer_code::lagging, idle));
    }
    SUBCASE("the instance is no primary") {
        matcher.match({request_kind::statement}, error(answer_code::read_only, idle));
    }
    CHECK_FALSE(matcher.is_reusable());
}

// A failover was decided by the position that an instance had reported to an earlier order.
TEST_CASE("a connection answers one order") {
    answer_matcher matcher;
    REQUIRE(matcher.match({request_kind::statement}, success("a", idle)) == answer_match::belongs);
    CHECK(matcher.match({request_kind::order}, success("a", idle)) ==
          answer_match::repeats_earlier);
    CHECK(matcher.match({request_kind::order}, success("-", idle)) ==
          answer_match::repeats_earlier);
    CHECK(matcher.match({request_kind::order}, status()) == answer_match::belongs);
    CHECK_FALSE(matcher.is_reusable());
    CHECK(matcher.match({request_kind::order}, status()) == answer_match::ambiguous);
}

TEST_CASE("an answer at an earlier position of the log is not believed") {
    answer_matcher matcher;
    REQUIRE(matcher.match({request_kind::statement}, success("a", idle, first_position + 1)) ==
            answer_match::belongs);
    CHECK(matcher.match({request_kind::begin}, success("-", open)) == answer_match::ambiguous);
}

TEST_CASE("a statement that ran outside its transaction is not acknowledged") {
    answer_matcher matcher;
    REQUIRE(matcher.match({request_kind::begin}, success("-", open)) == answer_match::belongs);
    CHECK(matcher.match({request_kind::statement}, success("a", idle)) == answer_match::ambiguous);
}

// Requests of operations in random order, with answers repeated before, between and after those of
// later requests, failures of any request, and commits on other connections: callers get the
// answers to their own statements, and positions that are believed belong to the last request.
TEST_CASE("no statement gets the answer to another request") {
    CHECK(rc::check([] {
        stuttering_instance instance;
        answer_matcher matcher;
        bool in_transaction = false;
        const auto steps = pick(40);
        for (std::size_t i = 0; i < steps; ++i) {
            using enum request_kind;
            const auto kind = in_transaction ? *rc::gen::element(statement, commit, rollback)
                                             : *rc::gen::element(begin, statement, context, order);
            instance.serve(kind);
            auto result = answer_match::repeats_earlier;
            bool failed = false;
            while (result == answer_match::repeats_earlier && !instance.stream.empty()) {
                const auto next = instance.stream.front();
                instance.stream.pop_front();
                result = matcher.match({kind}, next.answer);
                failed = next.answer.code != answer_code::done;
                const bool is_data = kind == statement || kind == commit || kind == order;
                const bool is_certain = is_data || (!failed && matcher.is_confirmed());
                if (result == answer_match::belongs && is_certain) {
                    RC_ASSERT(next.request == instance.last_request());
                }
            }
            in_transaction = kind == begin || (in_transaction && kind == statement);
            const bool unusable = !in_transaction && !matcher.is_reusable();
            if (result != answer_match::belongs || failed || unusable) {
                instance.reset_connection();
                matcher = {};
                in_transaction = false;
            }
        }
    }));
}
