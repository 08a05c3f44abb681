#include "database_instance.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <iostream>

#include "line_words.hpp"

namespace masticgrade::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using edge_test::take_position;
using edge_test::take_word;

namespace {

constexpr std::size_t most_connections = 20;
constexpr milliseconds work_time{2};
constexpr milliseconds replica_poll{5};
constexpr milliseconds shortest_promotion{300};
constexpr milliseconds longest_promotion{1000};
/// Share of the statements that an instance which repeats answers refuses as busy.
constexpr double busy_share = 0.02;
/// A commit that no replica receives stays without an answer for this long.
constexpr seconds commit_patience{20};
/// The users' bound: over every 5 s, (rate x 5 + burst) x 1.1 + 20.
constexpr seconds limit_window{5};
constexpr double limit_overage = 1.1;
constexpr double limit_slack = 20;

}  // namespace

database_cluster::database_cluster(asio::io_context& context) : context_(context) {
    for (const std::string name : {"i-a", "i-b", "i-c"}) {
        add(name).primary = name == "i-a";
    }
}

database_cluster::~database_cluster() = default;

std::vector<std::string> database_cluster::names() const {
    std::vector<std::string> result;
    for (const auto& [name, server] : instances_) {
        result.push_back(name);
    }
    return result;
}

unsigned short database_cluster::port_of(const std::string& name) const {
    return instances_.at(name)->acceptor.local_endpoint().port();
}

bool database_cluster::is_up(const std::string& name) const { return instances_.at(name)->up; }

bool database_cluster::is_primary(const std::string& name) const {
    return instances_.at(name)->primary;
}

bool database_cluster::is_held(const std::string& name) const {
    return instances_.at(name)->held > 0;
}

bool database_cluster::has_primary() const {
    return std::any_of(instances_.begin(), instances_.end(),
                       [](const auto& item) { return item.second->primary; });
}

database_cluster::instance* database_cluster::leader() {
    for (auto& [name, server] : instances_) {
        if (server->primary) {
            return server.get();
        }
    }
    return nullptr;
}

void database_cluster::report(const std::string& fault) {
    std::cerr << "violation: " << fault << std::endl;
    violations_.push_back(fault);
}

void database_cluster::withdraw(const std::string& customer, time_point deadline) {
    withdrawn_[customer] = deadline;
}

void database_cluster::set_limit(const std::string& customer, double rate, double burst) {
    limits_[customer] = {rate, burst, {}};
}

void database_cluster::repeat_answers(double share, std::uint64_t seed) {
    repeated_share_ = share;
    random_.seed(seed);
}

void database_cluster::check_acknowledged() {
    const auto* primary = leader();
    std::set<std::string> kept;
    if (primary != nullptr) {
        for (const auto& entry : primary->log) {
            kept.insert(entry.statement);
        }
    }
    for (const auto& write : sent.acknowledged()) {
        if (!kept.contains(write)) {
            report("LOST: the caller was told that " + write + " is kept, and it is not");
        }
    }
}

void database_cluster::check_statement(session& caller, const std::string& id,
                                       const std::string& text) {
    const auto known = sent.find(id);
    if (!known || known->text != text) {
        report("UNASKED: no caller sent " + id + " " + text);
        return;
    }
    if (known->context != caller.value && !known->context.empty()) {
        report("CONTEXT: " + id + " runs with value '" + caller.value + "', its session has '" +
               known->context + "'");
    }
    const auto transaction = transaction_of(id);
    // The proxy reads current data inside a transaction of its own.
    const bool is_read = text.rfind("READ ", 0) == 0;
    const bool runs_apart = is_in_transaction(id) ? !caller.open : caller.open && !is_read;
    const bool is_foreign = !caller.transaction.empty() && caller.transaction != transaction;
    if (runs_apart || (caller.open && is_foreign)) {
        const auto where = caller.open ? "inside transaction '" + caller.transaction + "'"
                                       : std::string{"outside a transaction"};
        report("PINNED: " + id + " runs " + where);
    }
    if (caller.open && caller.transaction.empty()) {
        caller.transaction = transaction;
    }
}

void database_cluster::check_execution(const session& caller, const std::string& id,
                                       const std::string& name) {
    const auto known = sent.find(id);
    const auto shape = caller.prepared.find(name);
    if (known && shape != caller.prepared.end() && shape->second != "WRITE " + known->context) {
        report("CONTEXT: " + id + " executes '" + shape->second + "', its session prepared '" +
               known->context + "'");
    }
}

std::pair<std::string, std::string> database_cluster::take_due(
    std::vector<repeated_answer>& waiting) {
    std::pair<std::string, std::string> result;
    for (auto& item : waiting) {
        if (--item.requests == 0) {
            (item.comes_first ? result.first : result.second) += item.text;
            ++repeated_;
        }
    }
    std::erase_if(waiting, [](const auto& item) { return item.requests == 0; });
    return result;
}

void database_cluster::plan_repeat(std::vector<repeated_answer>& waiting,
                                   const std::string& reply) {
    if (repeated_share_ == 0 || !std::bernoulli_distribution{repeated_share_}(random_)) {
        return;
    }
    constexpr double end_share = 0.1;
    const bool end_alone = std::bernoulli_distribution{end_share}(random_);
    waiting.push_back({end_alone ? reply.substr(reply.rfind("READY")) : reply,
                       std::uniform_int_distribution<>{1, 3}(random_), random_() % 2 == 0});
}

bool database_cluster::promote(const std::string& name, std::uint64_t fence,
                               std::optional<milliseconds> time) {
    if (fence < fence_) {
        return false;
    }
    fence_ = fence;
    const auto found = instances_.find(name);
    if (found == instances_.end() || !found->second->up) {
        return false;
    }
    if (!found->second->primary) {
        std::uniform_int_distribution<milliseconds::rep> drawn{shortest_promotion.count(),
                                                               longest_promotion.count()};
        ++pending_promotions_;
        asio::co_spawn(
            context_,
            take_effect(name, fence, time.value_or(milliseconds{drawn(promotion_random_)})),
            asio::detached);
    }
    return true;
}

asio::awaitable<void> database_cluster::take_effect(std::string name, std::uint64_t fence,
                                                    milliseconds time) {
    asio::steady_timer pause{context_, time};
    co_await pause.async_wait(asio::use_awaitable);
    --pending_promotions_;
    auto& target = *instances_.at(name);
    if (fence < fence_ || !target.up || target.primary) {
        std::cout << "time_ms=" << unix_ms() << " no effect of the promotion call for " << name
                  << ", fence " << fence << std::endl;
        co_return;
    }
    check_promotion(target);
    ++promotions_;
    ++last_term_;
    for (auto& [other, server] : instances_) {
        server->primary = server.get() == &target;
        server->held = 0;
    }
    target.term = last_term_;
    target.has_lost_log = false;
    roll_back_replicas(target);
    for (auto& [other, server] : instances_) {
        catch_up(*server);
    }
    if (promotion_listener_) {
        promotion_listener_();
    }
}

void database_cluster::observe(const std::string& customer) {
    const auto now = steady_clock::now();
    const auto withdrawn = withdrawn_.find(customer);
    if (withdrawn != withdrawn_.end() && now > withdrawn->second) {
        report("a statement of " + customer + " runs after its key was withdrawn");
    }
    const auto found = limits_.find(customer);
    if (found == limits_.end()) {
        return;
    }
    auto& limit = found->second;
    limit.operations.push_back(now);
    while (limit.operations.front() <= now - limit_window) {
        limit.operations.pop_front();
    }
    const double allowed =
        (limit.rate * std::chrono::duration<double>(limit_window).count() + limit.burst) *
            limit_overage +
        limit_slack;
    if (static_cast<double>(limit.operations.size()) > allowed) {
        report(customer + " ran " + std::to_string(limit.operations.size()) +
               " operations in 5 s, allowed " + std::to_string(allowed));
        limit.operations.clear();
    }
}

asio::awaitable<void> database_cluster::accept(instance& server) {
    for (;;) {
        boost::system::error_code fault;
        auto socket = std::make_shared<tcp::socket>(context_);
        co_await server.acceptor.async_accept(*socket,
                                              asio::redirect_error(asio::use_awaitable, fault));
        if (fault) {
            co_return;
        }
        if (server.up) {
            server.sockets.insert(socket);
            asio::co_spawn(context_, serve(server, socket), asio::detached);
        }
    }
}

asio::awaitable<void> database_cluster::serve(instance& server,
                                              std::shared_ptr<tcp::socket> socket) {
    session caller;
    std::vector<repeated_answer> repeated;
    std::string buffer;
    try {
        for (;;) {
            const auto length = co_await asio::async_read_until(
                *socket, asio::dynamic_buffer(buffer), "\r\n", asio::use_awaitable);
            auto line = buffer.substr(0, length - 2);
            buffer.erase(0, length);
            const auto [first, last] = take_due(repeated);
            if (!first.empty()) {
                co_await asio::async_write(*socket, asio::buffer(first), asio::use_awaitable);
            }
            std::string reply;
            if (take_word(line) == "START") {
                take_word(line);
                caller.customer = take_word(line);
                if (!line.empty() && line != server.name) {
                    reply = "ERROR WRONGNODE -\r\n";
                    co_await asio::async_write(*socket, asio::buffer(reply), asio::use_awaitable);
                    break;
                }
                if (server.sockets.size() > most_connections) {
                    reply = "ERROR CONNLIMIT -\r\n";
                }
            } else {
                const auto id = take_word(line);
                const auto result = co_await run(server, caller, id, line);
                for (const auto& row : result.rows) {
                    reply += "DATAROW " + row + "\r\n";
                }
                reply += result.error.empty() ? "COMPLETE " + result.signature + "\r\n"
                                              : "ERROR " + result.error + " -\r\n";
            }
            const char* state = !caller.open ? "I" : caller.failed ? "E" : "T";
            reply += std::string{"READY "} + state + " " + text_of(server.position()) + "\r\n";
            plan_repeat(repeated, reply);
            reply += last;
            co_await asio::async_write(*socket, asio::buffer(reply), asio::use_awaitable);
        }
    } catch (const boost::system::system_error&) {
        // The proxy closed the connection, or the instance crashed.
    }
    server.sockets.erase(socket);
}

asio::awaitable<database_cluster::answer> database_cluster::run(instance& server, session& caller,
                                                                std::string id, std::string text) {
    const auto at_least = take_position(text);
    const auto full_text = text;
    auto word = take_word(text);
    answer result;
    if (word == "EXECUTE") {
        const auto name = take_word(text);
        check_statement(caller, id, "EXECUTE put " + text);
        if (!caller.prepared.contains(name)) {
            result.error = "NOSUCHSTMT";
            caller.failed = caller.open;
            co_return result;
        }
        check_execution(caller, id, name);
        word = "WRITE";
    } else if (word == "READ" || word == "WRITE" || word == "COMMIT") {
        check_statement(caller, id, full_text);
    }
    const bool may_be_busy =
        word == "BEGIN" || word == "READ" || word == "WRITE" || word == "COMMIT";
    const bool is_order =
        word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "STEPDOWN";
    const bool is_busy = server.is_busy() && (may_be_busy || is_order);
    if (is_busy ||
        (may_be_busy && repeated_share_ > 0 && std::bernoulli_distribution{busy_share}(random_))) {
        result.error = "BUSY";
        caller.failed = caller.open;
        co_return result;
    }
    if (word == "READ" || word == "WRITE" || word == "COMMIT") {
        if (at_least && server.position() < *at_least) {
            result.error = "LAGGING";
            co_return result;
        }
        result = co_await run_on_data(server, caller, std::move(id), word, text);
        caller.failed = caller.open && !result.error.empty();
        co_return result;
    }
    if (word == "BEGIN") {
        if (caller.open) {
            report("PINNED: a transaction begins inside '" + caller.transaction + "'");
        }
        caller.read_only = text == "READ";
        if (!caller.read_only && !server.primary) {
            result.error = "READONLY";
        } else if (at_least && server.position() < *at_least) {
            result.error = "LAGGING";
        } else {
            caller.open = true;
            caller.failed = false;
            caller.term = server.term;
            caller.transaction.clear();
            caller.writes.clear();
        }
    } else if (word == "ROLLBACK") {
        caller.open = caller.failed = false;
        caller.transaction.clear();
        caller.writes.clear();
    } else if (word == "SET") {
        take_word(text);
        caller.value = text;
    } else if (word == "PREPARE") {
        const auto name = take_word(text);
        caller.prepared[name] = text;
    } else if (word == "DISCARD") {
        caller.value.clear();
        caller.prepared.clear();
    } else if (word == "RESUME" && resumes_held_back_ == server.name) {
        late_resumes_.emplace_back(server.name, server.born);
        throw boost::system::system_error{asio::error::connection_aborted};
    } else if (order_delay_ && (word == "PAUSE" || word == "RESUME")) {
        asio::co_spawn(context_, order_late(server, word, text, *order_delay_), asio::detached);
        throw boost::system::system_error{asio::error::connection_aborted};
    } else if (is_order) {
        result = order(server, word, text);
    }
    co_return result;
}

database_cluster::answer database_cluster::order(instance& server, const std::string& word,
                                                 const std::string& term) {
    if (word == "PAUSE" && std::stoull(term) > server.term && !server.primary) {
        server.held = std::stoull(term);
    } else if (word == "RESUME") {
        server.held = 0;
    } else if (word == "STEPDOWN" && std::stoull(term) > server.term) {
        server.primary = false;
    }
    answer result;
    result.rows.push_back((server.primary ? "primary " : "replica ") + std::to_string(server.term) +
                          " " + text_of(server.position()) + " " + std::to_string(server.held) +
                          " 0 0 1");
    return result;
}

asio::awaitable<database_cluster::answer> database_cluster::run_on_data(
    instance& server, session& caller, std::string id, std::string word, std::string rest) {
    answer result;
    const bool plain = caller.open && !caller.read_only;
    const bool lost_lead = plain && (!server.primary || caller.term != server.term);
    const bool only_ends = word == "COMMIT" && caller.writes.empty();
    if (caller.failed || (word == "COMMIT" && !caller.open)) {
        result.error = "MALFORMED";
        co_return result;
    }
    if ((lost_lead && !only_ends) || (word == "WRITE" && !server.primary)) {
        result.error = "READONLY";
        co_return result;
    }
    if (!caller.open) {
        observe(caller.customer);
    }
    ++statements_;
    asio::steady_timer work{context_, work_time};
    co_await work.async_wait(asio::use_awaitable);
    result.signature = "sig-" + id;
    if (word == "READ") {
        result.rows.push_back(server.read(rest));
        co_return result;
    }
    if (word == "WRITE") {
        const auto item = take_word(rest);
        caller.writes.push_back({{}, item, rest, id});
        if (caller.open) {
            co_return result;
        }
    }
    const auto writes = std::exchange(caller.writes, {});
    for (const auto& write : writes) {
        if (transaction_of(write.statement) != transaction_of(id)) {
            report("UNASKED: " + id + " commits " + write.statement + " of another transaction");
        }
    }
    caller.open = false;
    caller.transaction.clear();
    if (!writes.empty() && !co_await append(server, writes)) {
        result.error = "READONLY";
    }
    co_return result;
}

asio::awaitable<bool> database_cluster::append(instance& server, std::vector<commit> writes) {
    if (!server.primary) {
        co_return false;
    }
    const auto term = server.term;
    const auto born = server.born;
    for (auto& write : writes) {
        if (server.has(write.statement)) {
            report("statement " + write.statement + " takes effect twice");
        }
        write.index = {term_number{term}, log_position{server.position().number.value() + 1}};
        server.log.push_back(write);
    }
    const auto give_up = steady_clock::now() + commit_patience;
    while (server.up && server.born == born && server.primary && server.term == term &&
           steady_clock::now() < give_up) {
        std::map<std::string, std::uint64_t> receivers;
        for (auto& [name, other] : instances_) {
            if (other->receives()) {
                copy_log(server, *other);
                receivers.emplace(name, other->born);
            }
        }
        if (!receivers.empty()) {
            for (const auto& write : writes) {
                acknowledged_[write.statement] = {write.index, receivers};
            }
            count_acknowledged(writes.size());
            co_return true;
        }
        asio::steady_timer pause{context_, replica_poll};
        co_await pause.async_wait(asio::use_awaitable);
    }
    throw boost::system::system_error{asio::error::connection_aborted};
}

}  // namespace masticgrade::soak
