#include "share_simulation.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "masticgrade/version/rendezvous.hpp"

namespace masticgrade::simulation {

namespace {

constexpr duration tick = milliseconds(10);

host_id name_of(int host) { return host_id{fmt::format("host-{}", host)}; }
double to_seconds(duration span) { return std::chrono::duration<double>(span).count(); }
duration from_seconds(double span) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(span));
}

}  // namespace

fleet::fleet(options settings, std::uint64_t seed)
    : options_(settings), random_(seed), now_(time_point{} + seconds(1000)) {
    fleet_snapshot first;
    for (int index = 0; index < options_.hosts; ++index) {
        auto& added = hosts_.emplace_back();
        added.clock_offset = seconds(17 * index);
        start_process(index);
        added.running->joining = false;
        first.hosts.hosts[name_of(index)] = {name_of(index), endpoint_address{},
                                             failure_domain_id{},
                                             added.running->identity.incarnation};
    }
    publish(std::move(first), true);
    for (int index = 0; index < options_.hosts; ++index) {
        poll(index);
        exchange(index);
    }
}

void fleet::set_customer(const std::string& name, double rate, double burst) {
    const customer_id id{name};
    auto next = *latest_;
    next.config.customers[id] = {id, rate, burst, {}, {}};
    publish(std::move(next), false);
    auto& state = customers_[name];
    if (state.configs.empty()) {
        state.load.resize(hosts_.size());
        state.reference = {rate, burst, burst, now_};
    }
    state.reference.rate = rate;
    state.reference.burst = burst;
    state.configs[latest_->version] = latest_->config.customers.at(id);
}

void fleet::set_load(const std::string& name, int host, double statements_per_second) {
    customers_.at(name).load[host] = statements_per_second;
    schedule_statement(name, host, ++load_generation_[{name, host}]);
}

void fleet::redistribute_load(int from) {
    for (auto& [name, state] : customers_) {
        const auto load_per_host = state.load[from] / (options_.hosts - 1);
        set_load(name, from, 0);
        for (int index = 0; index < options_.hosts; ++index) {
            if (index != from) {
                set_load(name, index, state.load[index] + load_per_host);
            }
        }
    }
}

void fleet::run_for(duration span) {
    const auto end = now_ + span;
    while (now_ < end) {
        auto next = std::min(end, now_ + tick);
        for (int index = 0; index < options_.hosts; ++index) {
            if (runs(index)) {
                const auto timer = hosts_[index].running->shares->next_timer();
                if (timer != time_point::max()) {
                    next = std::min(next, timer - hosts_[index].clock_offset);
                }
            }
        }
        next = std::max(next, now_);
        if (!events_.empty() && events_.top().when <= next) {
            const auto due = events_.top();
            events_.pop();
            advance_to(std::max(now_, due.when));
            due.run();
            continue;
        }
        advance_to(next);
        for (int index = 0; index < options_.hosts; ++index) {
            run_timers(index);
        }
        maintain_members();
        check_share_sums();
    }
}

void fleet::advance_to(time_point when) {
    remove_obsolete_configs();
    advance_bounds(when);
    now_ = when;
    for (int index = 0; index < options_.hosts; ++index) {
        auto& host = hosts_[index];
        if (!host.deferred.empty() && runs(index)) {
            auto deferred = std::move(host.deferred);
            host.deferred.clear();
            for (const auto& run : deferred) {
                run();
            }
        }
    }
}

void fleet::advance_bounds(time_point when) {
    for (auto& [name, state] : customers_) {
        double rate = 0;
        for (const auto& [version, config] : state.configs) {
            rate = std::max(rate, config.rate);
        }
        state.bound.integral += rate * to_seconds(when - now_);
    }
}

void fleet::check_share_sums() {
    for (const auto& [name, state] : customers_) {
        share_fraction sum;
        for (const auto& host : hosts_) {
            if (host.running == nullptr || now_ >= host.running->fresh_until) {
                continue;
            }
            const auto held = host.running->shares->holder().held(customer_id{name});
            const auto pool = host.running->shares->owner().pool(customer_id{name});
            sum.rate += held.rate + pool.rate;
            sum.burst += held.burst + pool.burst;
        }
        max_share_sum_ = std::max({max_share_sum_, sum.rate, sum.burst});
    }
}

void fleet::remove_obsolete_configs() {
    for (auto& [name, state] : customers_) {
        if (state.configs.size() < 2) {
            continue;
        }
        const auto newest = state.configs.rbegin()->first;
        for (auto item = state.configs.begin(); item->first != newest;) {
            const auto next = std::next(item)->first;
            const bool used = std::any_of(hosts_.begin(), hosts_.end(), [&](const host& h) {
                if (h.running == nullptr || h.running->snapshot == nullptr) {
                    return false;
                }
                const auto& list = latest_->hosts.hosts;
                const auto entry = list.find(h.running->identity.host);
                const bool member = entry != list.end() &&
                                    entry->second.incarnation == h.running->identity.incarnation;
                return h.running->snapshot->version < next &&
                       (member || now_ < h.running->fresh_until);
            });
            auto& obsolete = state.obsolete_at.try_emplace(item->first, now_).first->second;
            if (used) {
                obsolete = now_;
            }
            // Tokens granted under the old configuration may still be in transit.
            if (now_ - obsolete > milliseconds(300)) {
                item = state.configs.erase(item);
            } else {
                ++item;
            }
        }
    }
}

void fleet::publish(fleet_snapshot next, bool members_changed) {
    next.version = latest_ == nullptr ? fleet_version{1} : latest_->version.next();
    if (members_changed) {
        next.hosts.version = next.version;
    }
    latest_ = std::make_shared<const fleet_snapshot>(std::move(next));
}

bool fleet::last_change_accepted() const {
    std::size_t aware = 0;
    for (const auto& host : hosts_) {
        if (host.running == nullptr || host.running->snapshot == nullptr) {
            continue;
        }
        const auto entry = latest_->hosts.hosts.find(host.running->identity.host);
        if (entry != latest_->hosts.hosts.end() &&
            entry->second.incarnation == host.running->identity.incarnation &&
            host.running->snapshot->hosts.version == latest_->hosts.version) {
            ++aware;
        }
    }
    return store_available_ && aware >= latest_->hosts.majority();
}

void fleet::start_process(int host) {
    auto started = std::make_unique<process>();
    started->identity = {name_of(host), incarnation_number{next_incarnation_++}};
    started->shares =
        std::make_unique<rate_shares>(started->identity, options_.settings, local(host));
    started->joining = true;
    hosts_[host].running = std::move(started);
    hosts_[host].died_at.reset();
    hosts_[host].deferred.clear();
}

void fleet::kill(int host) {
    hosts_[host].running.reset();
    hosts_[host].deferred.clear();
    hosts_[host].died_at = now_;
    std::erase_if(open_, [&](const auto& item) { return item.first.first.host == name_of(host); });
}

void fleet::restart(int host) {
    kill(host);
    start_process(host);
}

void fleet::pause(int host, duration span) {
    hosts_[host].paused_until = std::max(hosts_[host].paused_until, now_ + span);
}

void fleet::set_isolated(int host, bool isolated, bool from_store) {
    hosts_[host].isolated = isolated;
    hosts_[host].isolated_from_store = isolated && from_store;
}

void fleet::remove_member(int host) {
    if (latest_->hosts.hosts.size() <= 2 || !latest_->hosts.hosts.contains(name_of(host)) ||
        !last_change_accepted()) {
        return;
    }
    auto next = *latest_;
    next.hosts.hosts.erase(name_of(host));
    publish(std::move(next), true);
}

void fleet::leave(int host) {
    if (!runs(host) || hosts_[host].isolated_from_store || !last_change_accepted() ||
        latest_->hosts.hosts.size() <= 2) {
        return;
    }
    auto& running = *hosts_[host].running;
    const auto entry = latest_->hosts.hosts.find(name_of(host));
    // The change is conditional on the list version that this host uses.
    if (running.snapshot == nullptr || entry == latest_->hosts.hosts.end() ||
        entry->second.incarnation != running.identity.incarnation ||
        running.snapshot->hosts.version != latest_->hosts.version) {
        return;
    }
    auto next = *latest_;
    next.hosts.hosts.erase(name_of(host));
    publish(std::move(next), true);
    running.leaving = true;
    apply(host, latest_);
    running.shares->on_left();
    const auto incarnation = running.identity.incarnation;
    schedule(now_ + seconds(2), [this, host, incarnation] {
        if (hosts_[host].running != nullptr &&
            hosts_[host].running->identity.incarnation == incarnation) {
            kill(host);
        }
    });
}

void fleet::maintain_members() {
    for (int index = 0; index < options_.hosts; ++index) {
        auto& host = hosts_[index];
        if (host.died_at && now_ - *host.died_at > options_.removal_delay) {
            remove_member(index);
        }
        if (!runs(index) || host.running->leaving) {
            continue;
        }
        auto& running = *host.running;
        if (running.joining && !host.isolated_from_store && last_change_accepted()) {
            auto next = *latest_;
            next.hosts.hosts[name_of(index)] = {name_of(index), endpoint_address{},
                                                failure_domain_id{}, running.identity.incarnation};
            publish(std::move(next), true);
            running.joining = false;
        } else if (!running.joining && running.snapshot != nullptr) {
            const auto entry = running.snapshot->hosts.hosts.find(name_of(index));
            const bool older = entry != running.snapshot->hosts.hosts.end() &&
                               entry->second.incarnation < running.identity.incarnation;
            if (!older && (entry == running.snapshot->hosts.hosts.end() ||
                           entry->second.incarnation != running.identity.incarnation)) {
                // A process that started after its snapshot was taken has yet to learn that it
                // joined.
                const auto listed = latest_->hosts.hosts.find(name_of(index));
                if (listed == latest_->hosts.hosts.end() ||
                    listed->second.incarnation != running.identity.incarnation) {
                    restart(index);
                }
            }
        }
    }
}

void fleet::poll(int host) {
    const auto sent = now_;
    if (runs(host) && store_available_ && !hosts_[host].isolated_from_store) {
        const auto incarnation = hosts_[host].running->identity.incarnation;
        const auto half = random_delay();
        schedule(now_ + half, [this, host, sent, incarnation, half] {
            const auto snapshot = latest_;
            schedule(now_ + half, [this, host, sent, incarnation, snapshot] {
                on_host(host, [this, host, sent, incarnation, snapshot] {
                    auto& running = *hosts_[host].running;
                    if (running.identity.incarnation != incarnation) {
                        return;
                    }
                    apply(host, snapshot);
                    if (running.snapshot == snapshot) {
                        running.fresh_until =
                            std::max(running.fresh_until, sent + options_.freshness_window);
                        running.shares->on_freshness(running.fresh_until +
                                                     hosts_[host].clock_offset);
                    }
                });
            });
        });
    }
    const auto wait = std::uniform_int_distribution<int>(800, 1200)(random_);
    schedule(now_ + milliseconds(wait), [this, host] { poll(host); });
}

void fleet::exchange(int host) {
    auto& own = hosts_[host];
    if (runs(host) && !own.isolated && own.running->snapshot != nullptr) {
        for (int peer = 0; peer < options_.hosts; ++peer) {
            if (runs(peer) && !hosts_[peer].isolated && hosts_[peer].running->snapshot != nullptr) {
                apply(host, hosts_[peer].running->snapshot);
            }
        }
        const auto& list = own.running->snapshot->hosts;
        std::size_t current = 0;
        for (int peer = 0; peer < options_.hosts; ++peer) {
            const auto entry = list.hosts.find(name_of(peer));
            current += runs(peer) && !hosts_[peer].isolated && entry != list.hosts.end() &&
                       entry->second.incarnation == hosts_[peer].running->identity.incarnation;
        }
        if (current >= list.majority()) {
            own.running->fresh_until = now_ + options_.freshness_window;
            own.running->shares->on_freshness(own.running->fresh_until + own.clock_offset);
        }
    }
    const auto wait = std::uniform_int_distribution<int>(400, 600)(random_);
    schedule(now_ + milliseconds(wait), [this, host] { exchange(host); });
}

void fleet::apply(int host, const fleet_snapshot_ptr& snapshot) {
    auto& running = *hosts_[host].running;
    if (running.snapshot != nullptr && running.snapshot->version >= snapshot->version) {
        return;
    }
    running.snapshot = snapshot;
    share_actions actions;
    running.shares->on_snapshot(snapshot, local(host), actions);
    execute(host, actions);
}

void fleet::run_timers(int host) {
    if (!runs(host)) {
        return;
    }
    auto& shares = *hosts_[host].running->shares;
    if (shares.next_timer() <= local(host)) {
        share_actions actions;
        shares.on_timer(local(host), actions);
        execute(host, actions);
    }
}

void fleet::execute(int host, share_actions& actions) {
    for (auto& action : actions) {
        if (const auto* message = std::get_if<send_message>(&action)) {
            if (!hosts_[host].isolated) {
                transmit(message->envelope);
            }
            continue;
        }
        const auto* done = std::get_if<statement_admitted>(&action);
        const auto ticket =
            done != nullptr ? done->ticket : std::get<statement_refused>(action).ticket;
        const auto found = open_.find({hosts_[host].running->identity, ticket});
        if (found == open_.end()) {
            continue;
        }
        if (done != nullptr) {
            count_admitted(found->second.customer);
        } else {
            count_refused(found->second.customer, found->second.within_rate,
                          std::get<statement_refused>(action).reason);
        }
        open_.erase(found);
    }
}

void fleet::transmit(const share_envelope& envelope) {
    ++messages_;
    const auto& network = options_.network;
    const int copies = chance(network.loss_probability)        ? 0
                       : chance(network.duplicate_probability) ? 2
                                                               : 1;
    int recipient = 0;
    while (name_of(recipient) != envelope.recipient) {
        ++recipient;
    }
    for (int copy = 0; copy < copies; ++copy) {
        auto delay = random_delay();
        if (chance(network.delay_probability)) {
            delay += std::chrono::microseconds(std::uniform_int_distribution<std::int64_t>(
                0, network.max_extra_delay.count())(random_));
        }
        schedule(now_ + delay, [this, recipient, envelope] {
            if (hosts_[recipient].isolated) {
                return;
            }
            on_host(recipient, [this, recipient, envelope] {
                share_actions actions;
                hosts_[recipient].running->shares->on_message(envelope, local(recipient), actions);
                execute(recipient, actions);
            });
        });
    }
}

void fleet::schedule_statement(const std::string& name, int host, std::uint64_t generation) {
    const auto rate = customers_.at(name).load[host];
    if (rate <= 0) {
        return;
    }
    const auto gap = from_seconds(std::exponential_distribution<double>(rate)(random_));
    schedule(now_ + gap, [this, name, host, generation] {
        if (load_generation_[{name, host}] == generation) {
            submit_statement(name, host);
            schedule_statement(name, host, generation);
        }
    });
}

bool fleet::is_ready(int host) const {
    if (!runs(host) || hosts_[host].running->snapshot == nullptr) {
        return false;
    }
    const auto& running = *hosts_[host].running;
    const auto entry = running.snapshot->hosts.hosts.find(name_of(host));
    return entry != running.snapshot->hosts.hosts.end() &&
           entry->second.incarnation == running.identity.incarnation &&
           running.shares->owner().is_ready();
}

int fleet::select_host(int host) {
    if (!options_.has_load_balancer || is_ready(host)) {
        return host;
    }
    std::vector<int> ready;
    for (int index = 0; index < options_.hosts; ++index) {
        if (is_ready(index)) {
            ready.push_back(index);
        }
    }
    return ready.empty()
               ? host
               : ready[std::uniform_int_distribution<std::size_t>(0, ready.size() - 1)(random_)];
}

void fleet::submit_statement(const std::string& name, int intended) {
    const auto host = select_host(intended);
    if (hosts_[host].running == nullptr) {
        return;
    }
    on_host(host, [this, name, host] {
        auto& state = customers_.at(name);
        ++state.result.requested;
        const bool within_rate = state.reference.admit(options_.settings.max_token_wait, now_);
        state.result.within_rate += within_rate;
        auto& running = *hosts_[host].running;
        share_actions actions;
        const auto result = running.shares->admit(customer_id{name}, local(host) + seconds(5),
                                                  local(host), actions);
        if (std::holds_alternative<admitted>(result)) {
            count_admitted(name);
        } else if (const auto* wait = std::get_if<waiting>(&result)) {
            open_[{running.identity, wait->ticket}] = {name, within_rate};
        } else {
            count_refused(name, within_rate, std::get<refused>(result).reason);
        }
        execute(host, actions);
    });
}

bool fleet::reference_limit::admit(duration max_wait, time_point now) {
    level = std::min(burst, level + rate * to_seconds(now - updated));
    updated = now;
    if (level + rate * to_seconds(max_wait) < 1) {
        return false;
    }
    level -= 1;
    return true;
}

void fleet::count_refused(const std::string& name, bool within_rate, refusal_reason reason) {
    auto& result = customers_.at(name).result;
    ++result.refused;
    if (reason == refusal_reason::not_current) {
        ++result.not_current;
    } else {
        result.refused_within_rate += within_rate;
    }
}

void fleet::count_admitted(const std::string& name) {
    auto& state = customers_.at(name);
    ++state.result.admitted;
    double burst = 0;
    for (const auto& [version, config] : state.configs) {
        burst = std::max(burst, config.burst);
    }
    auto& bound = state.bound;
    const auto before = static_cast<double>(bound.admitted);
    bound.min_start = std::min(bound.min_start, burst - bound.integral + before);
    ++bound.admitted;
    bound.worst = std::max(bound.worst, before + 1 - bound.integral - bound.min_start);
}

void fleet::reset_counts() {
    for (auto& [name, state] : customers_) {
        state.result = {};
    }
}

counts fleet::total() const {
    counts sum;
    for (const auto& [name, state] : customers_) {
        sum.requested += state.result.requested;
        sum.admitted += state.result.admitted;
        sum.refused += state.result.refused;
        sum.within_rate += state.result.within_rate;
        sum.refused_within_rate += state.result.refused_within_rate;
        sum.not_current += state.result.not_current;
    }
    return sum;
}

const counts& fleet::of(const std::string& name) const { return customers_.at(name).result; }

double fleet::max_excess() const {
    double worst = -1e300;
    for (const auto& [name, state] : customers_) {
        worst = std::max(worst, state.bound.worst);
    }
    return worst;
}

int fleet::owner_of(const std::string& name) const {
    const auto owner = rank_hosts(latest_->hosts, name, 1).front();
    int host = 0;
    while (name_of(host) != owner) {
        ++host;
    }
    return host;
}

void fleet::schedule(time_point when, std::function<void()> run) {
    events_.push({when, order_++, std::move(run)});
}

void fleet::on_host(int host, const std::function<void()>& run) {
    if (hosts_[host].running == nullptr) {
        return;
    }
    if (runs(host)) {
        run();
    } else {
        hosts_[host].deferred.push_back(run);
    }
}

bool fleet::runs(int host) const {
    return hosts_[host].running != nullptr && now_ >= hosts_[host].paused_until;
}

time_point fleet::local(int host) const { return now_ + hosts_[host].clock_offset; }

duration fleet::random_delay() {
    return std::chrono::microseconds(std::uniform_int_distribution<std::int64_t>(
        options_.network.min_delay.count(), options_.network.max_delay.count())(random_));
}

bool fleet::chance(double probability) {
    return probability > 0 && std::bernoulli_distribution(probability)(random_);
}

}  // namespace masticgrade::simulation
