#include "masticgrade/limits/share_owner.hpp"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

#include "masticgrade/version/rendezvous.hpp"
#include "owner_account.hpp"
#include "settled_members.hpp"
#include "wake_queue.hpp"

namespace masticgrade {

class share_owner::implementation {
public:
    implementation(host_process self, share_settings settings, time_point now)
        : self_(std::move(self)),
          settings_(settings),
          members_(settings_),
          next_query_(now),
          next_round_(now + settings.rebalance_interval) {}

    void on_snapshot(fleet_snapshot_ptr snapshot, time_point now, share_actions& out);
    void on_message(const share_envelope& envelope, time_point now, share_actions& out);
    void on_timer(time_point now, share_actions& out);

    [[nodiscard]] time_point next_timer() const {
        return std::min({next_query_, next_round_, wakes_.next()});
    }
    [[nodiscard]] const owner_account* complete_account(const customer_id& customer) const;

    [[nodiscard]] bool is_ready() const;

    time_point fresh_until{};
    bool has_left = false;

private:
    using query_batches = std::map<std::pair<host_process, fleet_version>, share_query>;

    [[nodiscard]] bool owns(const customer_id& customer) const;
    void update_ownership(time_point now);
    void configure(owner_account& account, time_point now);
    /// Grants queued token requests and sets the next wake time.
    void advance(owner_account& account, time_point now, share_actions& out);
    void advance_membership(time_point now, share_actions& out);
    void send_queries(time_point now, bool repeat_answered, share_actions& out);
    void add_queries(const owner_account& account, bool repeat_answered,
                     query_batches& queries) const;
    void send_handovers(time_point now, share_actions& out);
    void rebalance_all(time_point now, share_actions& out);
    void send_assignments(const std::vector<owner_account::addressed_assignment>& assignments,
                          std::map<host_process, share_assignment>& batches) const;
    void send(const host_process& recipient, share_message body, share_actions& out) const;
    owner_account* find(const customer_id& customer);

    void handle(const share_query& query, const share_envelope& envelope, time_point now,
                share_actions& out);
    void handle(const share_report& report, const share_envelope& envelope, time_point now,
                share_actions& out);
    void handle(const share_ack& ack, const share_envelope& envelope, time_point now,
                share_actions& out);
    void handle(const share_handover& handover, const share_envelope& envelope, time_point now,
                share_actions& out);
    void handle(const token_request& request, const share_envelope& envelope, time_point now,
                share_actions& out);
    void handle(const token_receipt& receipt, const share_envelope& envelope, time_point now,
                share_actions& out);
    /// All other messages are handled by the holder.
    template <class Message>
    void handle(const Message&, const share_envelope&, time_point, share_actions&) {}

    host_process self_;
    share_settings settings_;
    fleet_snapshot_ptr snapshot_;
    settled_members members_;
    std::unordered_map<customer_id, owner_account> accounts_;
    std::uint64_t next_ordinal_ = 0;
    wake_queue<owner_account> wakes_;
    time_point next_query_;
    time_point next_round_;
};

namespace {

host_process sender_of(const share_envelope& envelope) {
    return {envelope.sender, envelope.sender_incarnation};
}

}  // namespace

void share_owner::implementation::on_snapshot(fleet_snapshot_ptr snapshot, time_point now,
                                              share_actions& out) {
    if (settings_.mode != share_mode::shared ||
        (snapshot_ != nullptr && snapshot->version <= snapshot_->version)) {
        return;
    }
    const bool new_members =
        snapshot_ == nullptr || snapshot_->hosts.version != snapshot->hosts.version;
    snapshot_ = std::move(snapshot);
    if (new_members) {
        const auto previous = members_.current();
        members_.on_members(snapshot_->hosts, self_, now);
        for (auto& [customer, account] : accounts_) {
            account.on_members(previous, members_.current());
        }
    }
    update_ownership(now);
    for (auto& [customer, account] : accounts_) {
        configure(account, now);
    }
    send_queries(now, true, out);
    advance_membership(now, out);
}

bool share_owner::implementation::owns(const customer_id& customer) const {
    const auto ranked = rank_hosts(snapshot_->hosts, customer.str(), 1);
    return !ranked.empty() && ranked.front() == self_.host &&
           members_.current().processes.contains(self_);
}

void share_owner::implementation::update_ownership(time_point now) {
    for (auto item = accounts_.begin(); item != accounts_.end();) {
        auto& [customer, account] = *item;
        const bool owned = owns(customer);
        if (!owned) {
            account.retire(members_.current().version);
        }
        const bool retired = account.current_state() == owner_account::state::retired;
        const bool retired_by_current_list = account.retired_at() == members_.current().version;
        const bool keep = owned
                              ? !retired || account.resume(now)
                              : retired && (!account.was_handed_over() || retired_by_current_list);
        if (keep) {
            ++item;
            continue;
        }
        wakes_.reschedule(account, time_point::max());
        item = accounts_.erase(item);
    }
    for (const auto& [customer, config] : snapshot_->config.customers) {
        if (!accounts_.contains(customer) && owns(customer)) {
            accounts_.try_emplace(customer, customer, next_ordinal_++, members_.current().version,
                                  settings_, now);
        }
    }
}

void share_owner::implementation::configure(owner_account& account, time_point now) {
    const auto found = snapshot_->config.customers.find(account.customer());
    if (found == snapshot_->config.customers.end()) {
        account.configure(0, 0, now);
    } else {
        account.configure(found->second.rate, found->second.burst, now);
    }
}

void share_owner::implementation::on_message(const share_envelope& envelope, time_point now,
                                             share_actions& out) {
    const host_process recipient{envelope.recipient, envelope.recipient_incarnation};
    if (recipient != self_ || snapshot_ == nullptr || settings_.mode != share_mode::shared) {
        return;
    }
    if (members_.on_members_version(sender_of(envelope), envelope.members_version, now)) {
        advance_membership(now, out);
    }
    std::visit([&](const auto& body) { handle(body, envelope, now, out); }, envelope.body);
}

void share_owner::implementation::handle(const share_query& query, const share_envelope& envelope,
                                         time_point now, share_actions& out) {
    if (members_.current().version < envelope.members_version) {
        return;
    }
    for (const auto& customer : query.customers) {
        auto* account = find(customer);
        if (account == nullptr || sender_of(envelope) == self_) {
            continue;
        }
        if (auto handover = account->hand_over(query.ownership, now)) {
            send(sender_of(envelope), std::move(*handover), out);
        }
    }
}

void share_owner::implementation::handle(const share_report& report, const share_envelope& envelope,
                                         time_point now, share_actions& out) {
    const auto holder = sender_of(envelope);
    const auto& list = members_.current();
    for (const auto& share : report.shares) {
        auto* account = find(share.customer);
        if (account == nullptr || account->current_state() == owner_account::state::retired) {
            continue;
        }
        if (!list.processes.contains(holder)) {
            if (envelope.members_version >= list.version) {
                account->on_released(holder, now);
                advance(*account, now, out);
            }
            continue;
        }
        const bool outdated = account->on_report(holder, share, now);
        if (outdated && list.version >= share.ownership && list.version > account->ownership()) {
            account->restart_collecting(list.version, now);
            next_query_ = now;
        }
        account->try_complete(list, members_.settled(now), now);
        advance(*account, now, out);
    }
}

void share_owner::implementation::handle(const share_ack& ack, const share_envelope& envelope,
                                         time_point now, share_actions& out) {
    std::map<host_process, share_assignment> batches;
    for (const auto& share : ack.shares) {
        auto* account = find(share.customer);
        if (account == nullptr || !account->on_ack(sender_of(envelope), share, now)) {
            continue;
        }
        if (now < fresh_until) {
            // The rate and burst that this holder returned may allow another share to grow.
            send_assignments(account->rebalance(now), batches);
        }
        advance(*account, now, out);
    }
    for (auto& [holder, assignment] : batches) {
        send(holder, std::move(assignment), out);
    }
}

void share_owner::implementation::handle(const share_handover& handover,
                                         const share_envelope& envelope, time_point now,
                                         share_actions& out) {
    auto* account = find(handover.customer);
    const bool trusted =
        handover.sender_left || members_.current().processes.contains(sender_of(envelope));
    if (account == nullptr || !trusted) {
        return;
    }
    account->on_handover(handover);
    account->try_complete(members_.current(), members_.settled(now), now);
    advance(*account, now, out);
}

void share_owner::implementation::handle(const token_request& request,
                                         const share_envelope& envelope, time_point now,
                                         share_actions& out) {
    auto* account = find(request.customer);
    if (account == nullptr || !members_.current().processes.contains(sender_of(envelope))) {
        return;
    }
    account->on_token_request(sender_of(envelope), request, now);
    advance(*account, now, out);
}

void share_owner::implementation::handle(const token_receipt& receipt,
                                         const share_envelope& envelope, time_point now,
                                         share_actions& out) {
    if (auto* account = find(receipt.customer)) {
        account->on_receipt(sender_of(envelope), receipt, now);
        advance(*account, now, out);
    }
}

void share_owner::implementation::on_timer(time_point now, share_actions& out) {
    if (snapshot_ == nullptr) {
        next_query_ = next_round_ = now + settings_.rebalance_interval;
        return;
    }
    for (auto* account : wakes_.due(now)) {
        advance(*account, now, out);
    }
    const bool round = now >= next_round_;
    if (now >= next_query_) {
        if (has_left) {
            send_handovers(now, out);
        }
        advance_membership(now, out);
        send_queries(now, round, out);
    }
    if (round) {
        next_round_ = now + settings_.rebalance_interval;
        rebalance_all(now, out);
    }
}

void share_owner::implementation::advance(owner_account& account, time_point now,
                                          share_actions& out) {
    const bool fresh = now < fresh_until;
    if (fresh) {
        for (auto& addressed : account.grant_queued(now)) {
            send(addressed.recipient, std::move(addressed.grant), out);
        }
    }
    wakes_.reschedule(account, account.next_wake(now, fresh));
}

void share_owner::implementation::advance_membership(time_point now, share_actions& out) {
    const auto settled = members_.settled(now);
    for (auto& [customer, account] : accounts_) {
        account.reclaim(settled, now);
        account.try_complete(members_.current(), settled, now);
        advance(account, now, out);
    }
}

void share_owner::implementation::send_queries(time_point now, bool repeat_answered,
                                               share_actions& out) {
    query_batches queries;
    bool unsettled = false;
    for (const auto& [customer, account] : accounts_) {
        add_queries(account, repeat_answered, queries);
        unsettled = unsettled || account.has_removed_holders() ||
                    account.current_state() == owner_account::state::collecting;
    }
    if (unsettled) {
        for (const auto& holder : members_.unaware_members()) {
            queries[{holder, members_.current().version}];
        }
    }
    for (auto& [key, query] : queries) {
        query.ownership = key.second;
        send(key.first, std::move(query), out);
    }
    next_query_ =
        now + (unsettled || has_left ? settings_.retry_interval : settings_.rebalance_interval);
}

void share_owner::implementation::add_queries(const owner_account& account, bool repeat_answered,
                                              query_batches& queries) const {
    const auto add = [&](const host_process& holder) {
        queries[{holder, account.ownership()}].customers.push_back(account.customer());
    };
    if (account.current_state() == owner_account::state::collecting) {
        for (const auto& holder : members_.current().processes) {
            // A holder that has answered may be a former owner whose handover was lost.
            if (!account.has_answered(holder) || (repeat_answered && !account.has_inherited())) {
                add(holder);
            }
        }
    }
}

void share_owner::implementation::send_handovers(time_point now, share_actions& out) {
    const auto left_at_version = members_.current().version;
    for (auto& [customer, account] : accounts_) {
        if (account.retired_at() != left_at_version) {
            continue;
        }
        const auto ranked = rank_hosts(snapshot_->hosts, customer.str(), 1);
        auto handover = account.hand_over(left_at_version, now);
        if (handover && !ranked.empty()) {
            handover->sender_left = true;
            const auto& owner = snapshot_->hosts.hosts.at(ranked.front());
            send({owner.id, owner.incarnation}, std::move(*handover), out);
        }
    }
}

void share_owner::implementation::rebalance_all(time_point now, share_actions& out) {
    if (now >= fresh_until) {
        return;
    }
    std::map<host_process, share_assignment> batches;
    for (auto& [customer, account] : accounts_) {
        account.update_targets(now);
        send_assignments(account.rebalance(now), batches);
        advance(account, now, out);
    }
    for (auto& [holder, assignment] : batches) {
        send(holder, std::move(assignment), out);
    }
}

void share_owner::implementation::send_assignments(
    const std::vector<owner_account::addressed_assignment>& assignments,
    std::map<host_process, share_assignment>& batches) const {
    for (const auto& addressed : assignments) {
        batches[addressed.recipient].shares.push_back(addressed.share);
    }
}

void share_owner::implementation::send(const host_process& recipient, share_message body,
                                       share_actions& out) const {
    out.emplace_back(
        send_message{{self_.host, self_.incarnation, recipient.host, recipient.incarnation,
                      members_.current().version, std::move(body)}});
}

owner_account* share_owner::implementation::find(const customer_id& customer) {
    const auto found = accounts_.find(customer);
    return found == accounts_.end() ? nullptr : &found->second;
}

bool share_owner::implementation::is_ready() const {
    return snapshot_ != nullptr &&
           std::none_of(accounts_.begin(), accounts_.end(), [](const auto& item) {
               return item.second.current_state() == owner_account::state::collecting;
           });
}

const owner_account* share_owner::implementation::complete_account(
    const customer_id& customer) const {
    const auto found = accounts_.find(customer);
    return found != accounts_.end() &&
                   found->second.current_state() == owner_account::state::complete
               ? &found->second
               : nullptr;
}

share_owner::share_owner(host_process self, share_settings settings, time_point now)
    : implementation_(std::make_unique<implementation>(std::move(self), settings, now)) {}
share_owner::~share_owner() = default;
share_owner::share_owner(share_owner&&) noexcept = default;
share_owner& share_owner::operator=(share_owner&&) noexcept = default;

void share_owner::on_snapshot(fleet_snapshot_ptr snapshot, time_point now, share_actions& out) {
    implementation_->on_snapshot(std::move(snapshot), now, out);
}
void share_owner::on_freshness(time_point fresh_until) {
    implementation_->fresh_until = fresh_until;
}
void share_owner::on_message(const share_envelope& envelope, time_point now, share_actions& out) {
    implementation_->on_message(envelope, now, out);
}
void share_owner::on_timer(time_point now, share_actions& out) {
    implementation_->on_timer(now, out);
}
time_point share_owner::next_timer() const { return implementation_->next_timer(); }
void share_owner::on_left() { implementation_->has_left = true; }
bool share_owner::is_ready() const { return implementation_->is_ready(); }
bool share_owner::is_complete(const customer_id& customer) const {
    return implementation_->complete_account(customer) != nullptr;
}
share_fraction share_owner::pool(const customer_id& customer) const {
    const auto* account = implementation_->complete_account(customer);
    return account == nullptr ? share_fraction{} : account->pool_share();
}

}  // namespace masticgrade
