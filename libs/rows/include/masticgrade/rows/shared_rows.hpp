#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/net/table_service.hpp"
#include "masticgrade/rows/row_download.hpp"
#include "masticgrade/rows/row_messages.hpp"
#include "masticgrade/rows/row_snapshot.hpp"
#include "masticgrade/rows/row_source.hpp"

namespace masticgrade {

/// How a host obtains the rows of the store.
struct row_access {
    /// Hosts to query for rows that they have read, in order of preference. Empty on the host that
    /// reads the store for the whole fleet.
    std::vector<host_id> sources;
    /// Whether this host reads the store whenever no source has recent rows. In a large failure
    /// domain only a few hosts do, since an outage of the store would otherwise turn all hosts into
    /// readers.
    bool reads_store = true;
};

/// Reads rows of the store, either from the store itself or from hosts that have just read them.
///
/// Every host of a large fleet needs the same few rows once a second. Calls to the store are
/// limited in number and cost more than messages within a failure domain, so most hosts query a
/// host of their domain instead. The read time of such an answer is the time before the query was
/// sent minus the age that the other host reports, so a delayed answer only counts as older.
/// Changed rows travel as compressed differences in small pieces; see row_source.
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
    /// host that normally leaves the reading to others tries the store once in a while. What has
    /// arrived of an incomplete transfer is kept for the next call.
    boost::asio::awaitable<row_snapshot> read(std::string prefix, milliseconds max_age,
                                              time_point deadline);
    /// Like `read`, but always from the store itself.
    boost::asio::awaitable<row_snapshot> read_store(std::string prefix, time_point deadline);
    /// Answers the query of another host from the rows that this host has read.
    [[nodiscard]] row_reply answer(const row_query& query, boot_time now);
    /// The newest era in which this host, or one that it has queried, has read the store.
    [[nodiscard]] store_era newest_era() const { return newest_era_; }

private:
    struct known_rows {
        row_source source;
        row_download download;
        /// The last read of the store failed. Other hosts are told at once, so that they don't wait
        /// for the rows to become too old.
        bool read_failed = false;
        /// When a host that leaves the reading to others may read the store again.
        time_point next_fallback_read{};

        /// Digest of the current rows; 0 if there are none.
        [[nodiscard]] std::uint64_t digest() const {
            return source.has_rows() ? source.current().digest : 0;
        }
    };

    /// Sets `is_transferring` if the host has sent a part of the rows.
    boost::asio::awaitable<std::optional<row_snapshot>> read_from_host(host_id host,
                                                                       std::string prefix,
                                                                       time_point deadline,
                                                                       bool& is_transferring);
    /// The rows that a reply brings; nullopt if it brings none, only a part of them, or a damaged
    /// frame.
    std::optional<std::vector<table_row>> rows_of(known_rows& known, row_reply& reply);
    static void keep(known_rows& known, const row_snapshot& snapshot);

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
