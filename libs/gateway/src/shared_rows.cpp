#include "shared_rows.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "masticgrade/base/error.hpp"
#include "masticgrade/base/event_log.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// A host of the same failure domain answers within a few milliseconds.
constexpr milliseconds answer_timeout{150};
/// Interval between reads of the store by a host that leaves the reading to others, while none of
/// them has recent rows. Shorter than the proofs that depend on the rows are valid.
constexpr milliseconds fallback_read_interval{2000};

}  // namespace

std::uint64_t digest_rows(const std::vector<table_row>& rows) {
    // The version alone doesn't identify a row's value: a store that was restored from a copy
    // assigns versions again.
    std::string contents;
    for (const auto& row : rows) {
        contents += fmt::format("{}\n{}\n{}\n", row.key, row.version, row.value.size());
        contents += row.value;
    }
    return XXH3_64bits(contents.data(), contents.size());
}

shared_rows::shared_rows(table_service& store, std::function<row_access()> access, host_query query)
    : store_(store), access_(std::move(access)), query_host_(std::move(query)) {}

asio::awaitable<row_snapshot> shared_rows::read(std::string prefix, milliseconds max_age,
                                                time_point deadline) {
    const auto oldest_allowed = boot_clock::now() - max_age;
    const auto access = access_();
    for (const auto& host : access.sources) {
        auto reply = co_await read_from_host(host, prefix, deadline);
        if (reply && reply->read_at >= oldest_allowed && !is_outdated(reply->era)) {
            known_[prefix].read_failed = false;
            co_return std::move(*reply);
        }
    }
    auto& known = known_[prefix];
    const auto now = steady_clock::now();
    if (!access.reads_store && now < known.next_fallback_read) {
        known.read_failed = true;
        throw error("read rows", "", "no host has recent rows");
    }
    known.next_fallback_read = now + fallback_read_interval;
    co_return co_await read_store(std::move(prefix), deadline);
}

asio::awaitable<std::optional<row_snapshot>> shared_rows::read_from_host(host_id host,
                                                                         std::string prefix,
                                                                         time_point deadline) {
    const auto asked_at = boot_clock::now();
    const auto answer_by = std::min(deadline, steady_clock::now() + answer_timeout);
    row_query query{prefix, known_[prefix].snapshot.digest};
    auto reply = co_await query_host_(std::move(host), query, answer_by);
    if (!reply || !reply->known) {
        co_return std::nullopt;
    }
    auto& latest = known_[prefix].snapshot;
    if (reply->digest == query.digest && latest.digest == query.digest) {
        latest.read_at = std::max(latest.read_at, asked_at - reply->age);
        latest.era = std::max(latest.era, reply->era);
        note_era(reply->era, prefix);
        co_return latest;
    }
    row_snapshot snapshot{std::move(reply->rows), reply->digest, asked_at - reply->age, reply->era};
    if (digest_rows(snapshot.rows) != snapshot.digest) {
        // The reply omits rows that matched the query, but this host has replaced them since.
        co_return std::nullopt;
    }
    note_era(snapshot.era, prefix);
    if (snapshot.read_at > latest.read_at) {
        latest = snapshot;
    }
    co_return snapshot;
}

asio::awaitable<row_snapshot> shared_rows::read_store(std::string prefix, time_point deadline) {
    const auto asked_at = boot_clock::now();
    auto name = prefix;
    scan_result scanned;
    try {
        scanned = co_await store_.scan(std::move(name), {}, deadline);
    } catch (const error&) {
        known_[prefix].read_failed = true;
        throw;
    }
    if (is_outdated(scanned.era)) {
        known_[prefix].read_failed = true;
        throw error("read rows", "store", "the rows are from before a restore of the store");
    }
    row_snapshot snapshot{std::move(scanned.rows), 0, asked_at, scanned.era};
    snapshot.digest = digest_rows(snapshot.rows);
    note_era(snapshot.era, prefix);
    auto& known = known_[prefix];
    known.read_failed = false;
    if (snapshot.read_at > known.snapshot.read_at) {
        known.snapshot = snapshot;
    }
    co_return snapshot;
}

bool shared_rows::is_outdated(store_era era) const {
    return era != store_era{} && era < newest_era_;
}

void shared_rows::note_era(store_era era, const std::string& prefix) {
    if (era <= newest_era_) {
        return;
    }
    if (newest_era_ != store_era{}) {
        event_line{"store_restored"}
            .field("era", era)
            .field("previous_era", newest_era_)
            .field("rows", prefix)
            .write();
    }
    newest_era_ = era;
}

row_reply shared_rows::answer(const row_query& query, boot_time now) const {
    const auto found = known_.find(query.prefix);
    if (found == known_.end() || found->second.read_failed ||
        found->second.snapshot.read_at == boot_time{}) {
        return {};
    }
    const auto& latest = found->second.snapshot;
    row_reply reply{
        true, latest.digest, std::chrono::ceil<milliseconds>(now - latest.read_at), {}, latest.era};
    if (latest.digest != query.digest) {
        reply.rows = latest.rows;
    }
    return reply;
}

}  // namespace masticgrade
