#include "platform_server.hpp"

#include <sstream>

namespace masticgrade::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

json::object parse_host(const std::string& text) {
    json::object host{{"state", "live"}};
    std::istringstream fields(text);
    for (std::string field; std::getline(fields, field, ',');) {
        const auto equals = field.find('=');
        if (equals == std::string::npos) {
            throw std::invalid_argument("not a host: " + text);
        }
        host[field.substr(0, equals)] = field.substr(equals + 1);
    }
    for (const auto* required : {"id", "address", "failure_domain", "kind"}) {
        if (!host.contains(required)) {
            throw std::invalid_argument(std::string("host without ") + required + ": " + text);
        }
    }
    return host;
}

json::array parse_hosts(const std::vector<std::string>& texts) {
    json::array hosts;
    for (const auto& text : texts) {
        hosts.push_back(parse_host(text));
    }
    return hosts;
}

table_store::row_versions conditions_of(const json::object& body) {
    table_store::row_versions conditions;
    for (const auto& condition : body.at("conditions").as_array()) {
        const auto& fields = condition.as_object();
        conditions.emplace_back(std::string(fields.at("key").as_string()),
                                fields.at("version").to_number<std::uint64_t>());
    }
    return conditions;
}

std::vector<std::pair<std::string, json::value>> puts_of(const json::object& body) {
    std::vector<std::pair<std::string, json::value>> puts;
    for (const auto& put : body.at("puts").as_array()) {
        const auto& fields = put.as_object();
        puts.emplace_back(std::string(fields.at("key").as_string()), fields.at("value"));
    }
    return puts;
}

}  // namespace

class platform_server::session : public http_session {
public:
    explicit session(platform_server& server) : server_(server) {}

    asio::awaitable<http_response> handle(http_request request) override {
        try {
            co_return server_.answer(request);
        } catch (const std::exception& failure) {
            co_return json_response(json::object{{"reason", failure.what()}}, 400);
        }
    }

private:
    platform_server& server_;
};

platform_server::platform_server(asio::io_context& io, const platform_settings& settings)
    : server_(io, settings.listen, {}, faults_,
              [this] { return std::make_unique<session>(*this); }),
      control_(io, settings.control, faults_,
               {.changed = [this](const json::object& request) { control_changed(request); },
                .log = [this]() -> json::value { return table_.history(); }}) {
    faults_.host_list_lag = settings.host_list_lag;
    hosts_.set(parse_hosts(settings.hosts), steady_clock::now());
}

http_response platform_server::answer(const http_request& request) {
    if (request.target.starts_with("/v1/objects/")) {
        return objects(request);
    }
    if (request.method == "GET" && request.target == "/v1/hosts") {
        return json_response(
            json::object{{"hosts", hosts_.at(steady_clock::now(), faults_.host_list_lag)}});
    }
    if (request.method == "POST" && request.target == "/v1/scan") {
        const auto body = json::parse(request.body).as_object();
        return json_response(table_.scan(std::string(body.at("prefix").as_string()),
                                         body.at("modified_after").to_number<std::uint64_t>()));
    }
    if (request.method == "POST" && request.target == "/v1/commit") {
        return commit(json::parse(request.body).as_object());
    }
    return json_response(json::object{{"reason", "unknown path"}}, 404);
}

http_response platform_server::commit(const json::object& body) {
    const auto outcome = table_.commit(conditions_of(body), puts_of(body));
    http_response response;
    if (outcome.committed) {
        response = json_response(json::object{{"committed", true}, {"version", outcome.version}});
        response.lost = consume(faults_.lose_answers);
        return response;
    }
    json::array conflicts;
    for (const auto& [key, version] : outcome.conflicts) {
        conflicts.push_back(json::object{{"key", key}, {"version", version}});
    }
    return json_response(json::object{{"committed", false}, {"conflicts", std::move(conflicts)}},
                         409);
}

http_response platform_server::objects(const http_request& request) {
    if (request.method == "PUT") {
        objects_[request.target] = request.body;
        auto response = json_response(json::object{});
        response.lost = consume(faults_.lose_answers);
        return response;
    }
    const auto found = objects_.find(request.target);
    if (request.method != "GET" || found == objects_.end()) {
        return json_response(json::object{{"reason", "no such object"}}, 404);
    }
    return {.status = 200, .body = found->second};
}

void platform_server::control_changed(const json::object& request) {
    if (const auto* list = request.if_contains("hosts"); list != nullptr) {
        hosts_.set(list->as_array(), steady_clock::now());
        return;
    }
    const auto& fault = request.at("fault").as_string();
    if (fault == "silent") {
        const auto* take_effect = request.if_contains("value");
        server_.silence_connections(take_effect != nullptr && *take_effect != json::value(0));
    }
    if (fault == "leaving") {
        auto hosts = hosts_.newest();
        const auto& id = request.at("host").as_string();
        for (auto& host : hosts) {
            if (host.at("id") == id) {
                host.as_object()["state"] = request.at("on").as_bool() ? "leaving" : "live";
            }
        }
        hosts_.set(std::move(hosts), steady_clock::now());
    }
    server_.faults_changed();
}

}  // namespace masticgrade::standins
