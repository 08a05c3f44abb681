#include "masticgrade/failover/replication_stall_detector.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace masticgrade;

namespace {

class watched_group {
public:
    watched_group() {
        watch_.on_group({instance_id{"a"}, instance_id{"b"}, instance_id{"c"}}, instance_id{"a"},
                        term_number{2});
    }
    void answer(const std::string& id, std::uint64_t received, std::uint64_t term = 2) {
        watch_.on_progress({instance_id{id}, term_number{term}, log_position{received}, {}, now_},
                           now_);
    }
    void advance(milliseconds step) { now_ += step; }
    [[nodiscard]] bool stalled() const { return watch_.stalled(now_); }
    [[nodiscard]] bool replicas_lagging() const { return watch_.replicas_lagging(); }

private:
    replication_stall_detector watch_;
    time_point now_{seconds{100}};
};

}  // namespace

// Guards against a primary that nobody replaces because it still answers, while no write of it can
// be acknowledged.
TEST_CASE("replicas that receive nothing while the primary writes show a stall") {
    watched_group group;
    for (int i = 0; i < 10; ++i) {
        group.answer("a", 10 + i);
        group.answer("b", 10);
        group.answer("c", 10);
        group.advance(milliseconds{200});
    }
    CHECK(group.stalled());
}

// Guards against a promotion because of replicas that are slow but work.
TEST_CASE("replicas that are behind but go on receiving show no stall") {
    watched_group group;
    for (int i = 0; i < 30; ++i) {
        group.answer("a", 1000 + i);
        group.answer("b", 10 + i);
        group.answer("c", 5);
        group.advance(milliseconds{200});
        CHECK_FALSE(group.stalled());
    }
    CHECK(group.replicas_lagging());
}

// Guards against a monitor that is cut off itself and accuses the primary.
TEST_CASE("replicas that do not answer show no stall") {
    watched_group group;
    group.answer("b", 10);
    group.answer("c", 10);
    for (int i = 0; i < 20; ++i) {
        group.answer("a", 11 + i);
        group.answer("b", 10);
        group.advance(milliseconds{200});
    }
    CHECK_FALSE(group.stalled());
}

TEST_CASE("answers of another term are no evidence") {
    watched_group group;
    for (int i = 0; i < 10; ++i) {
        group.answer("a", 10 + i);
        group.answer("b", 10, 3);
        group.answer("c", 10, 1);
        group.advance(milliseconds{200});
    }
    CHECK_FALSE(group.stalled());
}
