#include "masticgrade/gateway/position_proofs.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace masticgrade;

namespace {

constexpr boot_time start = boot_time{} + seconds(100);

log_index at(std::uint64_t number) { return {term_number{1}, log_position{number}}; }

}  // namespace

// Guards against bounded reads below a commit that was acknowledged before their bound.
TEST_CASE("a moment is covered by the first proof asked for at or after it") {
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

// Guards against proofs that are merged or dropped such that a position is too low.
TEST_CASE("the position covers everything acknowledged before the moment") {
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
