#include "fleet_simulation.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "masticgrade/process/quorum.hpp"

namespace masticgrade::test {

namespace {

constexpr milliseconds tick_interval{100};
constexpr milliseconds poll_interval{1000};
constexpr milliseconds exchange_timeout{500};

}  // namespace

fleet_simulation::fleet_simulation(simulation_settings settings, std::uint64_t seed)
    : settings_(settings), random_(seed), now_(time_point{} + seconds{1000}) {
    versions_[fleet_version{}] = {};
    for (std::size_t i = 0; i < settings_.hosts; ++i) {
        start(add_host());
    }
    if (settings_.listed_at_start) {
        members list;
        for (const auto& each : hosts_) {
            auto listed = each.description;
            listed.incarnation = each.running->membership.self().incarnation;
            list.hosts[listed.id] = std::move(listed);
        }
        record_version(std::move(list));
    }
}

void fleet_simulation::run(milliseconds length) {
    const auto end = now_ + length;
    while (!events_.empty() && events_.top().at <= end) {
        const auto next = events_.top();
        events_.pop();
        now_ = next.at;
        next.action();
    }
    now_ = end;
}

void fleet_simulation::set_store_reachable(std::size_t host, bool reachable) {
    hosts_[host].store_reachable = reachable;
}

void fleet_simulation::cut_link(std::size_t left, std::size_t right, bool cut) {
    const auto link = std::minmax(left, right);
    if (cut) {
        cut_links_.insert(link);
    } else {
        cut_links_.erase(link);
    }
}

void fleet_simulation::pause(std::size_t host, milliseconds length) {
    hosts_[host].paused_until = std::max(hosts_[host].paused_until, now_ + length);
}

void fleet_simulation::restart(std::size_t host) {
    kill(host);
    start(host);
}

std::size_t fleet_simulation::replace(std::size_t host) {
    kill(host);
    return add();
}

std::size_t fleet_simulation::add() {
    const auto added = add_host();
    start(added);
    return added;
}

void fleet_simulation::kill(std::size_t host) {
    hosts_[host].running.reset();
    hosts_[host].paused_until = time_point::min();
}

void fleet_simulation::change_configuration() { record_version(store_list()); }

std::vector<std::size_t> fleet_simulation::alive_hosts() const {
    std::vector<std::size_t> alive;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (hosts_[i].running) {
            alive.push_back(i);
        }
    }
    return alive;
}

bool fleet_simulation::may_start_work(std::size_t host) const {
    return hosts_[host].running && hosts_[host].paused_until <= now_ &&
           hosts_[host].running->freshness.may_start_work(now_);
}

std::optional<duration> fleet_simulation::current_age(std::size_t host) const {
    return hosts_[host].running->freshness.current_age(now_);
}

bool fleet_simulation::listed(std::size_t host) const {
    return store_list().hosts.contains(hosts_[host].description.id);
}

fleet_version fleet_simulation::applied_version(std::size_t host) const {
    return hosts_[host].running ? hosts_[host].running->applied : fleet_version{};
}

std::size_t fleet_simulation::accepted_versions() const {
    return static_cast<std::size_t>(
        std::count_if(versions_.begin(), versions_.end(),
                      [](const auto& entry) { return entry.second.accepted_at.has_value(); }));
}

std::size_t fleet_simulation::add_host() {
    const auto number = hosts_.size();
    member description{host_id{fmt::format("host-{:03}", number)},
                       endpoint_address{fmt::format("10.0.0.{}:1", number)},
                       failure_domain_id{fmt::format("fd-{}", number % 4)},
                       {}};
    numbers_[description.id] = number;
    hosts_.push_back({std::move(description), nullptr});
    return number;
}

void fleet_simulation::start(std::size_t host) {
    auto& self = hosts_[host];
    self.running = std::make_shared<process>(self.description, settings_, random_(), now_);
    tick(host);
    poll_store(host);
}

void fleet_simulation::schedule(milliseconds delay, std::function<void()> action) {
    events_.push({now_ + delay, next_order_++, std::move(action)});
}

void fleet_simulation::deliver(std::size_t host, const std::weak_ptr<process>& target,
                               const process_action& action) {
    const auto running = target.lock();
    if (!running || hosts_[host].running != running) {
        return;
    }
    if (hosts_[host].paused_until > now_) {
        const auto remaining = std::chrono::ceil<milliseconds>(hosts_[host].paused_until - now_);
        schedule(remaining, [=, this] { deliver(host, target, action); });
        return;
    }
    action(*running);
    check_work(host);
}

void fleet_simulation::send(std::size_t from, std::size_t to, const process_action& action) {
    if (!connected(from, to) || chance(loss_probability_) || !hosts_[to].running) {
        return;
    }
    // The receiving process is resolved on arrival: after a restart it listens on the same address.
    schedule(random_delay(), [=, this] {
        if (connected(from, to)) {
            deliver(to, hosts_[to].running, action);
        }
    });
}

bool fleet_simulation::connected(std::size_t left, std::size_t right) const {
    const auto side = [&](std::size_t host) {
        const auto found = sides_.find(host);
        return found == sides_.end() ? 0 : found->second;
    };
    return side(left) == side(right) && !cut_links_.contains(std::minmax(left, right));
}

milliseconds fleet_simulation::random_delay() {
    const auto max_delay = chance(delay_probability_) ? milliseconds{5000} : settings_.max_delay;
    return milliseconds{
        std::uniform_int_distribution<milliseconds::rep>{1, max_delay.count()}(random_)};
}

bool fleet_simulation::chance(double probability) {
    return std::bernoulli_distribution{probability}(random_);
}

void fleet_simulation::tick(std::size_t host) {
    const std::weak_ptr<process> target = hosts_[host].running;
    deliver(host, target, [=, this](process& self) {
        for (const auto& action : self.membership.tick(now_)) {
            if (const auto* exchange_action = std::get_if<send_exchange>(&action)) {
                exchange(host, exchange_action->peer);
            } else {
                commit_members(host, std::get<change_members>(action));
            }
        }
        schedule(tick_interval, [=, this] {
            if (hosts_[host].running && hosts_[host].running == target.lock()) {
                tick(host);
            }
        });
    });
}

void fleet_simulation::poll_store(std::size_t host) {
    const std::weak_ptr<process> target = hosts_[host].running;
    deliver(host, target, [=, this](process&) {
        const auto sent_at = now_;
        schedule(random_delay(), [=, this] {
            if (!store_available_ || !hosts_[host].store_reachable || chance(loss_probability_)) {
                return;
            }
            const auto version = store_version();
            schedule(random_delay(), [=, this] {
                deliver(host, target, [=, this](process& self) {
                    self.freshness.on_store_read({sent_at, version}, now_);
                    self.membership.on_store_answered(now_);
                    apply(host, version);
                });
            });
        });
        schedule(poll_interval * 4 / 5 + poll_interval * chance(0.5) * 2 / 5, [=, this] {
            if (hosts_[host].running && hosts_[host].running == target.lock()) {
                poll_store(host);
            }
        });
    });
}

void fleet_simulation::exchange(std::size_t host, const host_id& peer) {
    ++exchanges_;
    const auto peer_number = number_of(peer);
    const std::weak_ptr<process> requester_process = hosts_[host].running;
    const auto requester = hosts_[host].running->membership.self();
    const auto requester_version = hosts_[host].running->applied;
    const auto requester_list = versions_.at(requester_version).list.version;
    const auto sent_at = now_;
    const auto answered = std::make_shared<bool>(false);
    send(host, *peer_number, [=, this](process& self) {
        self.freshness.on_version_seen(requester_version);
        self.membership.on_message_received(requester, requester_list, now_);
        if (requester_version > self.applied) {
            fetch_rows(*peer_number, host);
        }
        answer_exchange(*peer_number, host, self, requester_process, sent_at, answered);
    });
    schedule(exchange_timeout, [=, this] {
        if (!*answered) {
            deliver(host, requester_process,
                    [=, this](process& self) { self.membership.on_exchange_failed(peer, now_); });
        }
    });
}

void fleet_simulation::answer_exchange(std::size_t host, std::size_t requester, process& self,
                                       const std::weak_ptr<process>& requester_process,
                                       time_point sent_at, const std::shared_ptr<bool>& answered) {
    if (!self.has_snapshot) {
        return;
    }
    exchange_answer answer{sent_at,
                           self.membership.self(),
                           self.applied,
                           versions_.at(self.applied).list.version,
                           self.freshness.current_age(now_),
                           self.freshness.packed_ages(now_)};
    const auto report = self.membership.report();
    send(host, requester, [=, this](process& receiver) {
        if (hosts_[requester].running != requester_process.lock()) {
            return;
        }
        // Delivers replies after the timeout too, although the real network drops them at the
        // deadline.
        *answered = true;
        receiver.freshness.on_exchange_answer(answer, now_);
        receiver.membership.on_exchange_answer(answer, report, now_);
        if (answer.version > receiver.applied) {
            fetch_rows(requester, host);
        }
    });
}

void fleet_simulation::fetch_rows(std::size_t host, std::size_t peer) {
    const std::weak_ptr<process> requester_process = hosts_[host].running;
    send(host, peer, [=, this](process& self) {
        const auto version = self.applied;
        send(peer, host, [=, this](process&) {
            if (hosts_[host].running == requester_process.lock()) {
                apply(host, version);
            }
        });
    });
}

void fleet_simulation::commit_members(std::size_t host, const change_members& change) {
    const std::weak_ptr<process> target = hosts_[host].running;
    const auto finish = [=, this](bool committed) {
        deliver(host, target,
                [=, this](process& self) { self.membership.on_change_finished(committed, now_); });
    };
    schedule(random_delay(), [=, this] {
        if (!store_available_ || !hosts_[host].store_reachable || chance(loss_probability_)) {
            return;
        }
        const bool committed = store_list().version == change.based_on;
        if (committed) {
            record_version(change.proposed);
        }
        if (!chance(loss_probability_)) {
            schedule(random_delay(), [=] { finish(committed); });
        }
    });
}

void fleet_simulation::record_version(members list) {
    const auto& previous = store_list();
    const auto version = store_version().next();
    const bool changed = list.hosts != previous.hosts;
    for (const auto& [id, removed] : previous.hosts) {
        if (!list.hosts.contains(id)) {
            ++removals_;
            removals_of_living_ += hosts_[*number_of(id)].running ? 1 : 0;
        }
    }
    list.version = changed ? version : previous.version;
    versions_[version] = {std::move(list), {}, {}};
}

void fleet_simulation::apply(std::size_t host, fleet_version version) {
    auto& self = *hosts_[host].running;
    if (version < self.applied || (version == self.applied && self.has_snapshot)) {
        return;
    }
    self.applied = version;
    self.has_snapshot = true;
    const auto& list = versions_.at(version).list;
    self.freshness.on_snapshot_applied(version, list);
    self.membership.on_list_applied(list, now_);
    self.freshness.set_self(self.membership.self());
    const auto identity = self.membership.self();
    for (auto& entry : versions_) {
        auto& record = entry.second;
        if (entry.first > version || record.accepted_at) {
            continue;
        }
        record.applied_by.insert({identity.id, identity.incarnation});
        const auto count = std::count_if(
            record.list.hosts.begin(), record.list.hosts.end(), [&](const auto& listed) {
                return record.applied_by.contains({listed.first, listed.second.incarnation});
            });
        if (!record.list.hosts.empty() &&
            static_cast<std::size_t>(count) >= acceptance_quorum(record.list.hosts.size())) {
            record.accepted_at = now_;
        }
    }
}

void fleet_simulation::check_work(std::size_t host) {
    if (!hosts_[host].running || !hosts_[host].running->has_snapshot) {
        return;
    }
    ++work_checks_;
    if (!may_start_work(host)) {
        return;
    }
    ++permitted_;
    const auto applied = hosts_[host].running->applied;
    for (auto newer = versions_.upper_bound(applied); newer != versions_.end(); ++newer) {
        const auto accepted_at = newer->second.accepted_at;
        if (accepted_at && now_ > *accepted_at + freshness::window) {
            violations_.push_back(fmt::format(
                "host {} may start work under version {}, {} ms after version {} was accepted",
                host, applied.value(),
                std::chrono::duration_cast<milliseconds>(now_ - *accepted_at).count(),
                newer->first.value()));
        }
    }
}

std::optional<std::size_t> fleet_simulation::number_of(const host_id& id) const {
    const auto found = numbers_.find(id);
    return found == numbers_.end() ? std::nullopt : std::optional{found->second};
}

}  // namespace masticgrade::test
