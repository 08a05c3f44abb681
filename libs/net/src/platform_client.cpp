#include "masticgrade/net/platform_client.hpp"

#include <boost/json.hpp>
#include <mutex>
#include <utility>

#include "masticgrade/base/error.hpp"
#include "masticgrade/net/http_client.hpp"

namespace masticgrade {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t max_idle_connections = 4;

template <class Function>
auto decode(const std::string& step, const std::string& peer, Function function) {
    try {
        return function();
    } catch (const error&) {
        throw;
    } catch (const std::exception& failure) {
        throw error(step, peer, failure.what());
    }
}

std::string string_field(const json::object& object, std::string_view field) {
    return std::string{object.at(field).as_string()};
}

fleet_version version_field(const json::object& object) {
    return fleet_version{object.at("version").to_number<std::uint64_t>()};
}

scan_result decode_scan(const std::string& body) {
    const auto document = json::parse(body).as_object();
    scan_result result;
    result.version = version_field(document);
    for (const auto& entry : document.at("rows").as_array()) {
        const auto& row = entry.as_object();
        const auto& value = row.at("value");
        result.rows.push_back(
            {string_field(row, "key"), version_field(row), json::serialize(value)});
    }
    return result;
}

commit_result decode_commit(const std::string& body) {
    const auto document = json::parse(body).as_object();
    commit_result result;
    result.committed = document.at("committed").as_bool();
    if (result.committed) {
        result.version = version_field(document);
        return result;
    }
    for (const auto& entry : document.at("conflicts").as_array()) {
        const auto& conflict = entry.as_object();
        result.conflicts.push_back({string_field(conflict, "key"), version_field(conflict)});
    }
    return result;
}

std::vector<platform_host> decode_hosts(const std::string& body) {
    std::vector<platform_host> hosts;
    for (const auto& entry : json::parse(body).as_object().at("hosts").as_array()) {
        const auto& host = entry.as_object();
        hosts.push_back({string_field(host, "id"), endpoint_address{string_field(host, "address")},
                         failure_domain_id{string_field(host, "failure_domain")},
                         string_field(host, "kind") == "backend",
                         string_field(host, "state") == "leaving"});
    }
    return hosts;
}

std::string encode(const table_commit& change) {
    json::array conditions;
    for (const auto& condition : change.conditions) {
        conditions.push_back({{"key", condition.key}, {"version", condition.version.value()}});
    }
    json::array puts;
    for (const auto& put : change.puts) {
        puts.push_back({{"key", put.key}, {"value", json::parse(put.value)}});
    }
    return json::serialize(json::object{{"conditions", conditions}, {"puts", puts}});
}

}  // namespace

class platform_client::implementation {
public:
    implementation(asio::any_io_executor executor, endpoint_address platform)
        : executor_(std::move(executor)), platform_(std::move(platform)) {}

    asio::awaitable<http_response> call(std::string method, std::string target, std::string body,
                                        time_point deadline) {
        auto connection = acquire_connection();
        co_await connection->connect(deadline);
        http_request request;
        request.method = std::move(method);
        request.target = std::move(target);
        request.body = std::move(body);
        auto response = co_await connection->send(std::move(request), deadline);
        release_connection(std::move(connection));
        if (response.status != 200 && response.status != 409) {
            throw error("platform", platform_.str(), format_status(response.status));
        }
        co_return response;
    }

    [[nodiscard]] const std::string& peer() const { return platform_.str(); }

private:
    static std::string format_status(unsigned status) { return "status " + std::to_string(status); }

    std::unique_ptr<http_connection> acquire_connection() {
        const std::scoped_lock lock{mutex_};
        while (!idle_connections_.empty()) {
            auto connection = std::move(idle_connections_.back());
            idle_connections_.pop_back();
            if (connection->is_open()) {
                return connection;
            }
        }
        return std::make_unique<http_connection>(executor_, platform_);
    }

    void release_connection(std::unique_ptr<http_connection> connection) {
        const std::scoped_lock lock{mutex_};
        if (connection->is_open() && idle_connections_.size() < max_idle_connections) {
            idle_connections_.push_back(std::move(connection));
        }
    }

    asio::any_io_executor executor_;
    endpoint_address platform_;
    std::mutex mutex_;
    std::vector<std::unique_ptr<http_connection>> idle_connections_;
};

platform_client::platform_client(const asio::any_io_executor& executor, endpoint_address platform)
    : implementation_(std::make_shared<implementation>(executor, std::move(platform))) {}

platform_client::~platform_client() = default;

asio::awaitable<scan_result> platform_client::scan(std::string prefix, fleet_version modified_after,
                                                   time_point deadline) {
    auto self = implementation_;
    auto body = json::serialize(
        json::object{{"prefix", prefix}, {"modified_after", modified_after.value()}});
    const auto response = co_await self->call("POST", "/v1/scan", std::move(body), deadline);
    co_return decode("scan", self->peer(), [&] { return decode_scan(response.body); });
}

asio::awaitable<commit_result> platform_client::commit(table_commit change, time_point deadline) {
    auto self = implementation_;
    const auto response = co_await self->call("POST", "/v1/commit", encode(change), deadline);
    co_return decode("commit", self->peer(), [&] { return decode_commit(response.body); });
}

asio::awaitable<std::vector<platform_host>> platform_client::list_hosts(time_point deadline) {
    auto self = implementation_;
    const auto response = co_await self->call("GET", "/v1/hosts", "", deadline);
    co_return decode("list hosts", self->peer(), [&] { return decode_hosts(response.body); });
}

}  // namespace masticgrade
