#include "masticgrade/control/proxy_admin.hpp"

#include <fmt/format.h>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <set>
#include <utility>

#include "masticgrade/base/error.hpp"
#include "masticgrade/base/invariant.hpp"
#include "masticgrade/net/http_client.hpp"

namespace masticgrade {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view step = "read status";
constexpr unsigned http_status_ok = 200;

}  // namespace

http_proxy_admin::http_proxy_admin(asio::any_io_executor executor,
                                   std::vector<endpoint_address> proxies)
    : executor_(std::move(executor)), proxies_(std::move(proxies)) {
    MG_PRECONDITION(!proxies_.empty());
}

asio::awaitable<json::object> http_proxy_admin::read_status(time_point deadline) {
    std::string failures;
    for (std::size_t i = 0; i < proxies_.size(); ++i) {
        const auto index = (preferred_ + i) % proxies_.size();
        // Divides the remaining time among the remaining proxies: one of them may be unresponsive.
        const auto left = deadline - steady_clock::now();
        const auto share = left / static_cast<duration::rep>(proxies_.size() - i);
        try {
            auto status = co_await fetch_status(proxies_[index], steady_clock::now() + share);
            preferred_ = index;
            co_return status;
        } catch (const error& failure) {
            failures += (failures.empty() ? "" : "; ") + std::string{failure.what()};
        }
    }
    throw error(std::string{step}, "", failures);
}

asio::awaitable<json::object> http_proxy_admin::fetch_status(endpoint_address proxy,
                                                             time_point deadline) {
    http_connection connection{executor_, proxy};
    co_await connection.connect(deadline);
    const http_request request{"GET", "/admin/v1/status", {}, ""};
    const auto response = co_await connection.send(request, deadline);
    if (response.status != http_status_ok) {
        throw error(std::string{step}, proxy.str(),
                    fmt::format("the answer has HTTP status {}", response.status));
    }
    json::error_code failure;
    const auto value = json::parse(response.body, failure);
    if (failure || !value.is_object()) {
        throw error(std::string{step}, proxy.str(), "the answer is not a JSON object");
    }
    co_return value.get_object();
}

std::vector<member_version> parse_member_versions(const json::object& status) {
    const auto fail = [] {
        throw error(std::string{step}, "",
                    "the field members must be a list of {id, version} with distinct ids");
    };
    const auto* members = status.if_contains("members");
    if (members == nullptr || !members->is_array()) {
        fail();
    }
    std::vector<member_version> found;
    std::set<std::string> ids;
    for (const auto& entry : members->get_array()) {
        const auto* member = entry.if_object();
        const auto* id = member == nullptr ? nullptr : member->if_contains("id");
        const auto* version = member == nullptr ? nullptr : member->if_contains("version");
        if (id == nullptr || !id->is_string() || version == nullptr) {
            fail();
        }
        json::error_code failure;
        const auto number = version->to_number<std::uint64_t>(failure);
        const std::string name{id->get_string().data(), id->get_string().size()};
        // A duplicate entry must not count twice towards the majority.
        if (failure || !ids.insert(name).second) {
            fail();
        }
        found.push_back({host_id{name}, fleet_version{number}});
    }
    return found;
}

}  // namespace masticgrade
