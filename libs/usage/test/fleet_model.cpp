#include "fleet_model.hpp"

#include <algorithm>
#include <utility>

namespace masticgrade::test {

stored_usage_record model_store::read() const {
    if (row_.version == 0) {
        return {std::nullopt, fleet_version{}, era_};
    }
    return {decode_usage_record(row_.value), fleet_version{row_.version}, era_};
}

model_store::outcome model_store::commit(const usage_record& record, fleet_version expected) {
    if (row_.version != expected.value()) {
        return {false, fleet_version{}, era_};
    }
    row_ = {encode_usage_record(record, counter_), ++counter_};
    return {true, fleet_version{row_.version}, era_};
}

void model_store::overwrite(const std::string& value) { row_ = {value, ++counter_}; }

void model_store::copy() {
    copied_row_ = row_;
    copied_counter_ = counter_;
}

void model_store::restore() {
    row_ = copied_row_;
    counter_ = copied_counter_;
    era_ = era_.next();
}

bool model_platform::receive(const host_id& holder, const send_report_step& call, boot_time now,
                             bool is_disturbed) {
    const auto [owner, is_new] = holders_.try_emplace(call.fence, holder);
    if (owner->second != holder) {
        violations.push_back("two holders use one token");
    }
    if (call.fence < highest_fence_) {
        if (is_fencing_) {
            return false;
        }
        if (!is_disturbed) {
            violations.push_back("a lower token than one seen before");
        }
    }
    highest_fence_ = std::max(highest_fence_, call.fence);
    if (!is_disturbed) {
        std::optional<boot_time> other_at;
        for (auto act = acts_.rbegin(); act != acts_.rend() && now - act->at <= lease_; ++act) {
            if (act->holder != holder) {
                other_at = act->at;
            } else if (other_at) {
                violations.push_back("holders alternate within the lease");
                break;
            }
        }
        acts_.push_back({holder, now});
    }
    const auto [known, added] = reports.try_emplace(call.report.window, call.report.counts);
    if (added) {
        arrived_at[call.report.window] = now;
    } else if (known->second != call.report.counts) {
        violations.push_back("two different reports for one window");
    }
    return true;
}

fleet_model::fleet_model(std::size_t hosts, std::uint32_t seed, bool is_fencing)
    : platform(settings.lease, is_fencing), random_(seed) {
    members.resize(hosts);
    for (std::size_t i = 0; i < hosts; ++i) {
        members[i].host = host_id{"host-" + std::to_string(i)};
        start(i);
    }
}

void fleet_model::start(std::size_t host) {
    auto& item = members[host];
    item.incarnation = incarnation_number{++starts_};
    item.is_alive = true;
    item.frozen_until = now_;
    item.pending.reset();
    item.counter = std::make_unique<operation_counter>(settings.window);
    item.collector = std::make_unique<usage_collector>(settings.window, item.incarnation);
    item.reporter = std::make_unique<usage_reporter>(
        usage_reporter::identity{item.host, item.incarnation}, settings, now_, wall_);
}

void fleet_model::kill(std::size_t host) {
    auto& item = members[host];
    if (item.pending && chance(0.5)) {
        late_calls_.push_back({now_ + milliseconds{200}, item.host, *item.pending});
    }
    item.pending.reset();
    item.is_alive = false;
}

bool fleet_model::chance(double probability) {
    return std::bernoulli_distribution{probability}(random_);
}

bool fleet_model::is_running(const member& item) const {
    return item.is_alive && item.frozen_until <= now_;
}

void fleet_model::work(std::size_t host, const std::string& customer, unsigned count) {
    if (!is_running(members[host])) {
        return;
    }
    for (unsigned i = 0; i < count; ++i) {
        members[host].counter->count(customer_id{customer}, wall_);
    }
    truth[window_at(wall_, settings.window)][customer_id{customer}] += count;
}

std::optional<std::size_t> fleet_model::holder() const {
    for (std::size_t i = 0; i < members.size(); ++i) {
        if (members[i].is_alive && members[i].reporter->is_holder()) {
            return i;
        }
    }
    return std::nullopt;
}

std::vector<collector_candidate> fleet_model::live_hosts() const {
    std::vector<collector_candidate> result;
    for (std::size_t i = 0; i < members.size(); ++i) {
        if (is_running(members[i]) && !members[i].is_cut_off) {
            result.push_back({members[i].host, failure_domain_id{std::to_string(i % 3)}, 10});
        }
    }
    return result;
}

void fleet_model::heal() {
    fault_probability_ = 0;
    lost_answers = 0;
    store.is_away = false;
    platform.is_away = false;
    store_back_at_ = now_;
    platform_back_at_ = now_;
    for (std::size_t i = 0; i < members.size(); ++i) {
        auto& item = members[i];
        item.frozen_until = std::min(item.frozen_until, now_);
        item.is_refused = false;
        item.misses_platform = false;
        item.is_cut_off = false;
        if (!item.is_alive) {
            start(i);
        }
    }
}

void fleet_model::inject_fault() {
    auto& item = members[random_() % members.size()];
    const auto index = static_cast<std::size_t>(&item - members.data());
    const auto for_some_time = [&] { return milliseconds{100 + random_() % 8000}; };
    switch (random_() % 11) {
        case 0:
            kill(index);
            break;
        case 1:
            item.frozen_until = now_ + for_some_time();
            break;
        case 2:
            item.is_refused = !item.is_refused;
            break;
        case 3:
            item.is_cut_off = !item.is_cut_off;
            break;
        case 4:
            store_back_at_ = now_ + for_some_time();
            break;
        case 5:
            platform_back_at_ = now_ + for_some_time();
            break;
        case 6:
            store.copy();
            break;
        case 7:
            store.restore();
            break;
        case 8:
            lost_answers = lost_answers > 0 ? 0 : 0.4;
            break;
        case 9:
            item.misses_platform = !item.misses_platform;
            break;
        default:
            for (std::size_t i = 0; i < members.size(); ++i) {
                if (!members[i].is_alive) {
                    start(i);
                }
            }
    }
}

void fleet_model::run(milliseconds length) {
    const auto end = now_ + length;
    while (now_ < end) {
        now_ += tick;
        wall_ += tick;
        if (chance(fault_probability_)) {
            inject_fault();
        }
        store.is_away = now_ < store_back_at_;
        platform.is_away = now_ < platform_back_at_;
        carry_out_late_calls();
        if (now_.time_since_epoch() % seconds{1} == seconds{0}) {
            exchange_totals();
        }
        for (auto& item : members) {
            if (is_running(item)) {
                step(item);
            }
        }
    }
}

void fleet_model::exchange_totals() {
    const auto collectors = choose_collectors(live_hosts());
    for (auto& item : members) {
        if (!is_running(item)) {
            continue;
        }
        item.counter->keep_collectors({collectors.begin(), collectors.end()});
        for (auto& other : members) {
            const bool is_collector =
                std::find(collectors.begin(), collectors.end(), other.host) != collectors.end();
            const bool reaches = &item == &other || (!item.is_cut_off && !other.is_cut_off);
            if (!is_collector || !reaches || !is_running(other)) {
                continue;
            }
            const auto update = item.counter->next_update(other.host, wall_);
            other.collector->on_update(item.host, item.incarnation, update, wall_);
            if (!chance(0.1)) {
                item.counter->on_acknowledged(other.host, other.incarnation, update.revision);
            }
        }
    }
}

void fleet_model::step(member& item) {
    if (item.pending) {
        if (now_ >= item.pending_until) {
            finish(item);
        }
        return;
    }
    // A host that is cut off hears only itself.
    const auto hosts =
        item.is_cut_off ? std::vector<collector_candidate>{{item.host, {}, 10}} : live_hosts();
    std::vector<host_id> live;
    live.reserve(hosts.size());
    for (const auto& host : hosts) {
        live.push_back(host.host);
    }
    const auto collectors = choose_collectors(hosts);
    const auto found = std::find(collectors.begin(), collectors.end(), item.host);
    usage_reporter::view state{now_, wall_, std::nullopt, live, *item.collector, members.size()};
    if (found != collectors.end()) {
        state.rank = static_cast<std::size_t>(found - collectors.begin());
    }
    if (auto decided = item.reporter->next(state)) {
        begin(item, std::move(*decided));
    }
}

void fleet_model::begin(member& item, usage_step step) {
    item.sent_at = now_;
    if (std::holds_alternative<send_report_step>(step)) {
        // The call arrives at once, so that its freshness was checked at the time of arrival.
        answer(item, std::get<send_report_step>(step));
        return;
    }
    item.pending = std::move(step);
    item.pending_until = now_ + (random_() % 3) * tick;
}

void fleet_model::finish(member& item) {
    const auto step = *std::exchange(item.pending, std::nullopt);
    if (const auto* reading = std::get_if<read_record_step>(&step)) {
        answer(item, *reading);
    } else if (const auto* writing = std::get_if<write_record_step>(&step)) {
        answer(item, *writing);
    }
}

void fleet_model::answer(member& item, const read_record_step& /*step*/) {
    if (store.is_away || item.is_refused) {
        item.reporter->on_store_failed(now_);
    } else {
        item.reporter->on_record(store.read(), now_);
    }
}

void fleet_model::answer(member& item, const write_record_step& step) {
    if (store.is_away || item.is_refused) {
        item.reporter->on_store_failed(now_);
        return;
    }
    if (chance(lost_answers)) {
        late_calls_.push_back({now_ + milliseconds{random_() % 4000}, item.host, step});
        item.reporter->on_store_failed(now_);
        return;
    }
    const auto result = store.commit(step.record, step.version);
    item.reporter->on_commit(step, result.committed, result.version, result.era, item.sent_at);
}

void fleet_model::answer(member& item, const send_report_step& step) {
    if (platform.is_away || item.misses_platform || chance(lost_answers)) {
        if (!item.misses_platform && chance(0.7)) {
            late_calls_.push_back({now_ + milliseconds{random_() % 4000}, item.host, step});
        }
        item.reporter->on_sent(step, report_outcome::unknown, now_);
        return;
    }
    const bool accepted = platform.receive(item.host, step, now_, false);
    item.reporter->on_sent(step, accepted ? report_outcome::done : report_outcome::refused, now_);
}

void fleet_model::carry_out_late_calls() {
    for (const auto& call : std::exchange(late_calls_, {})) {
        if (call.at > now_) {
            late_calls_.push_back(call);
        } else if (const auto* writing = std::get_if<write_record_step>(&call.step)) {
            store.commit(writing->record, writing->version);
        } else if (const auto* sending = std::get_if<send_report_step>(&call.step)) {
            platform.receive(call.host, *sending, now_, true);
        }
    }
}

}  // namespace masticgrade::test
