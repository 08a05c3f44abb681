#include "fleet_membership.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>
#include <variant>

#include "masticgrade/base/error.hpp"
#include "masticgrade/base/log.hpp"
#include "masticgrade/base/scope_guard.hpp"
#include "masticgrade/version/row_codec.hpp"
#include "random_id.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

constexpr logger log{"members"};

constexpr milliseconds exchange_timeout{1000};
constexpr milliseconds store_timeout{1500};
constexpr milliseconds leave_poll_interval{50};
constexpr milliseconds change_retry_delay{500};

std::string_view describe(members_change_kind kind) {
    switch (kind) {
        case members_change_kind::join:
            return "join";
        case members_change_kind::replace_own_incarnation:
            return "replace_own_incarnation";
        case members_change_kind::remove:
            return "remove";
        case members_change_kind::leave:
            return "leave";
    }
    return "unknown";
}

host_incarnation sender_of(const peer::envelope& message) {
    return {message.sender, message.incarnation};
}

}  // namespace

fleet_membership::fleet_membership(asio::any_io_executor executor, dependencies deps)
    : executor_(std::move(executor)),
      dependencies_(std::move(deps)),
      freshness_(host_incarnation{dependencies_.self.id, {}}),
      membership_(dependencies_.self, membership_settings{},
                  std::mt19937_64{std::random_device{}()}, steady_clock::now()),
      identity_(membership_.self()) {
    freshness_.set_self(identity_);
}

std::optional<std::string> fleet_membership::refuse_work() const {
    const std::scoped_lock lock{mutex_};
    const auto refusal = freshness_.refuse_work(steady_clock::now());
    return refusal ? std::optional{std::string{describe(*refusal)}} : std::nullopt;
}

time_point fleet_membership::fresh_until() const {
    const std::scoped_lock lock{mutex_};
    const auto now = steady_clock::now();
    const auto age = freshness_.current_age(now);
    if (!age || freshness_.refuse_work(now)) {
        return now;
    }
    return now - *age + freshness::window;
}

bool fleet_membership::joined() const {
    const std::scoped_lock lock{mutex_};
    return membership_.joined();
}

host_incarnation fleet_membership::self() const {
    const std::scoped_lock lock{mutex_};
    return membership_.self();
}

bool fleet_membership::is_reachable(const host_id& host) const {
    const std::scoped_lock lock{mutex_};
    return membership_.reachable(host, steady_clock::now());
}

std::map<host_id, fleet_version> fleet_membership::member_versions() const {
    const std::scoped_lock lock{mutex_};
    auto versions = versions_;
    versions[dependencies_.self.id] = freshness_.applied_version();
    return versions;
}

void fleet_membership::on_store_read(time_point sent_at, fleet_version version) {
    const std::scoped_lock lock{mutex_};
    const auto now = steady_clock::now();
    freshness_.on_store_read({sent_at, version}, now);
    membership_.on_store_answered(now);
}

void fleet_membership::on_snapshot(const fleet_snapshot_ptr& snapshot) {
    const std::scoped_lock lock{mutex_};
    freshness_.on_snapshot_applied(snapshot->version, snapshot->hosts);
    membership_.on_list_applied(snapshot->hosts, steady_clock::now());
}

void fleet_membership::on_peer_message(const peer::envelope& message) {
    const std::scoped_lock lock{mutex_};
    membership_.on_message_received(sender_of(message), message.members_version,
                                    steady_clock::now());
}

peer::exchange_reply fleet_membership::answer_exchange(const peer::envelope& message) {
    const auto peer_version = std::get<peer::exchange_request>(message.body).version;
    peer::exchange_reply reply;
    bool behind = false;
    {
        const std::scoped_lock lock{mutex_};
        const auto now = steady_clock::now();
        versions_[message.sender] = std::max(versions_[message.sender], peer_version);
        freshness_.on_version_seen(peer_version);
        behind = peer_version > freshness_.applied_version();
        reply.version = freshness_.applied_version();
        reply.list_version = freshness_.list_version();
        if (const auto age = freshness_.current_age(now)) {
            reply.current_age = std::chrono::ceil<milliseconds>(*age);
        }
        reply.ages = freshness_.packed_ages(now);
        const auto report = membership_.report();
        reply.unreachable = report.unreachable;
        reply.members_settled = report.settled;
        reply.members_applied = report.applied;
    }
    if (behind) {
        const auto snapshot = dependencies_.fleet->snapshot();
        const auto found = snapshot->hosts.hosts.find(message.sender);
        start_catch_up(found == snapshot->hosts.hosts.end() ? endpoint_address{}
                                                            : found->second.peer_address);
    }
    return reply;
}

void fleet_membership::tick() {
    std::vector<membership_action> actions;
    host_incarnation identity;
    bool changed = false;
    {
        const std::scoped_lock lock{mutex_};
        actions = membership_.tick(steady_clock::now());
        identity = membership_.self();
        changed = identity != identity_;
        if (changed) {
            identity_ = identity;
            freshness_.set_self(identity);
        }
    }
    if (changed) {
        log.info("Started a new incarnation host={} incarnation={}.", identity.id,
                 identity.incarnation);
        dependencies_.on_identity_changed(identity);
    }
    for (const auto& action : actions) {
        std::visit([this](const auto& value) { execute(value); }, action);
    }
}

void fleet_membership::announce(const std::vector<host_id>& recipients) {
    const auto version = dependencies_.fleet->snapshot()->version;
    for (const auto& recipient : recipients) {
        if (recipient != dependencies_.self.id) {
            dependencies_.peers().send(recipient, peer::exchange_request{version});
        }
    }
}

asio::awaitable<bool> fleet_membership::leave(time_point deadline) {
    {
        const std::scoped_lock lock{mutex_};
        membership_.leave();
    }
    asio::steady_timer timer{co_await asio::this_coro::executor};
    while (joined() && steady_clock::now() < deadline) {
        timer.expires_after(leave_poll_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return !joined();
}

void fleet_membership::execute(const send_exchange& action) {
    asio::co_spawn(asio::make_strand(executor_), exchange(action), asio::detached);
}

void fleet_membership::execute(const change_members& action) {
    asio::co_spawn(asio::make_strand(executor_), change(action), asio::detached);
}

asio::awaitable<void> fleet_membership::exchange(send_exchange action) {
    auto self = shared_from_this();
    const auto sent_at = steady_clock::now();
    peer::envelope message;
    bool answered = false;
    try {
        message = co_await dependencies_.peers().request(
            action.address, peer::exchange_request{dependencies_.fleet->snapshot()->version},
            sent_at + exchange_timeout);
        answered = std::holds_alternative<peer::exchange_reply>(message.body);
    } catch (const error& failure) {
        log.debug("Exchange failed peer={} reason=\"{}\".", action.peer, failure.what());
    }
    if (!answered) {
        const std::scoped_lock lock{mutex_};
        membership_.on_exchange_failed(action.peer, steady_clock::now());
        co_return;
    }
    const auto& reply = std::get<peer::exchange_reply>(message.body);
    exchange_answer answer;
    answer.sent_at = sent_at;
    answer.peer = sender_of(message);
    answer.version = reply.version;
    answer.members_version = reply.list_version;
    if (reply.current_age) {
        answer.current_age = *reply.current_age;
    }
    answer.ages = reply.ages;
    list_report report;
    report.settled = reply.members_settled;
    report.applied = reply.members_applied;
    report.unreachable = reply.unreachable;
    bool behind = false;
    {
        const std::scoped_lock lock{mutex_};
        const auto now = steady_clock::now();
        versions_[message.sender] = std::max(versions_[message.sender], reply.version);
        freshness_.on_exchange_answer(answer, now);
        membership_.on_exchange_answer(answer, report, now);
        behind = reply.version > freshness_.applied_version();
    }
    if (behind) {
        start_catch_up(action.address);
    }
}

asio::awaitable<void> fleet_membership::change(change_members action) {
    auto self = shared_from_this();
    log.info("Proposing a membership change kind={} members={} based_on={}.", describe(action.kind),
             action.proposed.hosts.size(), action.based_on);
    const std::string key{members_row_key};
    table_commit commit;
    commit.conditions.push_back({key, action.based_on});
    commit.puts.push_back({key, encode_members_row(action.proposed, make_random_id())});
    bool committed = false;
    const auto deadline = steady_clock::now() + store_timeout;
    try {
        const auto result = co_await dependencies_.store->commit(std::move(commit), deadline);
        committed = result.committed;
    } catch (const error& failure) {
        log.warning("A membership change failed or is unconfirmed reason=\"{}\".", failure.what());
    }
    // The next step depends on the row now in the store, whatever the outcome of the commit.
    const bool read = co_await dependencies_.read_store(steady_clock::now() + store_timeout);
    if (!committed && !read) {
        // A store that is down refuses at once; without a delay this would retry in a tight loop.
        asio::steady_timer timer{co_await asio::this_coro::executor, change_retry_delay};
        co_await timer.async_wait(asio::use_awaitable);
    }
    const std::scoped_lock lock{mutex_};
    membership_.on_change_finished(committed, steady_clock::now());
}

void fleet_membership::start_catch_up(const endpoint_address& address) {
    if (!catching_up_.exchange(true)) {
        asio::co_spawn(asio::make_strand(executor_), catch_up(address), asio::detached);
    }
}

/// Fetches newer rows from the peer that has them, with the store as the fallback.
asio::awaitable<void> fleet_membership::catch_up(endpoint_address address) {
    auto self = shared_from_this();
    const scope_guard guard{[self] { self->catching_up_ = false; }};
    bool done = false;
    if (!address.empty()) {
        done = co_await dependencies_.peers().fetch_rows(address);
    }
    if (!done) {
        co_await dependencies_.read_store(steady_clock::now() + store_timeout);
    }
}

}  // namespace masticgrade
