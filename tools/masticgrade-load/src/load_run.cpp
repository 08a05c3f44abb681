#include "load_run.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <memory>

#include "caller.hpp"

namespace masticgrade::load {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto readiness_interval = milliseconds{200};

/// One caller's session. It writes rising numbers to a row of its own and has at most one
/// operation at a time, so that its token only moves forward.
struct session {
    std::size_t customer = 0;
    std::uint64_t number = 0;
    /// How many rows the session has started.
    std::uint64_t rows = 0;
    std::string row;
    std::string token;
    std::uint64_t sent = 0;
    std::uint64_t acknowledged = 0;
    std::deque<std::pair<time_point, std::uint64_t>> acknowledgements;
    bool busy = false;
};

asio::awaitable<void> sleep_until(time_point until) {
    asio::steady_timer timer(co_await asio::this_coro::executor, until);
    co_await timer.async_wait(asio::use_awaitable);
}

class runner {
public:
    explicit runner(const load_options& options)
        : options_(options),
          plan_(plan_operations(options)),
          caller_(options.proxies, options.deadline),
          sessions_(options.customers.size()) {}

    run_result run() {
        asio::co_spawn(io_, start_operations(), rethrow);
        asio::co_spawn(io_, watch_readiness(), rethrow);
        io_.run();
        result_.length = steady_clock::now() - begin_;
        return std::move(result_);
    }

private:
    static void rethrow(const std::exception_ptr& failure) {
        if (failure) {
            std::rethrow_exception(failure);
        }
    }

    asio::awaitable<void> watch_readiness() {
        while (!finished_) {
            co_await caller_.poll_readiness();
            co_await sleep_until(steady_clock::now() + readiness_interval);
        }
    }

    asio::awaitable<void> start_operations() {
        co_await caller_.poll_readiness();
        begin_ = steady_clock::now();
        for (const auto& operation : plan_) {
            co_await sleep_until(begin_ + operation.at);
            ++running_;
            asio::co_spawn(io_, run_operation(operation), rethrow);
        }
        planned_all_ = true;
        finished_ = running_ == 0;
    }

    asio::awaitable<void> run_operation(planned_operation operation) {
        auto& own = take_session(operation);
        auto& statistics = result_.customers[customer(operation).name];
        ++statistics.offered;
        const auto result = co_await dispatch(operation, own);
        switch (result) {
            case outcome::done:
                ++statistics.done;
                statistics.latencies.push_back(std::chrono::floor<microseconds>(
                    steady_clock::now() - (begin_ + operation.at)));
                break;
            case outcome::not_run:
                ++statistics.not_run;
                break;
            case outcome::unknown:
                ++statistics.unknown;
                break;
        }
        own.busy = false;
        --running_;
        finished_ = planned_all_ && running_ == 0;
    }

    asio::awaitable<outcome> dispatch(const planned_operation& operation, session& own) {
        switch (operation.kind) {
            case operation_kind::write:
            case operation_kind::booking:
                co_return co_await write(operation, own);
            case operation_kind::roaming_read:
                co_return co_await write_and_read_elsewhere(operation, own);
            case operation_kind::transaction:
                co_return co_await transact(operation, own);
            case operation_kind::current_read:
            case operation_kind::stale_read:
            case operation_kind::session_read:
                break;
        }
        co_return co_await read(operation, own, caller_.choose(operation.choice));
    }

    const load_customer& customer(const planned_operation& operation) const {
        return options_.customers[operation.customer];
    }

    std::string row_prefix() const { return options_.run_id + '/'; }

    session& take_session(const planned_operation& operation) {
        auto& sessions = sessions_[operation.customer];
        const auto count = sessions.size();
        for (std::size_t i = 0; i < count; ++i) {
            auto& candidate = *sessions[(operation.choice + i) % count];
            if (!candidate.busy) {
                candidate.busy = true;
                return candidate;
            }
        }
        auto added = std::make_unique<session>();
        added->customer = operation.customer;
        added->number = count;
        added->busy = true;
        start_row(*added);
        sessions.push_back(std::move(added));
        return *sessions.back();
    }

    /// A write with an unknown outcome may still run late, so the session continues on a new row.
    void start_row(session& own) const {
        own.row = fmt::format("{}{}/s{}-{}", row_prefix(), options_.customers[own.customer].name,
                              own.number, ++own.rows);
        own.sent = 0;
        own.acknowledged = 0;
        own.acknowledgements.clear();
    }

    std::string route_target(const planned_operation& operation) const {
        return "/v1/routes/" + customer(operation).route;
    }

    json::value next_put(session& own, std::uint64_t operation) const {
        ++own.sent;
        return {{"op", "put"}, {"key", own.row}, {"value", {{"n", own.sent}, {"id", operation}}}};
    }

    void acknowledge(session& own, const planned_operation& operation, std::uint64_t number) {
        const auto now = steady_clock::now();
        own.acknowledged = number;
        own.acknowledgements.emplace_back(now, number);
        result_.acknowledged[customer(operation).route].push_back(now);
    }

    void violation(const planned_operation& operation, const std::string& what) {
        result_.violations.push_back(
            fmt::format("operation {} of {}: {}", operation.id, customer(operation).name, what));
    }

    /// Sends one request and keeps the books that all requests share.
    asio::awaitable<caller_answer> send(const planned_operation& operation, session& own,
                                        std::size_t proxy, caller_request request) {
        auto& statistics = result_.customers[customer(operation).name];
        request.key = customer(operation).key;
        request.session = own.token;
        const bool is_statement = request.target.ends_with("/statements");
        const auto sent_at = steady_clock::now();
        auto answer = co_await caller_.send(proxy, std::move(request));
        if (answer.result == outcome::done && is_statement) {
            statistics.admitted.push_back({sent_at, steady_clock::now()});
        }
        if (answer.status == 429) {
            ++statistics.refused_by_rate;
        }
        if (answer.status == 200 && answer.result != outcome::done) {
            violation(operation, "status 200 without the outcome done");
        }
        if (!answer.session.empty()) {
            own.token = answer.session;
        }
        co_return answer;
    }

    /// The id stands in the answer itself or in its result.
    static const json::string* transaction_id_of(const caller_answer& answer) {
        const auto* fields = &answer.body;
        if (const auto* result = fields->if_contains("result");
            result != nullptr && result->is_object()) {
            fields = &result->get_object();
        }
        const auto* id = fields->if_contains("transaction");
        return id == nullptr ? nullptr : id->if_string();
    }

    static bool names_row(const caller_answer& answer, const json::value& statement) {
        const auto* result = answer.body.if_contains("result");
        const auto* fields = result == nullptr ? nullptr : result->if_object();
        const auto* key = fields == nullptr ? nullptr : fields->if_contains("key");
        return key != nullptr && *key == statement.at("key");
    }

    write_record& record(const planned_operation& operation, json::array statements, bool keyed) {
        result_.writes.push_back(
            {.id = operation.id,
             .customer = customer(operation).name,
             .route = customer(operation).route,
             .idempotency_key =
                 keyed ? fmt::format("{}-{}", options_.run_id, operation.id) : std::string{},
             .statements = std::move(statements)});
        return result_.writes.back();
    }

    asio::awaitable<outcome> write(const planned_operation& operation, session& own) {
        const bool booking = operation.kind == operation_kind::booking;
        const auto statement =
            booking ? json::value{{"op", "take"},
                                  {"key", fmt::format("{}seat/{}", row_prefix(), operation.id)}}
                    : next_put(own, operation.id);
        const auto number = own.sent;
        const auto index = result_.writes.size();
        record(operation, {statement}, operation.keyed);
        const auto result = co_await attempt_write(operation, own, index);
        result_.writes[index].result = result;
        if (result == outcome::done && booking) {
            result_.acknowledged[customer(operation).route].push_back(steady_clock::now());
        } else if (result == outcome::done) {
            acknowledge(own, operation, number);
        } else if (result == outcome::unknown && !booking) {
            start_row(own);
        }
        co_return result;
    }

    /// Repeats a write of unknown outcome under its idempotency key through other proxies.
    asio::awaitable<outcome> attempt_write(const planned_operation& operation, session& own,
                                           std::size_t index) {
        const auto statement = result_.writes[index].statements.front();
        const auto key = result_.writes[index].idempotency_key;
        auto proxy = caller_.choose(operation.choice);
        bool any_unknown = false;
        for (unsigned attempt = 0; attempt <= options_.retries; ++attempt) {
            const auto answer = co_await send(
                operation, own, proxy, statement_request(route_target(operation), statement, key));
            if (answer.result == outcome::done) {
                if (!names_row(answer, statement)) {
                    violation(operation, "the answer belongs to another request: " +
                                             json::serialize(answer.body));
                }
                co_return outcome::done;
            }
            const bool lost_connection = answer.status == 0;
            if (answer.result == outcome::not_run && !lost_connection) {
                // A cancelled key never runs, whatever the earlier attempts did.
                const bool cancelled = answer.status == 409;
                co_return any_unknown && !cancelled ? outcome::unknown : outcome::not_run;
            }
            any_unknown = any_unknown || answer.result == outcome::unknown;
            if (any_unknown && key.empty()) {
                break;
            }
            proxy = caller_.choose_other(proxy, operation.choice + attempt);
        }
        co_return any_unknown ? outcome::unknown : outcome::not_run;
    }

    asio::awaitable<outcome> write_and_read_elsewhere(const planned_operation& operation,
                                                      session& own) {
        const auto written_through = caller_.choose(operation.choice);
        const auto written = co_await write(operation, own);
        if (written != outcome::done) {
            co_return written;
        }
        co_return co_await read(operation, own,
                                caller_.choose_other(written_through, operation.choice));
    }

    /// The session whose row is read: its own, or any of the customer for reads that ask for more
    /// than read-your-writes.
    session& read_target(const planned_operation& operation, session& own) {
        if (operation.kind != operation_kind::current_read &&
            operation.kind != operation_kind::stale_read) {
            return own;
        }
        auto& sessions = sessions_[operation.customer];
        return *sessions[(operation.choice / 7) % sessions.size()];
    }

    std::uint64_t visible_number(const planned_operation& operation, const session& target,
                                 const session& own) const {
        if (operation.kind != operation_kind::stale_read || &target == &own) {
            return target.acknowledged;
        }
        // The state shown is at most max_staleness older than the sending of the request.
        const auto visible_since = steady_clock::now() - options_.max_staleness;
        std::uint64_t number = 0;
        for (const auto& [at, acknowledged] : target.acknowledgements) {
            number = at < visible_since ? acknowledged : number;
        }
        return number;
    }

    // g++ 12 destroys an aggregate twice that is written inside a co_await expression, so requests
    // are made by functions.
    static caller_request plain_request(std::string target, std::string key = {}) {
        return {
            .target = std::move(target), .idempotency_key = std::move(key), .body = json::object{}};
    }

    static caller_request statement_request(const std::string& parent, const json::value& statement,
                                            std::string key = {}) {
        return {.target = parent + "/statements",
                .idempotency_key = std::move(key),
                .body = statement_body("write", statement)};
    }

    caller_request read_request(const planned_operation& operation,
                                const json::value& statement) const {
        return {.target = route_target(operation) + "/statements",
                .staleness = staleness_header(operation.kind),
                .body = statement_body("read", statement)};
    }

    std::string staleness_header(operation_kind kind) const {
        switch (kind) {
            case operation_kind::stale_read:
                return fmt::to_string(options_.max_staleness.count());
            case operation_kind::session_read:
            case operation_kind::roaming_read:
                return "session";
            default:
                return {};
        }
    }

    asio::awaitable<outcome> read(const planned_operation& operation, session& own,
                                  std::size_t proxy) {
        auto& target = read_target(operation, own);
        read_expectation expected{.key = target.row,
                                  .at_least = visible_number(operation, target, own)};
        const json::value statement{{"op", "get"}, {"key", expected.key}};
        for (unsigned attempt = 0; attempt <= options_.retries; ++attempt) {
            const auto answer =
                co_await send(operation, own, proxy, read_request(operation, statement));
            if (answer.result == outcome::done) {
                check_read_answer(operation, target, expected, answer);
                co_return outcome::done;
            }
            if (answer.status != 0) {
                co_return answer.result;
            }
            proxy = caller_.choose_other(proxy, operation.choice + attempt);
        }
        co_return outcome::unknown;
    }

    void check_read_answer(const planned_operation& operation, const session& target,
                           read_expectation& expected, const caller_answer& answer) {
        // The target may have started another row meanwhile; then any number sent is allowed.
        expected.at_most =
            target.row == expected.key ? target.sent : std::numeric_limits<std::uint64_t>::max();
        const auto* result = answer.body.if_contains("result");
        const auto wrong = check_read(expected, result == nullptr ? json::value{} : *result);
        if (!wrong.empty()) {
            violation(operation, wrong);
        }
        auto& statistics = result_.reads[operation.kind];
        ++statistics.done;
        if (answer.served_by_role == "replica") {
            ++statistics.by_replica;
        }
    }

    /// Begins, books one seat, writes the session's row, and commits, all through one proxy.
    asio::awaitable<outcome> transact(const planned_operation& operation, session& own) {
        const auto proxy = caller_.choose(operation.choice);
        const auto begun = co_await send(operation, own, proxy,
                                         plain_request(route_target(operation) + "/transactions"));
        const auto* id = transaction_id_of(begun);
        if (begun.result != outcome::done || id == nullptr) {
            co_return outcome::not_run;
        }
        const auto target = "/v1/transactions/" + std::string(*id);
        const json::array statements{
            json::value{{"op", "take"},
                        {"key", fmt::format("{}seat/{}", row_prefix(), operation.id)}},
            next_put(own, operation.id)};
        const auto number = own.sent;
        const auto index = result_.writes.size();
        record(operation, statements, true).result = outcome::not_run;
        for (const auto& statement : statements) {
            const auto answer =
                co_await send(operation, own, proxy, statement_request(target, statement));
            if (answer.result != outcome::done) {
                // Nothing of a transaction runs without its commit.
                co_await send(operation, own, proxy, plain_request(target + "/rollback"));
                co_return outcome::not_run;
            }
            if (!names_row(answer, statement)) {
                violation(operation,
                          "the answer belongs to another request: " + json::serialize(answer.body));
            }
        }
        const auto key = result_.writes[index].idempotency_key;
        const auto committed =
            co_await send(operation, own, proxy, plain_request(target + "/commit", key));
        result_.writes[index].result = committed.result;
        if (committed.result == outcome::done) {
            acknowledge(own, operation, number);
        } else if (committed.result == outcome::unknown) {
            start_row(own);
        }
        co_return committed.result;
    }

    const load_options& options_;
    std::vector<planned_operation> plan_;
    asio::io_context io_{1};
    caller caller_;
    std::vector<std::vector<std::unique_ptr<session>>> sessions_;
    run_result result_;
    time_point begin_{};
    std::uint64_t running_ = 0;
    bool planned_all_ = false;
    bool finished_ = false;
};

std::pair<std::uint64_t, std::size_t> rank(const json::array& log) {
    return {log.empty() ? 0 : log.back().at("term").to_number<std::uint64_t>(), log.size()};
}

}  // namespace

run_result run_load(const load_options& options) { return runner(options).run(); }

std::map<std::string, json::array> fetch_logs(const load_options& options) {
    constexpr auto timeout = std::chrono::seconds(10);
    std::map<std::string, json::array> logs;
    for (const auto& [route, address] : options.logs) {
        try {
            const auto answer =
                call_once(address, {.method = "GET", .target = "/control/log"}, timeout);
            auto log = json::parse(answer.body).as_array();
            const auto known = logs.find(route);
            if (known == logs.end() || rank(known->second) < rank(log)) {
                logs[route] = std::move(log);
            }
        } catch (const call_failure&) {
            // Another instance of the route may answer; checked below.
        }
    }
    for (const auto& [route, address] : options.logs) {
        if (!logs.contains(route)) {
            throw std::runtime_error("no instance of route " + route + " gave its log");
        }
    }
    return logs;
}

}  // namespace masticgrade::load
