/// The faults of the instances of a database_cluster, and what becomes of their logs.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

#include "database_instance.hpp"

namespace masticgrade::soak {

namespace asio = boost::asio;

database_cluster::instance& database_cluster::add(const std::string& name) {
    auto& server = *(instances_[name] = std::make_unique<instance>(context_, name));
    set_new_start(server);
    asio::co_spawn(context_, accept(server), asio::detached);
    return server;
}

void database_cluster::set_new_start(instance& server) {
    const auto now = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    last_born_ = std::max(last_born_ + 1, static_cast<std::uint64_t>(now.count()));
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

std::string database_cluster::replace(const std::string& name, milliseconds length) {
    auto& old = *instances_.at(name);
    crash(name);
    old.primary = false;
    old.notes.insert("ended");
    auto& successor = add("i-" + std::to_string(instances_.size() + 1));
    successor.notes.insert("successor of " + name);
    begin_transfer(successor, std::exchange(old.log, {}), length);
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
    for (std::size_t part = 1; part <= parts; ++part) {
        asio::steady_timer pause{context_, length / parts};
        co_await pause.async_wait(asio::use_awaitable);
        if (target.born != born) {
            co_return;
        }
        if (target.primary) {
            break;
        }
        const auto& log = target.incoming;
        const auto end = log.begin() + static_cast<std::ptrdiff_t>(log.size() * part / parts);
        target.log.assign(log.begin(), end);
    }
    target.in_transfer = false;
    target.term = std::max(target.term, target.position().term.value());
    catch_up(target);
}

void database_cluster::set_deaf(const std::string& name, bool deaf) {
    auto& server = *instances_.at(name);
    server.deaf = deaf;
    catch_up(server);
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

void database_cluster::copy_log(const instance& from, instance& to) {
    const auto size = to.log.size();
    const bool is_prefix = size <= from.log.size() &&
                           (size == 0 || to.log.back().statement == from.log[size - 1].statement);
    if (is_prefix) {
        to.log.insert(to.log.end(), from.log.begin() + static_cast<std::ptrdiff_t>(size),
                      from.log.end());
    } else {
        to.log = from.log;
    }
    to.term = from.term;
}

void database_cluster::catch_up(instance& server) {
    const auto* primary = leader();
    if (primary != nullptr && primary->up && server.receives()) {
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
