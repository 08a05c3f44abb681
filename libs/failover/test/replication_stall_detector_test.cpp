#include "masticgrade/failover/replication_stall_detector.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace masticgrade;

namespace {

class observed_group {
public:
    observed_group() {
        detector_.on_group({instance_id{"a"}, instance_id{"b"}, instance_id{"c"}}, instance_id{"a"},
                           term_number{2});
    }
    void receive_response(const std::string& id, std::uint64_t received, std::uint64_t term = 2) {
        detector_.on_progress(
            {instance_id{id}, term_number{term}, log_position{received}, {}, now_}, now_);
    }
    void advance(milliseconds step) { now_ += step; }
    [[nodiscard]] bool stalled() const { return detector_.stalled(now_); }
    [[nodiscard]] bool replicas_lagging() const { return detector_.replicas_lagging(); }

private:
    replication_stall_detector detector_;
    time_point now_{seconds{100}};
};

}  // namespace

// Guards against a primary that is not replaced because it still responds, although none of its
// writes can be acknowledged.
TEST_CASE("replication is stalled when replicas receive nothing while the primary writes") {
    observed_group group;
    for (int i = 0; i < 10; ++i) {
        group.receive_response("a", 10 + i);
        group.receive_response("b", 10);
        group.receive_response("c", 10);
        group.advance(milliseconds{200});
    }
    CHECK(group.stalled());
}

// Guards against a promotion that is caused by slow but working replicas.
TEST_CASE("replication is not stalled while lagging replicas receive entries") {
    observed_group group;
    for (int i = 0; i < 30; ++i) {
        group.receive_response("a", 1000 + i);
        group.receive_response("b", 10 + i);
        group.receive_response("c", 5);
        group.advance(milliseconds{200});
        CHECK_FALSE(group.stalled());
    }
    CHECK(group.replicas_lagging());
}

// Guards against a partitioned monitor that suspects the primary.
TEST_CASE("replication is not stalled when the replicas do not respond") {
    observed_group group;
    group.receive_response("b", 10);
    group.receive_response("c", 10);
    for (int i = 0; i < 20; ++i) {
        group.receive_response("a", 11 + i);
        group.receive_response("b", 10);
        group.advance(milliseconds{200});
    }
    CHECK_FALSE(group.stalled());
}

TEST_CASE("responses of other terms are ignored") {
    observed_group group;
    for (int i = 0; i < 10; ++i) {
        group.receive_response("a", 10 + i);
        group.receive_response("b", 10, 3);
        group.receive_response("c", 10, 1);
        group.advance(milliseconds{200});
    }
    CHECK_FALSE(group.stalled());
}
