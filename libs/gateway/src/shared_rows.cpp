#include "shared_rows.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// A host of the same failure domain answers within a few milliseconds.
constexpr milliseconds answer_timeout{150};

}  // namespace

std::uint64_t digest_rows(const std::vector<table_row>& rows) {
    std::string names;
    for (const auto& row : rows) {
        names += row.key + '\n' + std::to_string(row.version.value()) + '\n';
    }
    return XXH3_64bits(names.data(), names.size());
}

shared_rows::shared_rows(table_service& store, std::function<std::vector<host_id>()> hosts_to_query,
                         host_query query)
    : store_(store), hosts_to_query_(std::move(hosts_to_query)), query_host_(std::move(query)) {}

asio::awaitable<row_snapshot> shared_rows::read(std::string prefix, milliseconds max_age,
                                                time_point deadline) {
    const auto oldest_allowed = boot_clock::now() - max_age;
    for (const auto& host : hosts_to_query_()) {
        auto reply = co_await read_from_host(host, prefix, deadline);
        if (reply && reply->read_at >= oldest_allowed) {
            co_return std::move(*reply);
        }
    }
    co_return co_await read_store(std::move(prefix), deadline);
}

asio::awaitable<std::optional<row_snapshot>> shared_rows::read_from_host(host_id host,
                                                                         std::string prefix,
                                                                         time_point deadline) {
    const auto asked_at = boot_clock::now();
    const auto answer_by = std::min(deadline, steady_clock::now() + answer_timeout);
    row_query query{prefix, latest_[prefix].digest};
    auto reply = co_await query_host_(std::move(host), query, answer_by);
    if (!reply || !reply->known) {
        co_return std::nullopt;
    }
    auto& latest = latest_[prefix];
    if (reply->digest == query.digest && latest.digest == query.digest) {
        latest.read_at = std::max(latest.read_at, asked_at - reply->age);
        co_return latest;
    }
    row_snapshot snapshot{std::move(reply->rows), reply->digest, asked_at - reply->age};
    if (digest_rows(snapshot.rows) != snapshot.digest) {
        // The reply omits rows that matched the query, but this host has replaced them since.
        co_return std::nullopt;
    }
    if (snapshot.read_at > latest.read_at) {
        latest = snapshot;
    }
    co_return snapshot;
}

asio::awaitable<row_snapshot> shared_rows::read_store(std::string prefix, time_point deadline) {
    const auto asked_at = boot_clock::now();
    auto name = prefix;
    auto scanned = co_await store_.scan(std::move(name), {}, deadline);
    row_snapshot snapshot{std::move(scanned.rows), 0, asked_at};
    snapshot.digest = digest_rows(snapshot.rows);
    auto& latest = latest_[prefix];
    if (snapshot.read_at > latest.read_at) {
        latest = snapshot;
    }
    co_return snapshot;
}

row_reply shared_rows::answer(const row_query& query, boot_time now) const {
    const auto found = latest_.find(query.prefix);
    if (found == latest_.end() || found->second.read_at == boot_time{}) {
        return {};
    }
    const auto& latest = found->second;
    row_reply reply{true, latest.digest, std::chrono::ceil<milliseconds>(now - latest.read_at), {}};
    if (latest.digest != query.digest) {
        reply.rows = latest.rows;
    }
    return reply;
}

}  // namespace masticgrade
