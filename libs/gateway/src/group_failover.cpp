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
constexpr milliseconds order_timeout{500};
/// For a primary that has not answered for longer than this already.
constexpr milliseconds dead_primary_order_timeout{150};
constexpr milliseconds store_timeout{800};
constexpr milliseconds promote_call_timeout{1500};
/// A holder whose row has not changed for this long is taken to be dead; above the time of a whole
/// promotion with one lost answer.
constexpr seconds holder_lifetime{5};
/// Time for all replicas to be held.
constexpr seconds hold_limit{3};
/// Time from an order to the instance's lead; instances take up to 1 s.
constexpr seconds lead_limit{3};
/// Pause after a promotion, so that one failure cannot cause a series of them.
constexpr seconds pause_after_promotion{3};
constexpr milliseconds pause_after_failure{400};
/// Calls with an unknown outcome are repeated for this long; the platform may carry one out 12 s
/// late.
constexpr seconds promote_limit{15};

std::string random_mark() {
    std::random_device source;
    return std::to_string((std::uint64_t{source()} << 32U) | source());
}

}  // namespace

group_failover::group_failover(std::shared_ptr<backend_group> group,
                               failover_environment environment)
    : group_(std::move(group)), environment_(std::move(environment)) {}

std::string group_failover::duty_key() const { return "failover/" + group_->name().str(); }

std::string group_failover::encode(std::uint64_t fence, const instance_id& target,
                                   bool open) const {
    return json::serialize(json::object{{"fence", fence},
                                        {"holder", environment_.self.str()},
                                        {"target", target.str()},
                                        {"open", open},
                                        {"mark", random_mark()}});
}

asio::awaitable<void> group_failover::sleep(duration length) {
    asio::steady_timer timer{environment_.executor, length};
    co_await timer.async_wait(asio::use_awaitable);
}

group_failover::need group_failover::current_need(time_point now) const {
    if (group_->entries().size() < 2) {
        return need::none;
    }
    if (group_->primary_is_dead(now)) {
        return need::unplanned;
    }
    const auto primary = group_->primary();
    return primary && group_->is_draining(*primary) ? need::planned : need::none;
}

asio::awaitable<void> group_failover::run() {
    const auto self = shared_from_this();
    while (!stopping_) {
        co_await sleep(check_interval);
        const auto now = steady_clock::now();
        const auto why = current_need(now);
        if (why == need::none) {
            needed_since_.reset();
            continue;
        }
        if (!needed_since_) {
            needed_since_ = now;
        }
        const auto rank =
            failover_rank(group_->name(), environment_.self, environment_.live_hosts());
        if (now < pause_until_ || now - *needed_since_ < takeover_delay(rank)) {
            continue;
        }
        promoting_ = true;
        const scope_guard done{[&] { promoting_ = false; }};
        try {
            co_await attempt(why);
        } catch (const error& failure) {
            pause_until_ = steady_clock::now() + pause_after_failure;
            event_line{"failover_failed"}
                .field("group", group_->name())
                .field("reason", failure.what())
                .write();
        }
    }
}

asio::awaitable<void> group_failover::attempt(need why) {
    pause_until_ = steady_clock::now() + pause_after_failure;
    const auto replaced = group_->primary();
    const bool has_primary = co_await find_primary();
    if (has_primary && why == need::unplanned) {
        co_return;
    }
    if (!co_await take_duty()) {
        co_return;
    }
    // Another host's promotion may have ended meanwhile.
    if (group_->primary() != replaced || current_need(steady_clock::now()) == need::none) {
        co_await close_duty({});
        co_return;
    }
    event_line{"failover_started"}
        .field("group", group_->name())
        .field("planned", why == need::planned)
        .field("primary", group_->primary() ? group_->primary()->str() : std::string{"none"})
        .field("term", group_->newest_term())
        .field("fence", held_.fence)
        .write();
    const auto choice = co_await prepare_target(why);
    if (!choice) {
        co_await release_replicas();
        co_await close_duty({});
        co_return;
    }
    const bool leads = co_await promote(*choice);
    event_line{"failover_ended"}
        .field("group", group_->name())
        .field("target", choice->target)
        .field("position", choice->position)
        .field("fence", held_.fence)
        .field("leads", leads)
        .write();
    environment_.metrics.count("masticgrade_promotions_total", "Promotions by outcome.",
                               leads ? "done" : "failed");
    if (leads) {
        pause_until_ = steady_clock::now() + pause_after_promotion;
        co_await close_duty(choice->target);
    }
}

asio::awaitable<std::optional<promotion_choice>> group_failover::prepare_target(need why) {
    auto choice = co_await hold_replicas(why);
    if (!choice) {
        co_return std::nullopt;
    }
    // A replica that started after the hold could still acknowledge for a primary that lives. Once
    // the primary has stepped down, the replicas that are listed then have all there is.
    co_await step_primary_down();
    co_await environment_.read_directory();
    co_return co_await hold_replicas(why);
}

asio::awaitable<void> group_failover::step_primary_down() {
    const auto primary = group_->primary();
    if (!primary) {
        co_return;
    }
    const backend_request order = backend_step_down{hold_term_};
    const auto status = co_await ask(*primary, order);
    event_line{"step_down"}
        .field("group", group_->name())
        .field("instance", *primary)
        .field("term", hold_term_)
        .field("answered", status.has_value())
        .write();
}

asio::awaitable<std::optional<instance_status>> group_failover::ask(
    const instance_id& instance, const backend_request& request) {
    try {
        const auto now = steady_clock::now();
        const bool is_dead = group_->primary() == instance && group_->primary_is_dead(now);
        const auto deadline = now + (is_dead ? dead_primary_order_timeout : order_timeout);
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
    const backend_request question = backend_status{};
    const auto entries = group_->entries();
    for (const auto& entry : entries) {
        const auto status = co_await ask(entry.id, question);
        if (status) {
            group_->on_status(entry.id, *status);
            found = found || (status->is_primary && group_->primary() == entry.id);
        }
    }
    // A primary that answers but cannot commit is dead all the same.
    co_return found && !group_->primary_is_dead(steady_clock::now());
}

asio::awaitable<group_failover::duty> group_failover::read_duty() {
    const auto deadline = steady_clock::now() + store_timeout;
    auto key = duty_key();
    const auto rows = co_await environment_.store.scan(std::move(key), {}, deadline);
    duty result;
    for (const auto& row : rows.rows) {
        if (row.key != duty_key()) {
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

asio::awaitable<bool> group_failover::take_duty() {
    const auto now = steady_clock::now();
    const auto seen = co_await read_duty();
    if (adopt(seen)) {
        co_return false;
    }
    const bool foreign = seen.open && seen.holder != environment_.self;
    if (foreign) {
        if (foreign_version_ != seen.version) {
            foreign_version_ = seen.version;
            foreign_since_ = now;
        }
        if (now - foreign_since_ < holder_lifetime) {
            co_return false;
        }
    }
    table_commit change;
    change.conditions.push_back({duty_key(), seen.version});
    const auto value = encode(seen.fence + 1, {}, true);
    change.puts.push_back({duty_key(), value});
    std::optional<commit_result> result;
    try {
        result = co_await environment_.store.commit(std::move(change),
                                                    steady_clock::now() + store_timeout);
    } catch (const error& failure) {
        event_line{"store_answer_lost"}
            .field("row", duty_key())
            .field("reason", failure.what())
            .write();
    }
    if (result) {
        held_ = {seen.fence + 1, environment_.self, true, {}, result->version};
        co_return result->committed;
    }
    // The change may have taken effect, or may do so later; the row decides.
    const auto after = co_await read_duty();
    if (!after.open || after.holder != environment_.self || after.fence != seen.fence + 1) {
        co_return false;
    }
    held_ = after;
    co_return true;
}

bool group_failover::adopt(const duty& seen) {
    if (seen.open || seen.fence <= known_fence_) {
        return false;
    }
    known_fence_ = seen.fence;
    if (seen.target.empty() || group_->primary() == seen.target) {
        return false;
    }
    group_->set_primary(seen.target, group_->newest_term(), "failover_row");
    return true;
}

asio::awaitable<void> group_failover::close_duty(instance_id target) {
    known_fence_ = held_.fence;
    table_commit change;
    change.conditions.push_back({duty_key(), held_.version});
    change.puts.push_back({duty_key(), encode(held_.fence, target, false)});
    try {
        co_await environment_.store.commit(std::move(change), steady_clock::now() + store_timeout);
    } catch (const error& failure) {
        // Another host takes an open row after its lifetime, so nothing is lost.
        event_line{"store_answer_lost"}
            .field("row", duty_key())
            .field("reason", failure.what())
            .write();
    }
}

asio::awaitable<std::optional<promotion_choice>> group_failover::hold_replicas(need why) {
    holding_.clear();
    hold_term_ = group_->newest_term().next();
    const backend_request order = backend_hold{hold_term_};
    const auto give_up = steady_clock::now() + hold_limit;
    while (steady_clock::now() < give_up) {
        std::vector<promotion_candidate> replicas;
        const auto entries = group_->entries();
        for (const auto& entry : entries) {
            if (group_->primary() == entry.id) {
                continue;
            }
            promotion_candidate view;
            view.id = entry.id;
            view.held = co_await ask(entry.id, order);
            view.is_draining = group_->is_draining(entry.id);
            if (view.held) {
                holding_.push_back(entry.id);
                if (view.held->is_primary || view.held->term >= hold_term_) {
                    // Another promotion has ended; its primary will be found.
                    co_return std::nullopt;
                }
            }
            replicas.push_back(std::move(view));
        }
        const auto choice = choose_promotion_target(replicas, hold_term_);
        if (choice) {
            if (why == need::planned && group_->is_draining(choice->target)) {
                co_return std::nullopt;
            }
            // An instance that is gone may have been the only one to receive the last commits.
            const auto known = group_->acknowledged();
            const bool may_lack = group_->has_recently_lost_instance(steady_clock::now()) &&
                                  known && choice->position.term == known->term &&
                                  choice->position < *known;
            if (!may_lack) {
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
    // Only the present holder may do this: a later one may have held the same replicas.
    const auto row = co_await read_duty();
    if (row.fence != held_.fence || row.holder != environment_.self) {
        co_return;
    }
    const backend_request order = backend_resume{};
    for (const auto& instance : holding_) {
        co_await ask(instance, order);
    }
    holding_.clear();
}

asio::awaitable<bool> group_failover::promote(promotion_choice choice) {
    const auto give_up = steady_clock::now() + promote_limit;
    while (steady_clock::now() < give_up) {
        const auto outcome = co_await environment_.promotions.promote(
            group_->name(), choice.target, held_.fence, steady_clock::now() + promote_call_timeout);
        event_line{"promote_call"}
            .field("group", group_->name())
            .field("target", choice.target)
            .field("fence", held_.fence)
            .field("outcome", outcome == promotion_outcome::done      ? "done"
                              : outcome == promotion_outcome::refused ? "refused"
                                                                      : "unknown")
            .write();
        if (outcome == promotion_outcome::refused) {
            co_await release_replicas();
            co_await close_duty({});
            co_return false;
        }
        if (co_await wait_until_leading(choice.target)) {
            co_return true;
        }
        const auto row = co_await read_duty();
        if (row.fence != held_.fence) {
            co_return false;
        }
    }
    co_return false;
}

asio::awaitable<bool> group_failover::wait_until_leading(instance_id target) {
    const auto give_up = steady_clock::now() + lead_limit;
    const backend_request question = backend_status{};
    while (steady_clock::now() < give_up) {
        co_await sleep(check_interval);
        const auto status = co_await ask(target, question);
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
