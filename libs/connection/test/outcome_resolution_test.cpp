#include "masticgrade/connection/outcome_resolution.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <random>

#include "masticgrade/base/invariant.hpp"

using namespace masticgrade;

namespace {

enum class record { execution, cancellation };

/// Models the database for one idempotency key: the log of the current primary. A prefix of it is
/// stored by a majority and always survives a change of the primary.
struct key_model {
    explicit key_model(std::uint64_t seed) : random(seed) {}

    bool chance(double probability) {
        return std::uniform_real_distribution<>{}(random) < probability;
    }

    void change_primary() {
        term = term.next();
        // An entry that no majority has stored may survive or be lost.
        log.resize(std::uniform_int_distribution<std::size_t>{confirmed, log.size()}(random));
        start = log.size() + 1;
        log.push_back(std::nullopt);
    }

    /// Receives the statement that the caller sent at `sent_term`, possibly late and more than
    /// once.
    void execute(term_number sent_term) {
        if (sent_term == term && position_of_key() == 0) {
            log.emplace_back(record::execution);
        }
    }

    cancel_answer cancel(term_number sent_term) {
        if (sent_term != term) {
            return {sent_term, cancel_status::not_primary, {}, ""};
        }
        if (position_of_key() == 0) {
            log.emplace_back(record::cancellation);
        }
        const auto position = position_of_key();
        const bool ran = log[position - 1] == record::execution;
        return {sent_term, ran ? cancel_status::found : cancel_status::cancelled,
                log_position{position}, ran ? "result" : ""};
    }

    bool confirm(term_number sent_term, log_position position) {
        if (sent_term != term || chance(0.3)) {
            return false;
        }
        confirmed = std::max({confirmed, static_cast<std::size_t>(position.value()), start});
        return true;
    }

    std::size_t position_of_key() const {
        const auto found = std::find_if(log.begin(), log.end(),
                                        [](const auto& entry) { return entry.has_value(); });
        return found == log.end() ? 0 : static_cast<std::size_t>(found - log.begin()) + 1;
    }

    std::mt19937_64 random;
    term_number term{1};
    std::vector<std::optional<record>> log{std::nullopt};
    std::size_t confirmed = 1;
    std::size_t start = 1;
};

struct resolution_result {
    resolved_outcome outcome = resolved_outcome::outcome_unknown;
    bool executed = false;
    bool in_time = true;
};

/// Resolves one statement whose answer was lost, with lost, late and duplicated messages and
/// changes of the primary. Continues after the resolution has finished.
resolution_result run_resolution(std::uint64_t seed) {
    key_model database{seed};
    time_point now{seconds{100}};
    const auto deadline = now + seconds{3};
    outcome_resolution resolution{deadline};
    resolution_result result;
    const auto sent_term = database.term;
    if (database.chance(0.5)) {
        database.execute(sent_term);
    }
    std::vector<cancel_answer> answers;
    std::vector<confirm_cancel> confirms;
    const auto perform = [&](const resolution_actions& actions) {
        for (const auto& action : actions) {
            if (const auto* cancel = std::get_if<send_cancel>(&action)) {
                if (!database.chance(0.2)) {
                    answers.push_back(database.cancel(cancel->term));
                }
            } else if (const auto* confirm = std::get_if<confirm_cancel>(&action)) {
                confirms.push_back(*confirm);
            } else {
                result.outcome = std::get<resolution_finished>(action).outcome;
                result.in_time = now <= deadline + milliseconds{10};
            }
        }
    };
    perform(resolution.on_primary(instance_id{"i"}, database.term, now));
    for (; now < deadline + seconds{1}; now += milliseconds{10}) {
        if (database.chance(0.01)) {
            database.change_primary();
        }
        if (database.chance(0.02)) {
            perform(resolution.on_primary(instance_id{"i"}, database.term, now));
        }
        if (database.chance(0.02)) {
            database.execute(sent_term);
        }
        if (!answers.empty() && database.chance(0.3)) {
            const auto at =
                std::uniform_int_distribution<std::size_t>{0, answers.size() - 1}(database.random);
            // Keeps the answer, so that it can arrive again later.
            perform(resolution.on_cancel(answers[at], now));
        }
        if (!confirms.empty() && database.chance(0.5)) {
            const auto confirm = confirms.back();
            confirms.pop_back();
            const bool acknowledged = database.confirm(confirm.term, confirm.position);
            perform(resolution.on_confirmed(confirm.term, confirm.position, acknowledged, now));
        }
        perform(resolution.on_timer(now));
    }
    const auto position = database.position_of_key();
    result.executed = position != 0 && database.log[position - 1] == record::execution;
    return result;
}

}  // namespace

// Guards against reporting "not run" for a statement that runs later and "done" for a lost one.
TEST_CASE("a resolved outcome remains correct whatever arrives later") {
    int done = 0;
    int not_run = 0;
    const auto before = invariant_violations();
    const bool holds = rc::check("a resolved outcome remains correct", [&] {
        for (int i = 0; i < 20; ++i) {
            const auto result = run_resolution(*rc::gen::arbitrary<std::uint64_t>());
            RC_ASSERT(result.in_time);
            if (result.outcome == resolved_outcome::done) {
                ++done;
                RC_ASSERT(result.executed);
            } else if (result.outcome == resolved_outcome::not_run) {
                ++not_run;
                RC_ASSERT(!result.executed);
            }
        }
    });
    CHECK(holds);
    CHECK(invariant_violations() == before);
    // A resolution that always reports outcome unknown would satisfy the property trivially.
    CHECK(done > 200);
    CHECK(not_run > 200);
}

// Guards against callers that wait beyond their deadline while there is no primary.
TEST_CASE("without a primary the outcome is unknown at the deadline") {
    const time_point begin{seconds{100}};
    outcome_resolution resolution{begin + seconds{1}};
    CHECK(resolution.on_sealing(term_number{2}, begin).empty());
    CHECK(resolution.next_wakeup() == begin + seconds{1});
    const auto actions = resolution.on_timer(begin + seconds{1});
    REQUIRE(actions.size() == 1);
    CHECK(std::get<resolution_finished>(actions.front()).outcome ==
          resolved_outcome::outcome_unknown);
    CHECK(resolution.on_primary(instance_id{"i"}, term_number{2}, begin + seconds{1}).empty());
}
