#include "database.hpp"

#include <algorithm>
#include <utility>

namespace review {

namespace {

/// A commit that no replica receives stays without an answer for this long.
constexpr milliseconds commit_patience{6000};
constexpr milliseconds replication_interval{1};
constexpr std::size_t queue_limit = 24;

std::string take_word(std::string& text) {
    const auto space = text.find(' ');
    auto word = text.substr(0, space);
    text = space == std::string::npos ? std::string{} : text.substr(space + 1);
    return word;
}

/// Removes a MINLSN prefix and returns its position.
std::optional<log_position> take_position(std::string& text) {
    if (text.rfind("MINLSN ", 0) != 0) {
        return std::nullopt;
    }
    take_word(text);
    const auto position = take_word(text);
    const auto dot = position.find('.');
    return log_position{std::stoull(position.substr(0, dot)),
                        std::stoull(position.substr(dot + 1))};
}

std::int64_t unix_ms() {
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

}  // namespace

database::database(ledger& notes, database_settings settings)
    : notes_(notes), settings_(std::move(settings)) {
    for (const auto* letter : {"a", "b", "c"}) {
        auto server = std::make_unique<instance>();
        server->id = settings_.id_prefix + letter;
        server->is_primary = instances_.empty();
        server->zone = settings_.zones.at(instances_.size());
        server->born = unix_ms();
        instances_.push_back(std::move(server));
    }
    for (const auto& server : instances_) {
        threads_.emplace_back([this, &server] { accept_loop(*server); });
    }
    threads_.emplace_back([this] {
        while (!stopping_) {
            replicate();
            std::this_thread::sleep_for(replication_interval);
        }
    });
}

database::~database() {
    stopping_ = true;
    {
        const std::lock_guard lock{mutex_};
        for (const auto& server : instances_) {
            server->acceptor.stop();
            for (const auto* socket : server->sockets) {
                socket->shut_down();
            }
        }
        slot_free_.notify_all();
    }
    for (;;) {
        std::list<std::thread> ending;
        {
            const std::lock_guard lock{threads_mutex_};
            ending.swap(threads_);
        }
        if (ending.empty()) {
            return;
        }
        for (auto& thread : ending) {
            thread.join();
        }
    }
}

database::instance* database::find(const std::string& id) {
    for (const auto& server : instances_) {
        if (server->id == id) {
            return server.get();
        }
    }
    return nullptr;
}

database::instance* database::leader() {
    for (const auto& server : instances_) {
        if (server->is_primary) {
            return server.get();
        }
    }
    return nullptr;
}

std::vector<database::entry> database::entries() {
    const std::lock_guard lock{mutex_};
    std::vector<entry> result;
    for (const auto& server : instances_) {
        if (server->is_up) {
            result.push_back({server->id, server->zone, server->acceptor.port(), server->is_primary,
                              server->is_draining, server->born});
        }
    }
    return result;
}

std::string database::primary() {
    const std::lock_guard lock{mutex_};
    const auto* server = leader();
    return server == nullptr ? std::string{} : server->id;
}

std::vector<std::string> database::logged_writes() {
    const std::lock_guard lock{mutex_};
    std::vector<std::string> result;
    if (const auto* server = leader()) {
        for (const auto& item : server->log) {
            result.insert(result.end(), item.write_ids.begin(), item.write_ids.end());
        }
    }
    return result;
}

std::size_t database::open_transactions() {
    const std::lock_guard lock{mutex_};
    return open_transactions_;
}

void database::on_ran(std::function<void(const std::string& id)> hook) {
    const std::lock_guard lock{mutex_};
    hook_ = std::move(hook);
}

void database::set_mute(const std::string& id, bool mute) {
    const std::lock_guard lock{mutex_};
    find(id)->is_mute = mute;
    slot_free_.notify_all();
    notes_.write("instance " + id + (mute ? " is mute" : " can send again"));
}

void database::set_deaf(const std::string& id, bool deaf) {
    const std::lock_guard lock{mutex_};
    find(id)->is_deaf = deaf;
    notes_.write("replica " + id + (deaf ? " receives nothing" : " receives again"));
}

void database::set_apply_lag(milliseconds lag) {
    const std::lock_guard lock{mutex_};
    settings_.apply_lag = lag;
    notes_.write("replicas of " + settings_.service + " apply " + std::to_string(lag.count()) +
                 " ms late");
}

void database::crash(const std::string& id) {
    const std::lock_guard lock{mutex_};
    auto* server = find(id);
    server->is_up = false;
    server->acceptor.stop();
    for (const auto* socket : server->sockets) {
        socket->shut_down();
    }
    notes_.write("instance " + id + " crashes");
}

void database::restart(const std::string& id) {
    const std::lock_guard lock{mutex_};
    auto* server = find(id);
    server->is_up = true;
    server->held = 0;
    server->born = unix_ms();
    slot_free_.notify_all();
    notes_.write("instance " + id + " starts again");
}

void database::lose_answers(unsigned count) {
    const std::lock_guard lock{mutex_};
    lost_answers_ = count;
}

void database::cut_answers(unsigned count) {
    const std::lock_guard lock{mutex_};
    cut_answers_ = count;
}

void database::delay_statements(unsigned count, milliseconds delay) {
    const std::lock_guard lock{mutex_};
    delayed_statements_ = count;
    statement_delay_ = delay;
}

void database::set_draining(const std::string& id, bool draining) {
    const std::lock_guard lock{mutex_};
    find(id)->is_draining = draining;
}

void database::delay_order(const std::string& id, const std::string& word, milliseconds delay) {
    const std::lock_guard lock{mutex_};
    auto* server = find(id);
    server->delayed_order = word;
    server->order_delay = delay;
}

unsigned database::promote(const std::string& id, std::uint64_t fence) {
    std::unique_lock lock{mutex_};
    auto* target = find(id);
    if (target == nullptr || !target->is_up || fence < highest_fence_) {
        notes_.write("promote " + id + " fence " + std::to_string(fence) + ": refused");
        return 409;
    }
    highest_fence_ = fence;
    notes_.write("promote " + id + " fence " + std::to_string(fence));
    if (target->is_primary) {
        return 200;
    }
    lock.unlock();
    std::this_thread::sleep_for(settings_.promotion);
    lock.lock();
    if (!target->is_up) {
        return 409;
    }
    std::uint64_t term = 0;
    for (const auto& server : instances_) {
        term = std::max(term, server->term);
    }
    std::set<std::string> kept;
    for (const auto& item : target->log) {
        kept.insert(item.write_ids.begin(), item.write_ids.end());
    }
    lock.unlock();
    notes_.check_promotion(id, settings_.service, kept);
    lock.lock();
    for (const auto& server : instances_) {
        server->is_primary = server.get() == target;
        server->held = 0;
    }
    target->term = term + 1;
    notes_.write("instance " + id + " leads term " + std::to_string(target->term) + " from " +
                 received(*target).text());
    return 200;
}

log_position database::received(const instance& server) const {
    return server.log.empty() ? log_position{1, 0} : server.log.back().position;
}

log_position database::applied(const instance& server) const {
    if (server.is_primary) {
        return received(server);
    }
    const auto until = steady::now() - settings_.apply_lag;
    log_position result{1, 0};
    for (const auto& item : server.log) {
        if (item.received <= until) {
            result = item.position;
        }
    }
    return result;
}

void database::copy_log(const instance& from, instance& to) const {
    std::size_t shared = 0;
    while (shared < to.log.size() && shared < from.log.size() &&
           to.log[shared].position == from.log[shared].position) {
        ++shared;
    }
    to.log.resize(shared);
    for (; shared < from.log.size(); ++shared) {
        to.log.push_back(from.log[shared]);
        to.log.back().received = steady::now();
    }
    to.term = from.term;
}

void database::replicate() {
    const std::lock_guard lock{mutex_};
    const auto* from = leader();
    if (from == nullptr || !from->is_up) {
        return;
    }
    for (const auto& server : instances_) {
        if (server.get() != from && server->is_up && server->held == 0 && !server->is_deaf &&
            (server->log.size() != from->log.size() || received(*server) != received(*from) ||
             server->term != from->term)) {
            copy_log(*from, *server);
        }
    }
}

void database::accept_loop(instance& server) {
    while (!stopping_) {
        auto socket = server.acceptor.accept();
        if (socket.is_open() && !stopping_) {
            const std::lock_guard lock{threads_mutex_};
            threads_.emplace_back([this, &server, socket = std::move(socket)]() mutable {
                serve(server, std::move(socket));
            });
            continue;
        }
        // The instance crashed: its port refuses connections until it starts again.
        server.acceptor.close();
        std::unique_lock lock{mutex_};
        slot_free_.wait(lock, [&] { return stopping_ || server.is_up; });
        if (!stopping_) {
            server.acceptor.open();
        }
    }
}

void database::serve(instance& server, stream_socket socket) {
    session state;
    bool accepted = false;
    {
        const std::lock_guard lock{mutex_};
        if (!server.is_up || stopping_) {
            return;
        }
        accepted = server.sockets.size() < settings_.max_connections;
        state.number = ++last_connection_;
        server.sockets.insert(&socket);
    }
    bool started = false;
    while (auto line = socket.read_line()) {
        auto text = *line;
        std::string reply;
        answer result;
        const auto keyword = take_word(text);
        if (keyword == "START") {
            const auto service = take_word(text);
            state.tenant = take_word(text);
            const bool is_right =
                service == settings_.service && (text.empty() || text == server.id);
            if (!accepted || !is_right) {
                socket.write_all(accepted ? "ERROR WRONGNODE -\r\n" : "ERROR CONNLIMIT -\r\n");
                break;
            }
            std::unique_lock lock{mutex_};
            work(server, settings_.connect_work, lock);
            started = true;
        } else if (keyword == "QUERY" && started) {
            const auto id = take_word(text);
            result = run(server, state, id, text);
            if (result.drops_connection) {
                break;
            }
            for (const auto& row : result.rows) {
                reply += "DATAROW " + row + "\r\n";
            }
            reply += result.error.empty() ? "COMPLETE " + result.signature + "\r\n"
                                          : "ERROR " + result.error + " " + server.id + "\r\n";
        } else {
            break;
        }
        const char* phase = !state.is_open ? "I" : state.has_failed ? "E" : "T";
        std::string position;
        {
            std::unique_lock lock{mutex_};
            position = applied(server).text();
            slot_free_.wait(lock, [&] { return stopping_ || !server.is_mute; });
        }
        reply += std::string{"READY "} + phase + " " + position + "\r\n";
        if (result.is_cut) {
            socket.write_all(reply.substr(0, reply.size() / 2));
            break;
        }
        if (!socket.write_all(reply)) {
            break;
        }
    }
    const std::lock_guard lock{mutex_};
    server.sockets.erase(&socket);
    if (state.is_open) {
        --open_transactions_;
        notes_.write("instance " + server.id + " connection " + std::to_string(state.number) +
                     " ends; its transaction of " + state.owner + " is rolled back");
    }
}

void database::work(instance& server, milliseconds duration, std::unique_lock<std::mutex>& lock) {
    slot_free_.wait(lock, [&] { return stopping_ || server.busy < settings_.slots; });
    ++server.busy;
    lock.unlock();
    std::this_thread::sleep_for(duration);
    lock.lock();
    --server.busy;
    slot_free_.notify_all();
}

database::answer database::run_order(instance& server, const std::string& word,
                                     const std::string& argument) const {
    const std::uint64_t term = argument.empty() ? 0 : std::stoull(argument);
    if (word == "PAUSE" && term > server.term && !server.is_primary) {
        server.held = std::max(server.held, term);
    } else if (word == "RESUME") {
        server.held = 0;
    } else if (word == "STEPDOWN" && server.is_primary && term > server.term) {
        server.is_primary = false;
    }
    answer result;
    result.rows.push_back((server.is_primary ? "primary " : "replica ") +
                          std::to_string(server.term) + " " + received(server).text() + " " +
                          std::to_string(server.held) + " 0 " + std::to_string(server.busy) + " " +
                          std::to_string(server.sockets.size()));
    if (word != "STATUS") {
        notes_.write("instance " + server.id + " " + word + " " + argument);
    }
    return result;
}

database::answer database::run(instance& server, session& state, const std::string& id,
                               std::string text) {
    std::unique_lock lock{mutex_};
    const auto at_least = take_position(text);
    const auto whole = text;
    const auto word = take_word(text);
    answer result;
    if (at_least && applied(server) < *at_least) {
        result.error = "LAGGING";
        state.has_failed = state.is_open;
        return result;
    }
    if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "STEPDOWN") {
        const bool is_delayed = word == server.delayed_order;
        if (is_delayed) {
            server.delayed_order.clear();
            notes_.write("instance " + server.id + " leaves " + word + " unanswered");
            slot_free_.wait_for(lock, server.order_delay, [&] { return stopping_.load(); });
        }
        result = run_order(server, word, text);
        result.drops_connection = is_delayed;
        return result;
    }
    if (word == "BEGIN") {
        if (text != "READ" && !server.is_primary) {
            result.error = "READONLY";
            return result;
        }
        state.is_open = true;
        ++open_transactions_;
        state.is_read_only = text == "READ";
        state.term = server.term;
        state.owner.clear();
        state.write_ids.clear();
        state.data.clear();
        return result;
    }
    if (word == "ROLLBACK") {
        open_transactions_ -= state.is_open ? 1 : 0;
        state.is_open = state.has_failed = false;
        state.owner.clear();
        state.write_ids.clear();
        state.data.clear();
        return result;
    }
    if (word == "DISCARD") {
        state.values.clear();
        state.prepared.clear();
    } else if (word == "SET") {
        const auto name = take_word(text);
        state.values[name] = text;
    } else if (word == "PREPARE") {
        const auto name = take_word(text);
        const auto kind = take_word(text);
        state.prepared[name] = {kind, text};
    } else if (word == "READ" || word == "WRITE" || word == "EXECUTE" || word == "COMMIT") {
        lock.unlock();
        notes_.on_run(id, whole, state.tenant);
        notes_.write("instance " + server.id + " connection " + std::to_string(state.number) +
                     " of " + state.tenant + " runs " + id + " " + whole +
                     (at_least ? " at least " + at_least->text() : std::string{}));
        lock.lock();
        result = run_statement(server, state, id, word, text, lock);
        if (!result.error.empty()) {
            state.has_failed = state.is_open;
        }
        if (lost_answers_ > 0) {
            --lost_answers_;
            result.drops_connection = true;
            notes_.write("the answer to " + id + " is lost");
        }
        if (cut_answers_ > 0) {
            --cut_answers_;
            result.is_cut = true;
            notes_.write("the answer to " + id + " is cut off");
        }
        const auto hook = hook_;
        lock.unlock();
        if (hook) {
            hook(id);
        }
    } else {
        result.error = "MALFORMED";
    }
    return result;
}

database::answer database::run_statement(instance& server, session& state, const std::string& id,
                                         const std::string& word, std::string rest,
                                         std::unique_lock<std::mutex>& lock) {
    answer result;
    const auto client = ledger::client_of(id);
    if (state.has_failed || (word == "COMMIT" && !state.is_open)) {
        result.error = "MALFORMED";
        return result;
    }
    if (state.is_open && !state.owner.empty() && state.owner != client) {
        lock.unlock();
        notes_.report("PINNED", "statement " + id + " runs on connection " +
                                    std::to_string(state.number) +
                                    " inside the open transaction of " + state.owner);
        if (word == "COMMIT" && !state.write_ids.empty()) {
            notes_.report("UNASKED", "COMMIT " + id + " commits the transaction of " + state.owner +
                                         ", which has not asked for it");
        }
        lock.lock();
    }
    if (state.owner.empty()) {
        state.owner = client;
    }
    bool writes = word == "WRITE";
    std::string item = rest;
    if (word == "EXECUTE") {
        const auto name = take_word(rest);
        const auto known = state.prepared.find(name);
        if (known == state.prepared.end()) {
            result.error = "NOSUCHSTMT";
            return result;
        }
        writes = known->second.first == "WRITE";
        item = rest;
        lock.unlock();
        const auto wanted = notes_.expected(id);
        const auto actual = known->second.first + " " + known->second.second;
        if (wanted && wanted->prepared != actual) {
            notes_.report("PINNED", "statement " + id + " executes \"" + actual +
                                        "\", its client prepared \"" + wanted->prepared + "\"");
        }
        lock.lock();
    }
    const bool lost_lead =
        state.is_open && !state.is_read_only && (!server.is_primary || state.term != server.term);
    if ((writes && (!server.is_primary || state.is_read_only)) ||
        (lost_lead && !(word == "COMMIT" && state.write_ids.empty()))) {
        result.error = "READONLY";
        return result;
    }
    if (server.busy + 1 > settings_.slots + queue_limit) {
        result.error = "BUSY";
        return result;
    }
    check_session(state, id, word, lock);
    auto duration = settings_.work;
    if (delayed_statements_ > 0) {
        --delayed_statements_;
        duration += statement_delay_;
        notes_.write(id + " takes longer");
    }
    work(server, duration, lock);
    result.signature = "sig." + id;
    if (word == "COMMIT") {
        if (!state.write_ids.empty()) {
            result = commit_writes(server, state, lock);
            result.signature = "sig." + id;
        }
        --open_transactions_;
        state.is_open = false;
        state.owner.clear();
        state.write_ids.clear();
        state.data.clear();
        return result;
    }
    if (writes) {
        const auto name = take_word(item);
        state.write_ids.push_back(id);
        state.data.emplace_back(name, item);
        if (!state.is_open) {
            result = commit_writes(server, state, lock);
            result.signature = "sig." + id;
            state.owner.clear();
            state.write_ids.clear();
            state.data.clear();
        }
        return result;
    }
    const auto visible = applied(server);
    std::set<std::string> visible_writes;
    for (const auto& entry : server.log) {
        if (entry.position <= visible) {
            visible_writes.insert(entry.write_ids.begin(), entry.write_ids.end());
        }
    }
    lock.unlock();
    notes_.check_read(id, settings_.service, visible_writes);
    lock.lock();
    std::string value = "none";
    for (const auto& entry : server.log) {
        for (const auto& [name, data] : entry.data) {
            if (name == item && entry.position <= visible) {
                value = data;
            }
        }
    }
    for (const auto& [name, data] : state.data) {
        value = name == item ? data : value;
    }
    result.rows.push_back(value);
    if (!state.is_open) {
        state.owner.clear();
    }
    return result;
}

void database::check_session(const session& state, const std::string& id, const std::string& word,
                             std::unique_lock<std::mutex>& lock) {
    lock.unlock();
    const auto wanted = notes_.expected(id);
    if (wanted && wanted->values != state.values) {
        notes_.report("PINNED", word + " " + id + " runs with other session values on connection " +
                                    std::to_string(state.number));
    }
    lock.lock();
}

database::answer database::commit_writes(instance& server, session& state,
                                         std::unique_lock<std::mutex>& lock) {
    answer result;
    if (!server.is_primary) {
        result.error = "READONLY";
        return result;
    }
    const log_position position{server.term, received(server).number + 1};
    server.log.push_back({position, state.write_ids, state.data, steady::now()});
    notes_.on_committed(state.write_ids.front(), settings_.service);
    const auto give_up = steady::now() + commit_patience;
    while (server.is_up && server.is_primary && !stopping_ && steady::now() < give_up) {
        for (const auto& other : instances_) {
            if (other.get() != &server && other->is_up && received(*other) >= position) {
                return result;
            }
        }
        lock.unlock();
        std::this_thread::sleep_for(replication_interval);
        lock.lock();
    }
    result.drops_connection = true;
    return result;
}

}  // namespace review
