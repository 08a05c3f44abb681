#include "masticgrade/limits/rate_shares.hpp"

#include <algorithm>
#include <utility>

namespace masticgrade {

rate_shares::rate_shares(host_process self, share_settings settings, time_point now)
    : self_(self), owner_(self, settings, now), holder_(std::move(self), settings, now) {}

admission rate_shares::admit(const customer_id& customer, time_point deadline, time_point now,
                             share_actions& out) {
    const auto first = out.size();
    const auto result = holder_.admit(customer, deadline, now, out);
    deliver_own(first, now, out);
    const auto* wait = std::get_if<waiting>(&result);
    if (wait == nullptr) {
        return result;
    }
    // An owner in the same process may already have granted the token.
    const auto granted = std::find_if(out.begin() + static_cast<std::ptrdiff_t>(first), out.end(),
                                      [&](const share_action& action) {
                                          const auto* done =
                                              std::get_if<statement_admitted>(&action);
                                          return done != nullptr && done->ticket == wait->ticket;
                                      });
    if (granted == out.end()) {
        return result;
    }
    out.erase(granted);
    return admitted{};
}

void rate_shares::on_snapshot(const fleet_snapshot_ptr& snapshot, time_point now,
                              share_actions& out) {
    const auto first = out.size();
    owner_.on_snapshot(snapshot, now, out);
    holder_.on_snapshot(snapshot, now, out);
    deliver_own(first, now, out);
}

void rate_shares::on_freshness(time_point fresh_until) {
    owner_.on_freshness(fresh_until);
    holder_.on_freshness(fresh_until);
}

void rate_shares::on_message(const share_envelope& envelope, time_point now, share_actions& out) {
    const auto first = out.size();
    owner_.on_message(envelope, now, out);
    holder_.on_message(envelope, now, out);
    deliver_own(first, now, out);
}

void rate_shares::on_timer(time_point now, share_actions& out) {
    const auto first = out.size();
    owner_.on_timer(now, out);
    holder_.on_timer(now, out);
    deliver_own(first, now, out);
}

time_point rate_shares::next_timer() const {
    return std::min(owner_.next_timer(), holder_.next_timer());
}

void rate_shares::deliver_own(std::size_t first, time_point now, share_actions& out) {
    for (auto index = first; index < out.size();) {
        const auto* message = std::get_if<send_message>(&out[index]);
        if (message == nullptr || message->envelope.recipient != self_.host) {
            ++index;
            continue;
        }
        const auto envelope = std::move(std::get<send_message>(out[index]).envelope);
        out.erase(out.begin() + static_cast<std::ptrdiff_t>(index));
        owner_.on_message(envelope, now, out);
        holder_.on_message(envelope, now, out);
    }
}

}  // namespace masticgrade
