#include "held_logs.hpp"

#include <doctest/doctest.h>

using namespace masticgrade;

namespace {

constexpr milliseconds entry_lifetime{3600};
constexpr milliseconds read_interval{500};
const boot_time start{seconds{100}};

instance_entry entry_of(const char* name, std::int64_t start_time, std::int64_t sequence) {
    instance_entry entry;
    entry.id = instance_id{name};
    entry.address = endpoint_address{std::string{name} + ".example:1"};
    entry.start_time = start_time;
    entry.sequence = sequence;
    return entry;
}

const log_holder replica = log_holder_of(entry_of("b", 1, 0));

instance_status held_at(std::uint64_t number) {
    return {false, term_number{1}, {term_number{1}, log_position{number}}, term_number{2}};
}

void hold(held_logs& logs, const log_holder& holder, std::uint64_t number, boot_time answered_at) {
    logs.begin_round();
    logs.add(holder, held_at(number), answered_at);
    logs.end_round();
}

}  // namespace

// Guards against promotions that count the empty log of a process that is not in the directory yet
// as the log of the earlier process, which still is.
TEST_CASE("a held log is that of the listed process once that has written its entry") {
    held_logs logs;
    entry_history entries{entry_lifetime};
    CHECK_FALSE(logs.position_of(replica));
    CHECK_FALSE(logs.is_confirmed(replica, entries));

    entries.on_read({entry_of("b", 1, 5)}, start - milliseconds{1});
    hold(logs, replica, 7, start);
    CHECK(logs.position_of(replica) == held_at(7).received);
    entries.on_read({entry_of("b", 1, 6)}, start + read_interval);
    // The write may have been made before the hold.
    CHECK_FALSE(logs.is_confirmed(replica, entries));
    entries.on_read({entry_of("b", 1, 7)}, start + 2 * read_interval);
    // The write may have been sent before the hold and carried out late.
    CHECK_FALSE(logs.is_confirmed(replica, entries));
    hold(logs, replica, 7, start + 2 * read_interval);
    entries.on_read({entry_of("b", 1, 8)}, start + 3 * read_interval);
    CHECK(logs.is_confirmed(replica, entries));

    SUBCASE("a process with another log answers") {
        hold(logs, replica, 0, start + seconds{4});
        CHECK_FALSE(logs.is_confirmed(replica, entries));
    }
    SUBCASE("another process is listed") {
        const auto later = log_holder_of(entry_of("b", 2, 0));
        entries.on_read({entry_of("b", 2, 0)}, start + seconds{3});
        hold(logs, later, 7, start + seconds{4});
        CHECK_FALSE(logs.position_of(replica));
        CHECK_FALSE(logs.is_confirmed(later, entries));
    }
    SUBCASE("it is not held any more") {
        logs.begin_round();
        logs.end_round();
        CHECK_FALSE(logs.position_of(replica));
    }
}

// An entry outlives its process while the store is slow, was down, or has turned the next process
// away: the empty log of that one counted as the earlier one's after 4 s.
TEST_CASE("an entry that is not written any more confirms no log, however long it is listed") {
    held_logs logs;
    entry_history entries{entry_lifetime};
    entries.on_read({entry_of("b", 1, 5), entry_of("c", 1, 5)}, start - milliseconds{1});
    hold(logs, replica, 7, start);
    for (int read = 1; read < 100; ++read) {
        entries.on_read({entry_of("b", 1, 6), entry_of("c", 1, 5 + read)},
                        start + read * read_interval);
        REQUIRE_FALSE(logs.is_confirmed(replica, entries));
    }
}

// An entry of a copy from which the store was restored is not a write of its process.
TEST_CASE("an entry with an earlier sequence confirms no log") {
    held_logs logs;
    entry_history entries{entry_lifetime};
    entries.on_read({entry_of("b", 1, 9)}, start);
    hold(logs, replica, 7, start + milliseconds{1});
    for (int read = 1; read < 5; ++read) {
        entries.on_read({entry_of("b", 1, 4 + read)}, start + read * read_interval);
        CHECK_FALSE(logs.is_confirmed(replica, entries));
    }
}

// A process of unknown start time cannot be told from the next one of its instance.
TEST_CASE("writes without a start time confirm no log") {
    held_logs logs;
    entry_history entries{entry_lifetime};
    const auto unknown = log_holder_of(entry_of("b", 0, 0));
    entries.on_read({entry_of("b", 0, 1)}, start);
    hold(logs, unknown, 7, start + milliseconds{1});
    for (int read = 1; read < 5; ++read) {
        entries.on_read({entry_of("b", 0, 1 + read)}, start + read * read_interval);
        CHECK_FALSE(logs.is_confirmed(unknown, entries));
    }
}

// A store that shows changed entries only would otherwise keep each group waiting.
TEST_CASE("in a directory without writes of unchanged entries a listed process has not ended") {
    held_logs logs;
    entry_history entries{entry_lifetime};
    hold(logs, replica, 7, start);
    const auto read_until = [&](boot_time from, boot_time end) {
        for (auto at = from; at <= end; at += read_interval) {
            entries.on_read({entry_of("b", 1, 5)}, at);
        }
    };
    read_until(start, start + entry_lifetime - milliseconds{1});
    CHECK_FALSE(logs.is_confirmed(replica, entries));
    SUBCASE("in each read for a lifetime") {
        entries.on_read({entry_of("b", 1, 5)}, start + entry_lifetime);
        CHECK(logs.is_confirmed(replica, entries));
    }
    SUBCASE("a read fails") {
        entries.on_read_failed();
        entries.on_read({entry_of("b", 1, 5)}, start + entry_lifetime);
        CHECK_FALSE(logs.is_confirmed(replica, entries));
    }
    SUBCASE("no read is sent for a lifetime") {
        entries.on_read({entry_of("b", 1, 5)}, start + 2 * entry_lifetime);
        CHECK_FALSE(logs.is_confirmed(replica, entries));
    }
    // The group's list keeps an entry for some time after the store has removed it.
    SUBCASE("the store has removed the entry") {
        entries.on_read({}, start + entry_lifetime);
        CHECK_FALSE(logs.is_confirmed(replica, entries));
    }
}
