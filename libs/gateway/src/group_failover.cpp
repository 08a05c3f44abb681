#include "group_failover.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <random>
#include <utility>

#include "masticgrade/base/event_log.hpp"
#include "masticgrade/base/scope_guard.hpp"

namespace masticgrade {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr milliseconds check_interval{100};
constexpr milliseconds request_timeout{500};
/// Shorter, since a dead primary has already been silent for longer than this.
constexpr milliseconds dead_primary_request_timeout{150};
constexpr milliseconds store_timeout{800};
constexpr milliseconds promote_call_timeout{1500};
/// A lock whose row has not changed for this long has lost its holder. Longer than a promotion in
/// which one answer is lost.
constexpr seconds lock_expiry{5};
/// Time in which all replicas must be held.
constexpr seconds hold_timeout{3};
/// Time from a promotion call until the target is the primary; instances take up to 1 s.
constexpr seconds new_primary_timeout{3};
/// Prevents that one failure causes a series of promotions.
constexpr seconds delay_after_promotion{3};
constexpr milliseconds delay_after_failure{400};
/// Calls with an unknown outcome are repeated for this long. The platform may carry out a call up
/// to 12 s late.
constexpr seconds promote_timeout{15};

std::string random_nonce() {
    std::random_device source;
    return std::to_string((std::uint64_t{source()} << 32U) | source());
}

}  // namespace

group_failover::group_failover(std::shared_ptr<backend_group> group,
                               failover_environment environment)
    : group_(std::move(group)), environment_(std::move(environment)) {}

std::string group_failover::lock_key() const { return "failover/" + group_->name().str(); }

std::string group_failover::encode(std::uint64_t fence, const instance_id& target,
                                   bool open) const {
    return json::serialize(json::object{{"fence", fence},
                                        {"holder", environment_.self.str()},
                                        {"target", target.str()},
                                        {"open", open},
                                        {"mark", random_nonce()}});
}

asio::awaitable<void> group_failover::sleep(duration length) {
    asio::steady_timer timer{environment_.executor, length};
    co_await timer.async_wait(asio::use_awaitable);
}

group_failover::failover_kind group_failover::required_failover(time_point now) const {
    if (group_->entries().size() < 2) {
        return failover_kind::none;
    }
    if (group_->primary_is_dead(now)) {
        return failover_kind::unplanned;
    }
    const auto primary = group_->primary();
    return primary && group_->is_draining(*primary) ? failover_kind::planned : failover_kind::none;
}

asio::awaitable<void> group_failover::run() {
    const auto self = shared_from_this();
    while (!stopping_) {
        co_await sleep(check_interval);
        const auto now = steady_clock::now();
        const auto kind = required_failover(now);
        if (kind == failover_kind::none) {
            required_since_.reset();
            continue;
        }
        if (!required_since_) {
            required_since_ = now;
        }
        const auto rank =
            failover_rank(group_->name(), environment_.self, environment_.live_hosts());
        if (now < retry_after_ || now - *required_since_ < takeover_delay(rank)) {
            continue;
        }
        promoting_ = true;
        const scope_guard done{[&] { promoting_ = false; }};
        try {
            co_await run_failover(kind);
        } catch (const error& failure) {
            retry_after_ = steady_clock::now() + delay_after_failure;
            event_line{"failover_failed"}
                .field("group", group_->name())
                .field("reason", failure.what())
                .write();
        }
    }
}

asio::awaitable<void> group_failover::run_failover(failover_kind kind) {
    retry_after_ = steady_clock::now() + delay_after_failure;
    const auto replaced = group_->primary();
    const bool has_primary = co_await find_primary();
    if (has_primary && kind == failover_kind::unplanned) {
        co_return;
    }
    if (!co_await acquire_lock()) {
        co_return;
    }
    // Another host may have finished a promotion in the meantime.
    if (group_->primary() != replaced ||
        required_failover(steady_clock::now()) == failover_kind::none) {
        co_await release_lock({});
        co_return;
    }
    event_line{"failover_started"}
        .field("group", group_->name())
        .field("planned", kind == failover_kind::planned)
        .field("primary", group_->primary() ? group_->primary()->str() : std::string{"none"})
        .field("term", group_->newest_term())
        .field("fence", lock_.fence)
        .write();
    const auto choice = co_await prepare_target(kind);
    if (!choice) {
        co_await release_replicas();
        co_await release_lock({});
        co_return;
    }
    const bool promoted = co_await promote(*choice);
    event_line{"failover_ended"}
        .field("group", group_->name())
        .field("target", choice->target)
        .field("position", choice->position)
        .field("fence", lock_.fence)
        .field("leads", promoted)
        .write();
    environment_.metrics.count("masticgrade_promotions_total", "Promotions by outcome.",
                               promoted ? "done" : "failed");
    if (promoted) {
        retry_after_ = steady_clock::now() + delay_after_promotion;
        co_await release_lock(choice->target);
    }
}

asio::awaitable<std::optional<promotion_choice>> group_failover::prepare_target(
    failover_kind kind) {
    auto choice = co_await hold_replicas(kind);
    if (!choice) {
        co_return std::nullopt;
    }
    // A replica that started after the hold can still acknowledge commits of a live primary. After
    // the primary has stepped down, the replicas in a fresh directory have every acknowledged
    // commit between them.
    co_await demote_primary();
    co_await environment_.read_directory();
    co_return co_await hold_replicas(kind);
}

asio::awaitable<void> group_failover::demote_primary() {
    const auto primary = group_->primary();
    if (!primary) {
        co_return;
    }
    const backend_request request = backend_step_down{hold_term_};
    const auto status = co_await request_status(*primary, request);
    event_line{"step_down"}
        .field("group", group_->name())
        .field("instance", *primary)
        .field("term", hold_term_)
        .field("answered", status.has_value())
        .write();
}

asio::awaitable<std::optional<instance_status>> group_failover::request_status(
    const instance_id& instance, const backend_request& request) {
    try {
        const auto now = steady_clock::now();
        const bool is_dead = group_->primary() == instance && group_->primary_is_dead(now);
        const auto deadline = now + (is_dead ? dead_primary_request_timeout : request_timeout);
        const auto answer = co_await group_->run_control_request(instance, request, deadline);
        auto status = environment_.connector.read_status(answer);
        if (!status) {
            event_line{"order_refused"}
                .field("group", group_->name())
                .field("instance", instance)
                .field("code", to_string(answer.code))
                .write();
        }
        co_return status;
    } catch (const error& failure) {
        event_line{"order_failed"}
            .field("group", group_->name())
            .field("instance", instance)
            .field("reason", failure.what())
            .write();
    }
    co_return std::nullopt;
}

asio::awaitable<bool> group_failover::find_primary() {
    bool found = false;
    const backend_request status_request = backend_status{};
    const auto entries = group_->entries();
    for (const auto& entry : entries) {
        const auto status = co_await request_status(entry.id, status_request);
        if (status) {
            group_->on_status(entry.id, *status);
            found = found || (status->is_primary && group_->primary() == entry.id);
        }
    }
    // A primary that answers but can't commit counts as dead too.
    co_return found && !group_->primary_is_dead(steady_clock::now());
}

asio::awaitable<group_failover::failover_lock> group_failover::read_lock() {
    const auto deadline = steady_clock::now() + store_timeout;
    auto key = lock_key();
    const auto rows = co_await environment_.store.scan(std::move(key), {}, deadline);
    failover_lock result;
    for (const auto& row : rows.rows) {
        if (row.key != lock_key()) {
            continue;
        }
        result.version = row.version;
        boost::system::error_code fault;
        const auto value = json::parse(row.value, fault);
        if (fault || !value.is_object()) {
            throw error("read failover row", "", "the row is not a JSON object");
        }
        const auto& object = value.as_object();
        if (const auto* fence = object.if_contains("fence")) {
            result.fence = fence->to_number<std::uint64_t>();
        }
        if (const auto* holder = object.if_contains("holder"); holder && holder->is_string()) {
            result.holder = host_id{std::string{holder->as_string()}};
        }
        if (const auto* target = object.if_contains("target"); target && target->is_string()) {
            result.target = instance_id{std::string{target->as_string()}};
        }
        const auto* open = object.if_contains("open");
        result.open = open != nullptr && open->is_bool() && open->as_bool();
    }
    co_return result;
}

asio::awaitable<bool> group_failover::acquire_lock() {
    const auto now = steady_clock::now();
    const auto observed = co_await read_lock();
    if (adopt_result(observed)) {
        co_return false;
    }
    const bool held_by_other = observed.open && observed.holder != environment_.self;
    if (held_by_other) {
        if (foreign_version_ != observed.version) {
            foreign_version_ = observed.version;
            foreign_since_ = now;
        }
        if (now - foreign_since_ < lock_expiry) {
            co_return false;
        }
    }
    table_commit change;
    change.conditions.push_back({lock_key(), observed.version});
    const auto value = encode(observed.fence + 1, {}, true);
    change.puts.push_back({lock_key(), value});
    std::optional<commit_result> result;
    try {
        result = co_await environment_.store.commit(std::move(change),
                                                    steady_clock::now() + store_timeout);
    } catch (const error& failure) {
        event_line{"store_answer_lost"}
            .field("row", lock_key())
            .field("reason", failure.what())
            .write();
    }
    if (result) {
        lock_ = {observed.fence + 1, environment_.self, true, {}, result->version};
        co_return result->committed;
    }
    // The commit may have taken effect or may still do so; the row tells.
    const auto after = co_await read_lock();
    if (!after.open || after.holder != environment_.self || after.fence != observed.fence + 1) {
        co_return false;
    }
    lock_ = after;
    co_return true;
}

bool group_failover::adopt_result(const failover_lock& observed) {
    if (observed.open || observed.fence <= known_fence_) {
        return false;
    }
    known_fence_ = observed.fence;
    if (observed.target.empty() || group_->primary() == observed.target) {
        return false;
    }
    group_->set_primary(observed.target, group_->newest_term(), "failover_row");
    return true;
}

asio::awaitable<void> group_failover::release_lock(instance_id target) {
    known_fence_ = lock_.fence;
    table_commit change;
    change.conditions.push_back({lock_key(), lock_.version});
    change.puts.push_back({lock_key(), encode(lock_.fence, target, false)});
    try {
        co_await environment_.store.commit(std::move(change), steady_clock::now() + store_timeout);
    } catch (const error& failure) {
        // If the row stays open, another host acquires the lock after `lock_expiry`.
        event_line{"store_answer_lost"}
            .field("row", lock_key())
            .field("reason", failure.what())
            .write();
    }
}

asio::awaitable<std::optional<promotion_choice>> group_failover::hold_replicas(failover_kind kind) {
    held_replicas_.clear();
    hold_term_ = group_->newest_term().next();
    const backend_request request = backend_hold{hold_term_};
    const auto deadline = steady_clock::now() + hold_timeout;
    while (steady_clock::now() < deadline) {
        std::vector<promotion_candidate> candidates;
        const auto entries = group_->entries();
        for (const auto& entry : entries) {
            if (group_->primary() == entry.id) {
                continue;
            }
            promotion_candidate candidate;
            candidate.id = entry.id;
            candidate.held = co_await request_status(entry.id, request);
            candidate.is_draining = group_->is_draining(entry.id);
            if (candidate.held) {
                held_replicas_.push_back(entry.id);
                if (candidate.held->is_primary || candidate.held->term >= hold_term_) {
                    // Another promotion has finished; `find_primary` will find its primary.
                    co_return std::nullopt;
                }
            }
            candidates.push_back(std::move(candidate));
        }
        const auto choice = choose_promotion_target(candidates, hold_term_);
        if (choice) {
            if (kind == failover_kind::planned && group_->is_draining(choice->target)) {
                co_return std::nullopt;
            }
            // An instance that has disappeared may be the only one with the latest commits.
            const auto known = group_->acknowledged();
            const bool may_lack_commits = group_->has_recently_lost_instance(steady_clock::now()) &&
                                          known && choice->position.term == known->term &&
                                          choice->position < *known;
            if (!may_lack_commits) {
                co_return choice;
            }
            event_line{"failover_waits"}
                .field("group", group_->name())
                .field("target", choice->target)
                .field("position", choice->position)
                .field("acknowledged", *known)
                .write();
        }
        co_await sleep(check_interval);
    }
    co_return std::nullopt;
}

asio::awaitable<void> group_failover::release_replicas() {
    // Only the current lock holder may resume replicas; a later holder may hold the same ones.
    const auto row = co_await read_lock();
    if (row.fence != lock_.fence || row.holder != environment_.self) {
        co_return;
    }
    const backend_request request = backend_resume{};
    for (const auto& instance : held_replicas_) {
        co_await request_status(instance, request);
    }
    held_replicas_.clear();
}

asio::awaitable<bool> group_failover::promote(promotion_choice choice) {
    const auto deadline = steady_clock::now() + promote_timeout;
    while (steady_clock::now() < deadline) {
        const auto outcome = co_await environment_.promotions.promote(
            group_->name(), choice.target, lock_.fence, steady_clock::now() + promote_call_timeout);
        event_line{"promote_call"}
            .field("group", group_->name())
            .field("target", choice.target)
            .field("fence", lock_.fence)
            .field("outcome", outcome == promotion_outcome::done      ? "done"
                              : outcome == promotion_outcome::refused ? "refused"
                                                                      : "unknown")
            .write();
        if (outcome == promotion_outcome::refused) {
            co_await release_replicas();
            co_await release_lock({});
            co_return false;
        }
        if (co_await wait_until_primary(choice.target)) {
            co_return true;
        }
        const auto row = co_await read_lock();
        if (row.fence != lock_.fence) {
            co_return false;
        }
    }
    co_return false;
}

asio::awaitable<bool> group_failover::wait_until_primary(instance_id target) {
    const auto deadline = steady_clock::now() + new_primary_timeout;
    const backend_request status_request = backend_status{};
    while (steady_clock::now() < deadline) {
        co_await sleep(check_interval);
        const auto status = co_await request_status(target, status_request);
        if (status && status->is_primary) {
            group_->on_status(target, *status);
            group_->set_primary(target, status->term, "promotion");
            co_return true;
        }
        if (!status) {
            co_await environment_.read_directory();
        }
        if (group_->claims_primary(target)) {
            group_->set_primary(target, hold_term_, "promotion");
            co_return true;
        }
    }
    co_return false;
}

}  // namespace masticgrade
