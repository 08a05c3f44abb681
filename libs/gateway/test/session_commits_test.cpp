#include "session_commits.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>

using namespace masticgrade;

namespace {

const group_id ledger{"ledger"};
const group_id archive{"archive"};

log_index at(std::uint64_t number, std::uint64_t term = 1) {
    return {term_number{term}, log_position{number}};
}

boot_time after(std::uint64_t ms) { return boot_time{milliseconds{ms}}; }

}  // namespace

// Guards against a session that misses its own commit after its route has moved to another group
// and back, since a position of one log was compared with another log.
TEST_CASE("a commit on one group changes nothing on another") {
    session_commits commits;
    commits.on_acknowledged(ledger, at(18), after(1));
    commits.on_acknowledged(archive, at(3), after(2));
    CHECK(commits.position_on(ledger) == at(18));
    CHECK(commits.position_on(archive) == at(3));
    CHECK_FALSE(commits.moment_on(ledger));

    // A later term on one group says nothing about the other's log.
    commits.on_seen(archive, at(4, 7));
    CHECK(commits.position_on(ledger) == at(18));
    CHECK(commits.position_on(archive) == at(4, 7));
    // Within a term, the log of another instance may end before the commit.
    commits.on_seen(ledger, at(17));
    CHECK(commits.position_on(ledger) == at(18));
}

// Guards against reads without a commit whose answer did not tell its position.
TEST_CASE("a commit without a position is seen by its time") {
    session_commits commits;
    commits.on_acknowledged(ledger, at(18), after(1));
    commits.on_acknowledged(ledger, std::nullopt, after(5));
    CHECK(commits.moment_on(ledger) == after(5));
    CHECK(commits.position_on(ledger) == at(18));
    commits.on_acknowledged(ledger, at(20), after(6));
    CHECK_FALSE(commits.moment_on(ledger));
}

// Guards against sessions that grow with each move of their route, and against moves that make a
// session forget what it has to see.
TEST_CASE("a session keeps a bounded number of positions and misses no commit") {
    CHECK(rc::check([](const std::vector<std::uint8_t>& written) {
        session_commits commits;
        std::map<std::string, std::uint64_t> last;
        std::uint64_t now = 0;
        for (const auto index : written) {
            const auto name = "group-" + std::to_string(index % 24);
            last[name] = ++now;
            commits.on_acknowledged(group_id{name}, at(now), after(now));
        }
        std::size_t kept = 0;
        for (const auto& [name, number] : last) {
            const auto position = commits.position_on(group_id{name});
            const auto moment = commits.moment_on(group_id{name});
            kept += position ? 1 : 0;
            RC_ASSERT((position && *position >= at(number)) ||
                      (moment && *moment >= after(number)));
        }
        RC_ASSERT(kept <= session_commits::max_groups);
    }));
}
