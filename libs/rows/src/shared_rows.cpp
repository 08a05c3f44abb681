#include "masticgrade/rows/shared_rows.hpp"

#include <algorithm>
#include <utility>

#include "masticgrade/base/error.hpp"
#include "masticgrade/base/event_log.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// A host of the same failure domain answers within a few milliseconds. Applies to each piece of a
/// transfer.
constexpr milliseconds answer_timeout{150};
/// Interval between reads of the store by a host that leaves the reading to others, while none of
/// them has recent rows. Shorter than the proofs that depend on the rows are valid.
constexpr milliseconds fallback_read_interval{2000};

}  // namespace

shared_rows::shared_rows(table_service& store, std::function<row_access()> access, host_query query)
    : store_(store), access_(std::move(access)), query_host_(std::move(query)) {}

asio::awaitable<row_snapshot> shared_rows::read(std::string prefix, milliseconds max_age,
                                                time_point deadline) {
    const auto oldest_allowed = boot_clock::now() - max_age;
    const auto access = access_();
    bool is_transferring = false;
    for (const auto& host : access.sources) {
        auto reply = co_await read_from_host(host, prefix, deadline, is_transferring);
        if (reply && reply->read_at >= oldest_allowed && !is_outdated(reply->era)) {
            known_[prefix].read_failed = false;
            co_return std::move(*reply);
        }
    }
    auto& known = known_[prefix];
    const auto now = steady_clock::now();
    // The store would send everything over a link that is too slow for the differences, and a
    // transfer that has used all the time leaves none for the store.
    const bool is_waiting = is_transferring && (!access.reads_store || now >= deadline);
    if (is_waiting) {
        throw error("read rows", "", "the transfer is not complete");
    }
    if (!access.reads_store && now < known.next_fallback_read) {
        known.read_failed = true;
        throw error("read rows", "", "no host has recent rows");
    }
    known.next_fallback_read = now + fallback_read_interval;
    co_return co_await read_store(std::move(prefix), deadline);
}

asio::awaitable<std::optional<row_snapshot>> shared_rows::read_from_host(host_id host,
                                                                         std::string prefix,
                                                                         time_point deadline,
                                                                         bool& is_transferring) {
    auto& known = known_[prefix];
    for (;;) {
        const auto asked_at = boot_clock::now();
        const auto answer_by = std::min(deadline, steady_clock::now() + answer_timeout);
        if (known.download.base() != 0 && known.download.base() != known.digest()) {
            known.download.reset();
        }
        row_query query{prefix, known.digest(), true, known.download.progress()};
        auto reply = co_await query_host_(host, query, answer_by);
        if (!reply || !reply->known) {
            co_return std::nullopt;
        }
        const bool is_other_frame = reply->piece && reply->piece->frame != query.progress.frame;
        if (is_transferring && is_other_frame) {
            // Keeps what an earlier source has sent of its frame.
            co_return std::nullopt;
        }
        row_snapshot snapshot{{}, reply->digest, asked_at - reply->age, reply->era};
        if (reply->digest == query.digest && known.digest() == query.digest) {
            known.download.reset();
            snapshot.rows = known.source.current().rows;
        } else if (auto rows = rows_of(known, *reply)) {
            snapshot.rows = std::move(*rows);
        } else if (known.download.progress().received > query.progress.received ||
                   (is_other_frame && known.download.progress().received > 0)) {
            is_transferring = true;
            continue;
        } else {
            co_return std::nullopt;
        }
        if (is_outdated(snapshot.era)) {
            co_return std::nullopt;
        }
        note_era(snapshot.era, prefix);
        keep(known, snapshot);
        co_return known.source.current();
    }
}

std::optional<std::vector<table_row>> shared_rows::rows_of(known_rows& known, row_reply& reply) {
    std::vector<table_row> rows = std::move(reply.rows);
    if (reply.piece) {
        known.download.add(*reply.piece);
        if (!known.download.is_complete()) {
            return std::nullopt;
        }
        const std::vector<table_row> nothing;
        try {
            rows = known.download.take(known.source.has_rows() ? known.source.current().rows
                                                               : nothing);
        } catch (const error& failure) {
            event_line{"row_transfer_failed"}.field("reason", failure.what()).write();
            return std::nullopt;
        }
    }
    // A reply may omit rows that matched the query, although this host has replaced them since.
    if (digest_rows(rows) != reply.digest) {
        return std::nullopt;
    }
    return rows;
}

void shared_rows::keep(known_rows& known, const row_snapshot& snapshot) {
    if (!known.source.has_rows() || snapshot.read_at > known.source.current().read_at) {
        if (known.digest() != snapshot.digest) {
            // The next query names the new rows and gets the difference from them.
            known.download.reset();
        }
        known.source.update(snapshot);
    }
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
    keep(known, snapshot);
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

row_reply shared_rows::answer(const row_query& query, boot_time now) {
    const auto found = known_.find(query.prefix);
    if (found == known_.end() || found->second.read_failed || !found->second.source.has_rows()) {
        return {};
    }
    return found->second.source.answer(query, now);
}

}  // namespace masticgrade
