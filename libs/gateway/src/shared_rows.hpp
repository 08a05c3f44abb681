#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lease_messages.hpp"
#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/net/table_service.hpp"
#include "report_relay.hpp"

namespace masticgrade {

/// Rows of the store and the time at which they were known to be current.
struct row_snapshot {
    std::vector<table_row> rows;
    /// Digest of the keys, versions and values of the rows.
    std::uint64_t digest = 0;
    /// Taken before the request to the store was sent.
    boot_time read_at;
    /// Era of the store in which the rows were read.
    store_era era;
};

/// Digest of the keys, versions and values of rows. Thread safety: reentrant.
std::uint64_t digest_rows(const std::vector<table_row>& rows);

/// Reads rows of the store, either from the store itself or from hosts that have just read them.
///
/// Every host of a large fleet needs the same few rows once a second. Calls to the store are
/// limited in number and cost more than messages within a failure domain, so most hosts query a
/// host of their domain instead. The read time of such an answer is the time before the query was
/// sent minus the age that the other host reports, so a delayed answer only counts as older.
///
/// Lives as long as the process. Thread safety: none; one executor.
class shared_rows {
public:
    using host_query = std::function<boost::asio::awaitable<std::optional<row_reply>>(
        host_id host, row_query query, time_point deadline)>;

    /// `access` returns how this host obtains rows now.
    shared_rows(table_service& store, std::function<row_access()> access, host_query query);

    /// Reads all rows whose keys begin with `prefix`. Rows from other hosts are at most `max_age`
    /// old. Throws masticgrade::error if neither another host nor the store has returned them; a
    /// host that normally leaves the reading to others tries the store once in a while.
    boost::asio::awaitable<row_snapshot> read(std::string prefix, milliseconds max_age,
                                              time_point deadline);
    /// Like `read`, but always from the store itself.
    boost::asio::awaitable<row_snapshot> read_store(std::string prefix, time_point deadline);
    /// Answers the query of another host from the rows that this host has read.
    [[nodiscard]] row_reply answer(const row_query& query, boot_time now) const;
    /// The newest era in which this host, or one that it has queried, has read the store.
    [[nodiscard]] store_era newest_era() const { return newest_era_; }

private:
    struct known_rows {
        row_snapshot snapshot;
        /// The last read of the store failed. Other hosts are told at once, so that they don't wait
        /// for the rows to become too old.
        bool read_failed = false;
        /// When a host that leaves the reading to others may read the store again.
        time_point next_fallback_read{};
    };

    boost::asio::awaitable<std::optional<row_snapshot>> read_from_host(host_id host,
                                                                       std::string prefix,
                                                                       time_point deadline);

    /// Whether rows of this era were read before the last known restore of the store.
    [[nodiscard]] bool is_outdated(store_era era) const;
    /// Logs the first read after the store was restored from a copy.
    void note_era(store_era era, const std::string& prefix);

    table_service& store_;
    std::function<row_access()> access_;
    host_query query_host_;
    std::map<std::string, known_rows> known_;
    store_era newest_era_;
};

}  // namespace masticgrade
