#include "masticgrade/gateway/position_proofs.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace masticgrade;

namespace {

constexpr boot_time start = boot_time{} + seconds(100);

log_index at(std::uint64_t number) { return {term_number{1}, log_position{number}}; }

}  // namespace

// Bounded reads must see every commit acknowledged before their staleness bound.
TEST_CASE("a time is covered by the first proof requested at or after it") {
    position_proofs proofs;
    CHECK_FALSE(proofs.covering(start));
    proofs.add(start, at(5));
    proofs.add(start + milliseconds{100}, at(8));
    proofs.add(start + milliseconds{200}, at(9));
    CHECK(proofs.covering(start) == at(5));
    CHECK(proofs.covering(start + milliseconds{1}) == at(8));
    CHECK(proofs.covering(start + milliseconds{200}) == at(9));
    CHECK_FALSE(proofs.covering(start + milliseconds{201}));
    CHECK(proofs.newest() == start + milliseconds{200});
}

// Merging or discarding proofs must not yield a position that is too low.
TEST_CASE("the position covers every commit acknowledged before the given time") {
    CHECK(rc::check([](const std::vector<std::uint8_t>& gaps) {
        position_proofs proofs;
        auto now = start;
        std::uint64_t number = 0;
        std::vector<std::pair<boot_time, std::uint64_t>> history;
        for (const auto gap : gaps) {
            now += milliseconds{gap};
            number += gap % 3;
            history.emplace_back(now, number);
            proofs.add(now, at(number));
        }
        for (const auto& [moment, acknowledged] : history) {
            const auto position = proofs.covering(moment);
            if (position) {
                RC_ASSERT(position->number.value() >= acknowledged);
            }
        }
        if (!history.empty()) {
            RC_ASSERT(proofs.covering(history.back().first).has_value());
        }
    }));
}
