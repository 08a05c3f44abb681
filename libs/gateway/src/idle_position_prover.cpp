#include "idle_position_prover.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "masticgrade/base/event_log.hpp"
#include "masticgrade/gateway/promotion_choice.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// Each check of a group without a recent proof ranks all live hosts, which costs a large fleet
/// more than the requests.
constexpr seconds check_interval{5};
/// The live hosts that read the position of a group, those with the lowest ranks.
constexpr std::size_t proving_hosts = 3;

}  // namespace

idle_position_prover::idle_position_prover(std::shared_ptr<backend_group> group,
                                           environment services)
    : group_(std::move(group)),
      environment_(std::move(services)),
      orders_(group_, environment_.connector) {}

asio::awaitable<void> idle_position_prover::run() {
    for (;;) {
        asio::steady_timer timer{environment_.executor, check_interval};
        co_await timer.async_wait(asio::use_awaitable);
        co_await check();
    }
}

bool idle_position_prover::is_due() const {
    const auto now = boot_clock::now();
    const auto primary = group_->primary();
    if (!primary || !group_->is_listed(*primary) || !group_->may_lead(*primary, now) ||
        group_->primary_is_dead(steady_clock::now())) {
        return false;
    }
    const auto newest = group_->newest_proven_position();
    if (newest && now - newest->moment <= max_proof_age) {
        return false;
    }
    return failover_rank(group_->name(), environment_.self, environment_.live_hosts()) <
           proving_hosts;
}

asio::awaitable<void> idle_position_prover::check() {
    if (!is_due()) {
        co_return;
    }
    const auto primary = *group_->primary();
    const auto sent_at = boot_clock::now();
    const auto seen_before = group_->highest_position(primary);
    const backend_request status_request = backend_status{};
    const auto status = co_await orders_.send(primary, status_request);
    if (!status || !status->is_primary || status->term < group_->newest_term()) {
        event_line{"idle_position_unknown"}
            .field("group", group_->name())
            .field("instance", primary)
            .field("answered", status.has_value())
            .write();
        co_return;
    }
    group_->on_status(primary, *status, seen_before);
    if (!group_->has_lost_log(primary) && !group_->primary_is_unconfirmed()) {
        group_->add_proof(primary, sent_at, status->received);
    }
}

}  // namespace masticgrade
