/// The faults of the instances of a database_cluster, and what becomes of their logs.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iostream>
#include <utility>

#include "database_instance.hpp"

namespace masticgrade::soak {

namespace asio = boost::asio;

namespace {

/// A replica that was ahead of a promoted one is busy for this long.
constexpr milliseconds rollback_time{300};

}  // namespace

database_cluster::instance& database_cluster::add(const std::string& name) {
    auto& server = *(instances_[name] = std::make_unique<instance>(context_, name));
    set_new_start(server);
    asio::co_spawn(context_, accept(server), asio::detached);
    return server;
}

void database_cluster::set_new_start(instance& server) {
    last_born_ = std::max(last_born_ + 1, static_cast<std::uint64_t>(unix_ms()));
    server.born = last_born_;
    server.up = true;
    server.held = 0;
    server.in_transfer = false;
}

std::uint64_t database_cluster::born(const std::string& name) const {
    return instances_.at(name)->born;
}

void database_cluster::crash(const std::string& name) {
    auto& server = *instances_.at(name);
    server.up = false;
    boost::system::error_code ignored;
    for (const auto& socket : server.sockets) {
        socket->close(ignored);
    }
}

void database_cluster::restart(const std::string& name) {
    auto& server = *instances_.at(name);
    if (server.in_transfer && !server.primary) {
        server.log = server.incoming;
    }
    set_new_start(server);
    catch_up(server);
}

void database_cluster::restart_empty(const std::string& name, milliseconds length) {
    auto& server = *instances_.at(name);
    set_new_start(server);
    server.primary = false;
    server.term = 1;
    server.log.clear();
    server.notes.insert("started again empty");
    const auto* primary = leader();
    const bool has_source = primary != nullptr && primary->up;
    begin_transfer(server, has_source ? primary->log : std::vector<commit>{}, length);
}

void database_cluster::restart_empty_leading(const std::string& name) {
    auto& server = *instances_.at(name);
    set_new_start(server);
    server.log.clear();
    server.has_lost_log = true;
    server.notes.insert("started again empty");
}

std::string database_cluster::join(milliseconds length) {
    auto& server = add("i-" + std::to_string(instances_.size() + 1));
    const auto* primary = leader();
    const bool has_source = primary != nullptr && primary->up;
    begin_transfer(server, has_source ? primary->log : std::vector<commit>{}, length);
    return server.name;
}

database_cluster::instance& database_cluster::add_successor(instance& old) {
    crash(old.name);
    old.notes.insert("ended");
    auto& successor = add("i-" + std::to_string(instances_.size() + 1));
    successor.notes.insert("successor of " + old.name);
    return successor;
}

std::string database_cluster::replace(const std::string& name, milliseconds length) {
    auto& old = *instances_.at(name);
    auto& successor = add_successor(old);
    old.primary = false;
    begin_transfer(successor, std::exchange(old.log, {}), length);
    return successor.name;
}

std::string database_cluster::restart_renamed(const std::string& name) {
    auto& old = *instances_.at(name);
    auto& successor = add_successor(old);
    successor.primary = std::exchange(old.primary, false);
    successor.term = old.term;
    successor.log = std::exchange(old.log, {});
    if (old.in_transfer && !successor.primary) {
        successor.log = std::exchange(old.incoming, {});
    }
    catch_up(successor);
    return successor.name;
}

void database_cluster::begin_transfer(instance& target, std::vector<commit> log,
                                      milliseconds length) {
    target.incoming = std::move(log);
    target.in_transfer = true;
    asio::co_spawn(context_, transfer(target, length), asio::detached);
}

asio::awaitable<void> database_cluster::transfer(instance& target, milliseconds length) {
    constexpr std::size_t parts = 10;
    const auto born = target.born;
    std::size_t part = 1;
    while (part <= parts) {
        asio::steady_timer pause{context_, length / parts};
        co_await pause.async_wait(asio::use_awaitable);
        if (target.born != born) {
            co_return;
        }
        if (target.primary) {
            break;
        }
        if (target.held > 0) {
            continue;
        }
        const auto& log = target.incoming;
        const auto end = log.begin() + static_cast<std::ptrdiff_t>(log.size() * part / parts);
        target.log.assign(log.begin(), end);
        ++part;
    }
    target.in_transfer = false;
    if (!target.log.empty()) {
        target.term = std::max(target.term, target.log.back().index.term.value());
    }
    catch_up(target);
}

void database_cluster::set_deaf(const std::string& name, bool deaf) {
    auto& server = *instances_.at(name);
    server.deaf = deaf;
    catch_up(server);
}

void database_cluster::stop_receiving_after(const std::string& name, std::size_t writes) {
    set_deaf(name, true);
    writes_until_deaf_ = writes;
}

void database_cluster::count_acknowledged(std::size_t writes) {
    if (!writes_until_deaf_) {
        return;
    }
    if (writes < *writes_until_deaf_) {
        *writes_until_deaf_ -= writes;
        return;
    }
    writes_until_deaf_.reset();
    for (auto& [name, server] : instances_) {
        server->deaf = true;
    }
}

void database_cluster::note(const std::string& name, const std::string& fault, bool present) {
    auto& notes = instances_.at(name)->notes;
    if (present) {
        notes.insert(fault);
    } else {
        notes.erase(fault);
    }
}

asio::awaitable<void> database_cluster::order_late(instance& server, std::string word,
                                                   std::string term, milliseconds delay) {
    const auto born = server.born;
    asio::steady_timer pause{context_, delay};
    co_await pause.async_wait(asio::use_awaitable);
    if (server.up && server.born == born) {
        order(server, word, term);
    }
}

std::size_t database_cluster::carry_out_resumes() {
    const auto orders = std::exchange(late_resumes_, {});
    for (const auto& [name, born] : orders) {
        auto& server = *instances_.at(name);
        if (server.up && server.born == born) {
            order(server, "RESUME", {});
        }
    }
    return orders.size();
}

void database_cluster::roll_back_replicas(const instance& target) {
    for (auto& [name, server] : instances_) {
        if (server.get() != &target && server->receives() && !server->is_behind(target)) {
            copy_log(target, *server);
            server->busy_until = steady_clock::now() + rollback_time;
        }
    }
}

void database_cluster::copy_log(const instance& from, instance& to) {
    const auto size = to.log.size();
    to.has_lost_log = false;
    if (to.is_behind(from)) {
        to.log.insert(to.log.end(), from.log.begin() + static_cast<std::ptrdiff_t>(size),
                      from.log.end());
    } else {
        to.log = from.log;
    }
    to.term = from.term;
}

void database_cluster::catch_up(instance& server) {
    const auto* primary = leader();
    if (primary == nullptr || !primary->up || !server.receives()) {
        return;
    }
    if (!primary->has_lost_log || server.is_behind(*primary)) {
        copy_log(*primary, server);
    }
}

std::size_t database_cluster::missing_writes(const std::string& name) const {
    std::set<std::string> kept;
    for (const auto& entry : instances_.at(name)->log) {
        kept.insert(entry.statement);
    }
    const auto known = sent.acknowledged();
    return static_cast<std::size_t>(std::count_if(
        known.begin(), known.end(), [&](const auto& write) { return !kept.contains(write); }));
}

std::size_t database_cluster::log_size(const std::string& name) const {
    return instances_.at(name)->log.size();
}

std::string database_cluster::describe_logs(const std::string& statement,
                                            const acknowledgement& write) const {
    std::string result;
    for (const auto& [name, server] : instances_) {
        const auto receiver = write.receivers.find(name);
        const bool received = receiver != write.receivers.end();
        const bool has = server->has(statement);
        if (!received && !has) {
            continue;
        }
        result += "; " + name + (has ? " has it" : " had it") + (server->up ? ", runs" : ", down") +
                  (received && receiver->second != server->born ? ", another start" : "") +
                  (server->deaf ? ", deaf" : "") + (server->in_transfer ? ", in transfer" : "");
        for (const auto& note : server->notes) {
            result += ", " + note;
        }
    }
    return result;
}

void database_cluster::check_promotion(const instance& target) {
    std::set<std::string> kept;
    for (const auto& entry : target.log) {
        kept.insert(entry.statement);
    }
    const auto known = sent.acknowledged();
    std::cout << "time_ms=" << unix_ms() << " promotion of " << target.name << " at "
              << text_of(target.position()) << std::endl;
    for (auto item = acknowledged_.begin(); item != acknowledged_.end();) {
        const auto& [statement, write] = *item;
        if (kept.contains(statement)) {
            ++item;
            continue;
        }
        report("the promotion of " + target.name + " loses acknowledged write " + statement +
               " at " + text_of(write.index) +
               (known.contains(statement) ? ", which its caller knows to be kept"
                                          : ", acknowledged by the instance only") +
               describe_logs(statement, write));
        item = acknowledged_.erase(item);
    }
}

}  // namespace masticgrade::soak
