#include "held_logs.hpp"

#include <doctest/doctest.h>

using namespace masticgrade;

namespace {

const log_holder replica{instance_id{"b"}, endpoint_address{"b.example:1"}, 1};
constexpr milliseconds entry_lifetime{3600};

instance_status held_at(std::uint64_t number) {
    return {false, term_number{1}, {term_number{1}, log_position{number}}, term_number{2}};
}

void hold(held_logs& logs, const log_holder& holder, std::uint64_t number, time_point asked_at) {
    logs.begin_round();
    logs.add(holder, held_at(number), asked_at);
    logs.end_round();
}

}  // namespace

// Guards against promotions that count the empty log of a process that is not in the directory yet
// as the log of the earlier process, which still is.
TEST_CASE("a held log is that of the listed process once the entry of another would have ended") {
    const time_point start{seconds{100}};
    held_logs logs{entry_lifetime};
    CHECK_FALSE(logs.position_of(replica));
    CHECK_FALSE(logs.is_confirmed(replica, start + seconds{60}));

    hold(logs, replica, 7, start);
    CHECK(logs.position_of(replica) == held_at(7).received);
    CHECK_FALSE(logs.is_confirmed(replica, start + entry_lifetime - milliseconds{1}));
    hold(logs, replica, 7, start + seconds{2});
    CHECK(logs.is_confirmed(replica, start + entry_lifetime));

    SUBCASE("a process with another log answers") {
        hold(logs, replica, 0, start + seconds{4});
        CHECK_FALSE(logs.is_confirmed(replica, start + seconds{5}));
        CHECK(logs.is_confirmed(replica, start + seconds{4} + entry_lifetime));
    }
    SUBCASE("another process is listed") {
        auto later = replica;
        later.start_time = 2;
        hold(logs, later, 7, start + seconds{4});
        CHECK_FALSE(logs.position_of(replica));
        CHECK_FALSE(logs.is_confirmed(later, start + seconds{5}));
    }
    SUBCASE("it is not held any more") {
        logs.begin_round();
        logs.end_round();
        CHECK_FALSE(logs.position_of(replica));
    }
}
