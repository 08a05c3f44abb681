#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "database_server.hpp"

namespace masticgrade::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

// Bounds the memory of one answer; a replica far behind asks again at once.
constexpr std::size_t entries_per_answer = 500;
// How long a primary without new entries keeps a replica waiting. A replica's age is known at
// least this often.
constexpr auto longest_poll = milliseconds{20};
// A primary that was isolated in the middle of an answer never sends it.
constexpr auto answer_timeout = milliseconds{500};
constexpr auto retry_pause = milliseconds{10};

json::object request_to_json(const replication_request& request) {
    return {{"term", request.term},
            {"previous_position", request.previous_position},
            {"previous_term", request.previous_term}};
}

replication_answer answer_from_json(const json::object& body) {
    replication_answer answer;
    answer.status = std::string(body.at("status").as_string());
    answer.received_position = body.at("received_position").to_number<std::uint64_t>();
    for (const auto& entry : body.at("entries").as_array()) {
        answer.entries.push_back(log_entry_from_json(entry));
    }
    return answer;
}

asio::awaitable<json::object> exchange(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                       json::object body) {
    http::request<http::string_body> request{http::verb::post, "/v1/replicate", 11};
    request.set(http::field::host, "instance");
    request.body() = json::serialize(body);
    request.prepare_payload();
    stream.expires_after(answer_timeout);
    co_await http::async_write(stream, request, asio::use_awaitable);
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
    co_return json::parse(parser.get().body()).as_object();
}

}  // namespace

void database_server::start_coroutines(asio::io_context& io) {
    asio::co_spawn(io, advance_when_due(), asio::detached);
    asio::co_spawn(io, replicate(), asio::detached);
}

asio::awaitable<http_response> database_server::answer_replica(const std::string& body) {
    const auto fields = json::parse(body).as_object();
    const replication_request request{
        .term = fields.at("term").to_number<std::uint64_t>(),
        .previous_position = fields.at("previous_position").to_number<std::uint64_t>(),
        .previous_term = fields.at("previous_term").to_number<std::uint64_t>()};
    const auto began = steady_clock::now();
    auto answer = instance_.entries_for(request, entries_per_answer);
    while (answer.status == "ok" && answer.entries.empty() &&
           steady_clock::now() < began + longest_poll) {
        co_await changed_.wait_until(began + longest_poll);
        answer = instance_.entries_for(request, entries_per_answer);
    }
    const auto waited = std::chrono::floor<microseconds>(steady_clock::now() - began);
    json::array entries;
    for (const auto& entry : answer.entries) {
        entries.push_back(to_json(entry));
    }
    co_return json_response(json::object{{"status", answer.status},
                                         {"received_position", answer.received_position},
                                         {"waited_us", waited.count()},
                                         {"entries", std::move(entries)}});
}

asio::awaitable<void> database_server::follow_primary(const std::string& address) {
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    beast::flat_buffer buffer;
    stream.expires_after(answer_timeout);
    co_await stream.async_connect(parse_endpoint(address), asio::use_awaitable);
    stream.socket().set_option(asio::ip::tcp::no_delay(true));
    while (may_replicate() && instance_.primary_address() == address) {
        const auto request = instance_.next_replication_request();
        if (!request) {
            co_return;
        }
        const auto sent_at = steady_clock::now();
        const auto body = co_await exchange(stream, buffer, request_to_json(*request));
        if (!may_replicate()) {
            co_return;
        }
        // The primary looked at its log this long after it received the request, so the answer is
        // at least as recent as that.
        const auto current_as_of = sent_at + microseconds{body.at("waited_us").as_int64()};
        if (!instance_.accept_answer(*request, answer_from_json(body), current_as_of,
                                     steady_clock::now() + faults_.receive_delay)) {
            co_await sleep_for(retry_pause);
        }
        advance();
        changed_.notify_all();
    }
}

asio::awaitable<void> database_server::replicate() {
    for (;;) {
        if (may_replicate() && instance_.next_replication_request()) {
            try {
                const auto address = instance_.primary_address();
                co_await follow_primary(address);
                continue;
            } catch (const std::exception&) {
                // The primary cannot be reached or sent something unusable; tried again below.
            }
        }
        co_await sleep_for(retry_pause);
    }
}

}  // namespace masticgrade::standins
