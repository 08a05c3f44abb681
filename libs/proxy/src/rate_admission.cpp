#include "rate_admission.hpp"

#include <boost/asio/this_coro.hpp>
#include <utility>
#include <variant>

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// Rate shares resolve every waiting statement within their own token wait time; the margin covers
/// a late tick.
constexpr milliseconds wait_margin{500};

outcome refusal_for(refusal_reason reason) {
    switch (reason) {
        case refusal_reason::rate_exceeded:
            return refuse(refusal::above_rate, "admit", "the customer is above its rate");
        case refusal_reason::not_current:
            return refuse(refusal::unavailable, "admit",
                          "this host holds no valid share of the customer's rate");
        case refusal_reason::unknown_customer:
            return refuse(refusal::unknown_key, "admit", "the customer is not configured");
    }
    return refuse(refusal::unavailable, "admit", "not admitted");
}

}  // namespace

rate_admission::rate_admission(host_process self, share_settings settings, message_sender send)
    : settings_(settings),
      send_(std::move(send)),
      shares_(std::make_unique<rate_shares>(std::move(self), settings, steady_clock::now())) {}

asio::awaitable<std::optional<outcome>> rate_admission::admit(customer_id customer,
                                                              time_point deadline) {
    const auto executor = co_await asio::this_coro::executor;
    admission decision;
    waiter pending;
    share_actions actions;
    {
        const std::scoped_lock lock{mutex_};
        decision = shares_->admit(customer, deadline, steady_clock::now(), actions);
        if (const auto* wait = std::get_if<waiting>(&decision)) {
            pending = std::make_shared<async_result<admission_result>>(executor);
            waiters_.emplace(wait->ticket, pending);
        }
    }
    perform(std::move(actions));
    if (const auto* refusal = std::get_if<refused>(&decision)) {
        co_return refusal_for(refusal->reason);
    }
    if (!pending) {
        co_return std::nullopt;
    }
    const auto result = co_await pending->wait(deadline + wait_margin);
    if (!result) {
        const auto ticket = std::get<waiting>(decision).ticket;
        const std::scoped_lock lock{mutex_};
        waiters_.erase(ticket);
        shares_->cancel(customer, ticket);
        co_return refusal_for(refusal_reason::rate_exceeded);
    }
    if (*result) {
        co_return refusal_for(**result);
    }
    co_return std::nullopt;
}

void rate_admission::on_snapshot(const fleet_snapshot_ptr& snapshot) {
    with_shares([&](rate_shares& shares, share_actions& actions) {
        shares.on_snapshot(snapshot, steady_clock::now(), actions);
    });
}

void rate_admission::on_freshness(time_point fresh_until) {
    with_shares([&](rate_shares& shares, share_actions&) { shares.on_freshness(fresh_until); });
}

void rate_admission::on_message(const share_envelope& envelope) {
    with_shares([&](rate_shares& shares, share_actions& actions) {
        shares.on_message(envelope, steady_clock::now(), actions);
    });
}

void rate_admission::on_joined(host_process self) {
    std::map<admission_ticket, waiter> unanswered;
    {
        const std::scoped_lock lock{mutex_};
        shares_ = std::make_unique<rate_shares>(std::move(self), settings_, steady_clock::now());
        unanswered.swap(waiters_);
    }
    for (const auto& [ticket, waiting] : unanswered) {
        waiting->set(refusal_reason::not_current);
    }
}

void rate_admission::on_left() {
    with_shares([](rate_shares& shares, share_actions&) { shares.on_left(); });
}

void rate_admission::tick(time_point now) {
    with_shares([&](rate_shares& shares, share_actions& actions) {
        if (shares.next_timer() <= now) {
            shares.on_timer(now, actions);
        }
    });
}

bool rate_admission::is_ready() const {
    const std::scoped_lock lock{mutex_};
    return shares_->owner().is_ready();
}

share_fraction rate_admission::held_share(const customer_id& customer) const {
    const std::scoped_lock lock{mutex_};
    return shares_->holder().held(customer);
}

template <class Event>
void rate_admission::with_shares(Event event) {
    share_actions actions;
    {
        const std::scoped_lock lock{mutex_};
        event(*shares_, actions);
    }
    perform(std::move(actions));
}

void rate_admission::perform(share_actions actions) {
    for (auto& action : actions) {
        if (auto* message = std::get_if<send_message>(&action)) {
            send_(std::move(message->envelope));
        } else if (const auto* admitted = std::get_if<statement_admitted>(&action)) {
            complete(admitted->ticket, std::nullopt);
        } else {
            const auto& refused = std::get<statement_refused>(action);
            complete(refused.ticket, refused.reason);
        }
    }
}

void rate_admission::complete(admission_ticket ticket, admission_result result) {
    waiter waiting;
    {
        const std::scoped_lock lock{mutex_};
        auto node = waiters_.extract(ticket);
        if (!node.empty()) {
            waiting = std::move(node.mapped());
        }
    }
    if (waiting) {
        waiting->set(result);
    }
}

}  // namespace masticgrade
