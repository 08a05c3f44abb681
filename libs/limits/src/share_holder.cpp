#include "masticgrade/limits/share_holder.hpp"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "holder_account.hpp"
#include "masticgrade/version/rendezvous.hpp"
#include "wake_queue.hpp"

namespace masticgrade {

namespace {

/// Number of reports sent after a removal, since some may be lost.
constexpr int reports_after_removal = 4;

}  // namespace

class share_holder::implementation {
public:
    implementation(host_process self, share_settings settings, time_point now)
        : self_(std::move(self)), settings_(settings), next_report_(now) {}

    admission admit(const customer_id& customer, time_point deadline, time_point now,
                    share_actions& out);
    void cancel(const customer_id& customer, admission_ticket ticket);
    void on_snapshot(fleet_snapshot_ptr snapshot, time_point now, share_actions& out);
    void on_message(const share_envelope& envelope, time_point now, share_actions& out);
    void on_timer(time_point now, share_actions& out);

    [[nodiscard]] time_point next_timer() const { return std::min(next_report_, wakes_.next()); }
    [[nodiscard]] share_fraction held(const customer_id& customer) const {
        const auto found = accounts_.find(customer);
        return found == accounts_.end() ? share_fraction{} : found->second.held();
    }

    time_point fresh_until{};

private:
    [[nodiscard]] bool can_admit(time_point now) const { return is_member_ && now < fresh_until; }
    holder_account& account(const customer_id& customer, time_point now);
    void configure(holder_account& account, time_point now);
    /// Admits or refuses waiting statements, sends token requests and sets the next wake time.
    void advance(holder_account& account, time_point now, share_actions& out);
    void send_report(time_point now, share_actions& out);
    [[nodiscard]] const members& hosts() const { return snapshot_->hosts; }
    void send(const host_process& recipient, share_message body, share_actions& out) const;

    void handle(const share_query& query, const share_envelope& envelope, time_point now,
                share_actions& out);
    void handle(const share_assignment& assignment, const share_envelope& envelope, time_point now,
                share_actions& out);
    void handle(const token_grant& grant, const share_envelope& envelope, time_point now,
                share_actions& out);
    /// All other messages are handled by the owner.
    template <class Message>
    void handle(const Message&, const share_envelope&, time_point, share_actions&) {}

    host_process self_;
    share_settings settings_;
    fleet_snapshot_ptr snapshot_;
    bool is_member_ = false;
    std::unordered_map<customer_id, holder_account> accounts_;
    wake_queue<holder_account> wakes_;
    admission_ticket last_ticket_;
    request_number last_request_;
    time_point next_report_;
    /// Number of reports still to be sent after the removal of this process from the members list.
    int remaining_removal_reports_ = 0;
};

holder_account& share_holder::implementation::account(const customer_id& customer, time_point now) {
    const auto found = accounts_.find(customer);
    if (found != accounts_.end()) {
        return found->second;
    }
    auto& added =
        accounts_.try_emplace(customer, customer, accounts_.size(), settings_, now).first->second;
    configure(added, now);
    return added;
}

void share_holder::implementation::configure(holder_account& account, time_point now) {
    const auto found = snapshot_->config.customers.find(account.customer());
    if (found == snapshot_->config.customers.end()) {
        account.configure(0, 0, now);
    } else {
        account.configure(found->second.rate, found->second.burst, now);
    }
    const auto ranked = rank_hosts(hosts(), account.customer().str(), 1);
    account.owner =
        ranked.empty() ? host_process{}
                       : host_process{ranked.front(), hosts().hosts.at(ranked.front()).incarnation};
    if (!is_member_) {
        account.set_share({}, now);
    } else if (settings_.mode == share_mode::static_split) {
        const auto equal_fraction = 1.0 / static_cast<double>(hosts().hosts.size());
        account.set_share({equal_fraction, equal_fraction}, now);
    }
}

admission share_holder::implementation::admit(const customer_id& customer, time_point deadline,
                                              time_point now, share_actions& out) {
    if (!can_admit(now)) {
        return refused{refusal_reason::not_current, now + settings_.retry_interval};
    }
    if (!accounts_.contains(customer) && !snapshot_->config.customers.contains(customer)) {
        return refused{refusal_reason::unknown_customer, time_point::max()};
    }
    auto& account = this->account(customer, now);
    account.count_demand();
    if (account.try_take(now)) {
        return admitted{};
    }
    const auto expires = std::min(deadline, now + settings_.max_token_wait);
    if (account.burst() <= 0 || expires <= now || !account.has_queue_capacity()) {
        return refused{refusal_reason::rate_exceeded, account.retry_at(now)};
    }
    last_ticket_ = last_ticket_.next();
    account.add_waiter({last_ticket_, expires});
    advance(account, now, out);
    return waiting{last_ticket_};
}

void share_holder::implementation::cancel(const customer_id& customer, admission_ticket ticket) {
    const auto found = accounts_.find(customer);
    if (found != accounts_.end()) {
        found->second.remove_waiter(ticket);
    }
}

void share_holder::implementation::advance(holder_account& account, time_point now,
                                           share_actions& out) {
    if (!can_admit(now)) {
        account.refuse_all(refusal_reason::not_current, out);
    }
    account.admit_waiters(0, now, out);
    account.refuse_expired(now, out);
    if (settings_.mode == share_mode::shared) {
        if (const auto request = account.next_request(last_request_.next(), now)) {
            last_request_ = request->number;
            send(account.owner, *request, out);
        }
        for (const auto& request : account.requests_to_resend(now)) {
            send(account.owner, request, out);
        }
    }
    wakes_.reschedule(account, account.next_wake(now));
}

void share_holder::implementation::on_snapshot(fleet_snapshot_ptr snapshot, time_point now,
                                               share_actions& out) {
    if (snapshot_ != nullptr && snapshot->version <= snapshot_->version) {
        return;
    }
    const bool new_members = snapshot_ == nullptr || hosts().version != snapshot->hosts.version;
    snapshot_ = std::move(snapshot);
    const auto found = hosts().hosts.find(self_.host);
    is_member_ = found != hosts().hosts.end() && found->second.incarnation == self_.incarnation;
    for (auto& [customer, account] : accounts_) {
        configure(account, now);
        advance(account, now, out);
    }
    if (new_members) {
        send_report(now, out);
    }
}

void share_holder::implementation::on_message(const share_envelope& envelope, time_point now,
                                              share_actions& out) {
    const host_process recipient{envelope.recipient, envelope.recipient_incarnation};
    if (recipient != self_ || snapshot_ == nullptr || settings_.mode != share_mode::shared) {
        return;
    }
    std::visit([&](const auto& body) { handle(body, envelope, now, out); }, envelope.body);
}

void share_holder::implementation::handle(const share_query& query, const share_envelope& envelope,
                                          time_point now, share_actions& out) {
    if (hosts().version < envelope.members_version) {
        return;
    }
    share_report report;
    for (const auto& customer : query.customers) {
        auto& account = this->account(customer, now);
        // A reply allows the sender to replace the previous owner, so it is sent only to the owner
        // according to this host's own members list.
        if (account.owner != host_process{envelope.sender, envelope.sender_incarnation}) {
            continue;
        }
        account.bind(query.ownership);
        report.shares.push_back(account.report());
    }
    send({envelope.sender, envelope.sender_incarnation}, std::move(report), out);
}

void share_holder::implementation::handle(const share_assignment& assignment,
                                          const share_envelope& envelope, time_point now,
                                          share_actions& out) {
    // A removed host holds no shares, so a late assignment must not be applied.
    if (!is_member_) {
        return;
    }
    share_ack ack;
    share_report outdated;
    for (const auto& assigned : assignment.shares) {
        auto& account = this->account(assigned.customer, now);
        if (auto acknowledged = account.apply(assigned, now)) {
            ack.shares.push_back(std::move(*acknowledged));
        } else {
            outdated.shares.push_back(account.report());
        }
        advance(account, now, out);
    }
    if (!ack.shares.empty()) {
        send({envelope.sender, envelope.sender_incarnation}, std::move(ack), out);
    }
    // Reports the higher ownership to an owner to which this host is no longer bound.
    if (!outdated.shares.empty()) {
        send({envelope.sender, envelope.sender_incarnation}, std::move(outdated), out);
    }
}

void share_holder::implementation::handle(const token_grant& grant, const share_envelope& envelope,
                                          time_point now, share_actions& out) {
    auto& account = this->account(grant.customer, now);
    if (account.close_request(grant, now) && can_admit(now)) {
        account.refuse_expired(now, out);
        account.admit_waiters(grant.tokens, now, out);
    }
    send({envelope.sender, envelope.sender_incarnation},
         token_receipt{grant.customer, grant.ownership, grant.number}, out);
    advance(account, now, out);
}

void share_holder::implementation::on_timer(time_point now, share_actions& out) {
    for (auto* account : wakes_.due(now)) {
        advance(*account, now, out);
    }
    if (now >= next_report_) {
        next_report_ = now + settings_.rebalance_interval;
        send_report(now, out);
    }
}

void share_holder::implementation::send_report(time_point now, share_actions& out) {
    if (settings_.mode != share_mode::shared || snapshot_ == nullptr) {
        return;
    }
    // A process that has not joined yet has nothing to report. Only a former member reports that it
    // no longer holds any share.
    if (is_member_) {
        remaining_removal_reports_ = reports_after_removal;
    } else if (remaining_removal_reports_ == 0) {
        return;
    } else {
        --remaining_removal_reports_;
    }
    std::map<host_process, share_report> reports;
    for (auto& [customer, account] : accounts_) {
        // A removed process reports for every customer that it holds no share, so that its shares
        // can be reclaimed before the freshness window has passed.
        if (!account.measure_demand(now) && is_member_) {
            continue;
        }
        reports[account.owner].shares.push_back(account.report());
    }
    for (auto& [owner, report] : reports) {
        send(owner, std::move(report), out);
    }
}

void share_holder::implementation::send(const host_process& recipient, share_message body,
                                        share_actions& out) const {
    out.emplace_back(send_message{{self_.host, self_.incarnation, recipient.host,
                                   recipient.incarnation, hosts().version, std::move(body)}});
}

share_holder::share_holder(host_process self, share_settings settings, time_point now)
    : implementation_(std::make_unique<implementation>(std::move(self), settings, now)) {}
share_holder::~share_holder() = default;
share_holder::share_holder(share_holder&&) noexcept = default;
share_holder& share_holder::operator=(share_holder&&) noexcept = default;

admission share_holder::admit(const customer_id& customer, time_point deadline, time_point now,
                              share_actions& out) {
    return implementation_->admit(customer, deadline, now, out);
}
void share_holder::cancel(const customer_id& customer, admission_ticket ticket) {
    implementation_->cancel(customer, ticket);
}
void share_holder::on_snapshot(fleet_snapshot_ptr snapshot, time_point now, share_actions& out) {
    implementation_->on_snapshot(std::move(snapshot), now, out);
}
void share_holder::on_freshness(time_point fresh_until) {
    implementation_->fresh_until = fresh_until;
}
void share_holder::on_message(const share_envelope& envelope, time_point now, share_actions& out) {
    implementation_->on_message(envelope, now, out);
}
void share_holder::on_timer(time_point now, share_actions& out) {
    implementation_->on_timer(now, out);
}
time_point share_holder::next_timer() const { return implementation_->next_timer(); }
share_fraction share_holder::held(const customer_id& customer) const {
    return implementation_->held(customer);
}

}  // namespace masticgrade
