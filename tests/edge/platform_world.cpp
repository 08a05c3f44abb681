#include "platform_world.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <future>
#include <set>
#include <sstream>

#include "line_words.hpp"
#include "masticgrade/base/error.hpp"

namespace masticgrade::edge_test {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

const std::string service = "ledger";
/// Operations per second. A new fleet starts without tokens, and these runs begin as soon as it
/// serves; at this rate the tokens of a statement are there before it arrives.
constexpr std::uint64_t unlimited_rate = 1'000'000;

/// The request that a line asks for, in the words of the model.
backend_request decode(const std::string& id, std::string text) {
    const auto at_least = take_position(text);
    auto rest = text;
    const auto word = take_word(rest);
    if (word == "BEGIN") {
        return backend_begin{rest == "READ", at_least};
    }
    if (word == "ROLLBACK") {
        return backend_rollback{};
    }
    if (word == "COMMIT") {
        return backend_statement{statement_id{id}, "commit", std::nullopt};
    }
    if (word == "READ" || word == "WRITE") {
        const std::string model_word = word == "READ" ? "read " : "write ";
        return backend_statement{statement_id{id}, model_word + rest, at_least};
    }
    if (word == "SET") {
        const auto name = take_word(rest);
        return backend_set{name, rest};
    }
    if (word == "PREPARE") {
        const auto name = take_word(rest);
        const auto access = take_word(rest) == "READ" ? access_kind::read : access_kind::write;
        return backend_prepare{name, access, rest};
    }
    if (word == "EXECUTE") {
        const auto name = take_word(rest);
        return backend_execute{statement_id{id}, name, rest, at_least};
    }
    if (word == "DISCARD") {
        return backend_reset{};
    }
    if (word == "PAUSE") {
        return backend_hold{term_number{std::stoull(rest)}};
    }
    if (word == "RESUME") {
        return backend_resume{};
    }
    if (word == "STEPDOWN") {
        return backend_step_down{term_number{std::stoull(rest)}};
    }
    return backend_status{};
}

std::string code_name(answer_code code) {
    switch (code) {
        case answer_code::read_only:
            return "READONLY";
        case answer_code::lagging:
            return "LAGGING";
        case answer_code::unknown_prepared:
            return "NOSUCHSTMT";
        default:
            return "FAILED";
    }
}

}  // namespace

struct platform_world::instance_server {
    instance_server(asio::io_context& context, test::fake_instance& instance)
        : model(instance), acceptor(context, {asio::ip::make_address_v4("127.0.0.1"), 0}) {}

    test::fake_instance& model;
    asio::ip::tcp::acceptor acceptor;
    std::set<std::shared_ptr<asio::ip::tcp::socket>> sockets;
    bool alive = true;
};

platform_world::platform_world() {
    for (const auto& [name, primary] :
         {std::pair{"i-a", true}, std::pair{"i-b", false}, std::pair{"i-c", false}}) {
        auto& instance = model_.add(name, primary);
        auto server = std::make_unique<instance_server>(context_, instance);
        instance.entry.address = endpoint_address{
            "127.0.0.1:" + std::to_string(server->acceptor.local_endpoint().port())};
        asio::co_spawn(context_, accept(*server), asio::detached);
        servers_[name] = std::move(server);
    }
    publish_entries();
    store_ = std::make_unique<http_server>(
        context_.get_executor(), endpoint_address{"127.0.0.1:0"}, http_server_limits{},
        [this](const http_peer&, http_request request) { return answer_http(std::move(request)); });
    store_->start();
    thread_ = std::thread{[this] { context_.run(); }};
}

platform_world::~platform_world() {
    context_.stop();
    thread_.join();
}

std::string platform_world::store_address() const {
    return "127.0.0.1:" + std::to_string(store_->port());
}

void platform_world::run_in_world(const std::function<void()>& action) {
    std::promise<void> done;
    asio::post(context_, [&] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

void platform_world::publish_entries() {
    for (auto& [name, server] : servers_) {
        if (!server->alive) {
            rows_.remove("servers", name);
            continue;
        }
        const json::object entry{{"service", service},
                                 {"address", server->model.entry.address.str()},
                                 {"zone", "north"},
                                 {"version", "v1"},
                                 {"slots", 3},
                                 {"state", "ready"},
                                 {"warmup-left-ms", 0},
                                 {"db-role", server->model.is_primary ? "primary" : "replica"},
                                 {"sequence", rows_.version()},
                                 {"born", 1}};
        rows_.put("servers", name, json::serialize(entry));
    }
}

void platform_world::put_entry(const std::string& name, const std::string& value) {
    run_in_world([&] { rows_.put("servers", name, value); });
}

void platform_world::configure(const std::vector<std::string>& keys) {
    run_in_world([&] { write_configuration(keys); });
}

void platform_world::copy_store() {
    run_in_world([&] { rows_.copy(); });
}

void platform_world::restore_store(const std::vector<std::string>& keys) {
    run_in_world([&] {
        rows_.restore();
        write_configuration(keys);
        publish_entries();
    });
}

void platform_world::write_configuration(const std::vector<std::string>& keys) {
    json::array routes;
    for (const auto* type : {"primary", "bounded", "read_own"}) {
        routes.push_back(json::object{{"name", type},
                                      {"database", std::string{"db-"} + type},
                                      {"type", type},
                                      {"service", service},
                                      {"timeout-ms", 3000},
                                      {"target-latency-ms", 500},
                                      {"max-staleness-ms", 2500},
                                      {"priority", 1},
                                      {"public", false}});
    }
    json::array key_texts;
    for (const auto& key : keys) {
        key_texts.emplace_back(key);
    }
    const json::object customer{{"name", "parish"},
                                {"api-keys", key_texts},
                                {"rate-per-s", unlimited_rate},
                                {"burst", unlimited_rate}};
    const json::object document{
        {"version", ++configuration_version_},
        {"routes", routes},
        {"services", json::array{json::object{{"name", service}, {"max-connections", 20}}}},
        {"limits", json::object{{"tx-idle-ms", 3000}}},
        {"tenants", json::array{customer}}};
    rows_.put("op", "config", json::serialize(document));
}

void platform_world::kill_instance(const std::string& name) {
    run_in_world([&] {
        auto& server = *servers_.at(name);
        server.alive = false;
        server.model.is_primary = false;
        boost::system::error_code ignored;
        server.acceptor.close(ignored);
        for (const auto& socket : server.sockets) {
            socket->close(ignored);
        }
        publish_entries();
    });
}

void platform_world::set_work(milliseconds work) {
    run_in_world([&] { work_ = work; });
}

void platform_world::lose_next_commit_answer() {
    run_in_world([&] { lose_answer_ = true; });
}

void platform_world::repeat_answers() {
    run_in_world([&] { repeats_answers_ = true; });
}

std::vector<std::vector<std::string>> platform_world::transactions() {
    std::vector<std::vector<std::string>> result;
    run_in_world([&] { result = transactions_; });
    return result;
}

std::string platform_world::primary() {
    std::string result;
    run_in_world([&] {
        for (const auto& [name, server] : servers_) {
            if (server->alive && server->model.is_primary) {
                result = name;
            }
        }
    });
    return result;
}

std::size_t platform_world::promotions() {
    std::size_t result = 0;
    run_in_world([&] { result = promotions_.orders.size(); });
    return result;
}

std::size_t platform_world::runs_of(const std::string& statement) {
    std::size_t result = 0;
    run_in_world([&] {
        for (const auto& [name, server] : servers_) {
            result += server->model.runs_of(statement);
        }
    });
    return result;
}

std::uint64_t platform_world::longest_log() {
    std::uint64_t result = 0;
    run_in_world([&] {
        for (const auto& [name, server] : servers_) {
            result = std::max(result, server->alive ? server->model.position : 0);
        }
    });
    return result;
}

asio::awaitable<http_response> platform_world::answer_http(http_request request) {
    if (request.target == "/promote") {
        co_return co_await promote(request.body);
    }
    auto response = rows_.answer(request);
    if (lose_answer_ && request.target == "/rows-tx") {
        lose_answer_ = false;
        constexpr seconds longer_than_any_deadline{5};
        asio::steady_timer silence{context_, longer_than_any_deadline};
        co_await silence.async_wait(asio::use_awaitable);
    }
    co_return response;
}

asio::awaitable<http_response> platform_world::promote(const std::string& body) {
    const auto order = json::parse(body).as_object();
    const instance_id target{std::string{order.at("id").as_string()}};
    if (!servers_.at(target.str())->alive) {
        co_return make_json_response({}, 409);
    }
    co_await promotions_.promote(group_id{service}, target, 0, steady_clock::now());
    for (auto& [name, server] : servers_) {
        server->model.held = {};
        server->model.term = model_.at(target.str()).term;
    }
    publish_entries();
    co_return make_json_response({});
}

void platform_world::replicate() {
    for (const auto& [name, server] : servers_) {
        if (!server->alive || !server->model.is_primary) {
            continue;
        }
        for (auto& [other, replica] : servers_) {
            if (replica->model.held == term_number{}) {
                replica->model.position = server->model.position;
            }
        }
    }
}

asio::awaitable<void> platform_world::accept(instance_server& server) {
    while (server.alive) {
        boost::system::error_code fault;
        auto socket = std::make_shared<asio::ip::tcp::socket>(context_);
        co_await server.acceptor.async_accept(*socket,
                                              asio::redirect_error(asio::use_awaitable, fault));
        if (fault) {
            co_return;
        }
        server.sockets.insert(socket);
        asio::co_spawn(context_, serve(server, socket), asio::detached);
    }
}

std::string platform_world::answer_line(instance_server& server, const statement_answer& answer,
                                        const std::string& text) {
    std::ostringstream lines;
    if (answer.code == answer_code::done) {
        const auto item = text.find("READ ");
        if (item != std::string::npos && text.find("BEGIN") == std::string::npos) {
            lines << "DATAROW " << data_[text.substr(item + 5)] << "\r\n";
        }
        if (text == "STATUS" || text.rfind("PAUSE", 0) == 0 || text == "RESUME" ||
            text.rfind("STEPDOWN", 0) == 0) {
            const auto& model = server.model;
            lines << "DATAROW " << (model.is_primary ? "primary " : "replica ")
                  << model.term.value() << ' ' << model.term.value() << '.' << model.position << ' '
                  << model.held.value() << " 0 0 1\r\n";
        }
        lines << "COMPLETE " << answer.text << "\r\n";
    } else {
        lines << "ERROR " << code_name(answer.code) << " refused\r\n";
    }
    const char* phase = answer.phase == transaction_phase::none   ? "I"
                        : answer.phase == transaction_phase::open ? "T"
                                                                  : "E";
    lines << "READY " << phase << ' ' << server.model.term.value() << '.' << server.model.position
          << "\r\n";
    return lines.str();
}

asio::awaitable<void> platform_world::serve(instance_server& server,
                                            std::shared_ptr<asio::ip::tcp::socket> socket) {
    test::fake_link link{server.model};
    std::string buffer;
    std::string previous;
    std::optional<std::size_t> transaction;
    try {
        for (;;) {
            const auto length = co_await asio::async_read_until(
                *socket, asio::dynamic_buffer(buffer), "\r\n", asio::use_awaitable);
            auto line = buffer.substr(0, length - 2);
            buffer.erase(0, length);
            if (repeats_answers_ && !previous.empty()) {
                co_await asio::async_write(*socket, asio::buffer(previous), asio::use_awaitable);
            }
            const auto word = take_word(line);
            std::string reply;
            if (word == "START") {
                reply = "READY I " + std::to_string(server.model.term.value()) + "." +
                        std::to_string(server.model.position) + "\r\n";
            } else {
                const auto id = take_word(line);
                std::vector<backend_request> requests;
                requests.push_back(decode(id, line));
                if (line.rfind("WRITE ", 0) == 0 && server.model.is_primary) {
                    auto rest = line.substr(6);
                    const auto item = take_word(rest);
                    data_[item] = rest;
                }
                auto answers =
                    co_await link.run(std::move(requests), steady_clock::now() + seconds{1});
                auto& answer = answers.front();
                if (line == "COMMIT" && answer.code == answer_code::done) {
                    answer.text = "signature-" + id;
                }
                const bool is_open = answer.phase != transaction_phase::none;
                if (is_open && !transaction) {
                    transaction = transactions_.size();
                    transactions_.emplace_back();
                }
                if (transaction && id != "-") {
                    transactions_.at(*transaction).push_back(id);
                }
                if (!is_open) {
                    transaction.reset();
                }
                replicate();
                asio::steady_timer work{context_, work_};
                co_await work.async_wait(asio::use_awaitable);
                reply = answer_line(server, answer, line);
            }
            previous = reply;
            co_await asio::async_write(*socket, asio::buffer(reply), asio::use_awaitable);
        }
    } catch (const boost::system::system_error&) {
        // The proxy closed the connection, or the instance was killed.
    }
    server.sockets.erase(socket);
}

}  // namespace masticgrade::edge_test
