#pragma once

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "masticgrade/base/error.hpp"
#include "masticgrade/control/proxy_admin.hpp"
#include "masticgrade/net/http_client.hpp"
#include "masticgrade/net/table_service.hpp"

namespace masticgrade::fake {

/// The fault injected into one commit.
enum class commit_fault {
    none,
    /// The commit takes effect, but its response is lost.
    response_lost,
    /// The request is lost in transit.
    request_lost,
    /// The connection to the platform is refused.
    unreachable
};

/// An in-memory implementation of the platform's table service.
class table final : public table_service {
public:
    /// Faults injected into the next commits, in order.
    std::deque<commit_fault> faults;
    /// Runs before each commit, for example to commit a conflicting change.
    std::function<void()> before_commit = [] {};
    bool scans_fail = false;
    int commits = 0;

    void put(const std::string& key, const std::string& value) {
        rows_[key] = {key, version_ = version_.next(), value};
    }
    [[nodiscard]] const table_row& row(const std::string& key) const { return rows_.at(key); }
    [[nodiscard]] fleet_version version() const { return version_; }

    boost::asio::awaitable<scan_result> scan(std::string prefix, fleet_version modified_after,
                                             time_point) override {
        if (scans_fail) {
            throw error("scan", "platform", "timed out");
        }
        scan_result result;
        result.version = version_;
        for (const auto& [key, row] : rows_) {
            if (key.starts_with(prefix) && row.version > modified_after) {
                result.rows.push_back(row);
            }
        }
        co_return result;
    }

    boost::asio::awaitable<commit_result> commit(table_commit change, time_point) override {
        ++commits;
        before_commit();
        const auto fault = faults.empty() ? commit_fault::none : faults.front();
        if (!faults.empty()) {
            faults.pop_front();
        }
        if (fault == commit_fault::unreachable) {
            throw request_error("connect", "platform", "refused", false);
        }
        if (fault == commit_fault::request_lost) {
            throw request_error("answer", "platform", "timed out", true);
        }
        auto result = apply(change);
        if (fault == commit_fault::response_lost) {
            throw request_error("answer", "platform", "timed out", true);
        }
        co_return result;
    }

    boost::asio::awaitable<std::vector<platform_host>> list_hosts(time_point) override {
        co_return std::vector<platform_host>{};
    }

private:
    commit_result apply(const table_commit& change) {
        commit_result result;
        for (const auto& condition : change.conditions) {
            const auto found = rows_.find(condition.key);
            const auto present = found == rows_.end() ? fleet_version{} : found->second.version;
            if (present != condition.version) {
                result.conflicts.push_back({condition.key, present});
            }
        }
        if (result.conflicts.empty()) {
            for (const auto& row : change.puts) {
                put(row.key, row.value);
            }
            result.committed = true;
            result.version = version_;
        }
        return result;
    }

    std::map<std::string, table_row> rows_;
    fleet_version version_;
};

/// A proxy of a fleet of `members` hosts, of which `up_to_date` apply every change immediately.
class proxies final : public proxy_admin {
public:
    int members = 5;
    int up_to_date = 5;

    boost::asio::awaitable<boost::json::object> read_status(time_point) override {
        co_return status();
    }

private:
    [[nodiscard]] boost::json::object status() const {
        boost::json::array list;
        for (int i = 0; i < members; ++i) {
            list.push_back(
                {{"id", "host-" + std::to_string(i)}, {"version", i < up_to_date ? 99 : 0}});
        }
        return {{"version", 99}, {"members", std::move(list)}};
    }
};

/// Runs a coroutine to completion and returns its result or throws its exception.
template <class Result>
Result run(boost::asio::awaitable<Result> task) {
    boost::asio::io_context context;
    auto result = boost::asio::co_spawn(context, std::move(task), boost::asio::use_future);
    context.run();
    return result.get();
}

}  // namespace masticgrade::fake
