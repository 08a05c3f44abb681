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

namespace masticgrade {

/// Rows of the store with the moment since when they are certain.
struct row_snapshot {
    std::vector<table_row> rows;
    /// Names the rows and their versions.
    std::uint64_t digest = 0;
    /// Before the store was asked for them.
    boot_time read_at;
};

/// Names rows and their versions. Thread safety: reentrant.
std::uint64_t digest_rows(const std::vector<table_row>& rows);

/// Reads rows of the store, from the store itself or from hosts that have just read them.
///
/// Answers this load pattern: every host of a large fleet needs the same few rows once a second,
/// and the store's calls are few and cost more than messages within a failure domain. What another
/// host says counts from the moment before the question was sent, less the age that it tells, so
/// that an answer which was held up only counts as older.
///
/// Lives as long as the process. Thread safety: none; one executor.
class shared_rows {
public:
    using ask_host = std::function<boost::asio::awaitable<std::optional<row_reply>>(
        host_id host, row_query question, time_point deadline)>;

    /// `hosts_to_ask` names those that read the store for this one; none on such a host itself.
    shared_rows(table_service& store, std::function<std::vector<host_id>()> hosts_to_ask,
                ask_host ask);

    /// Reads all rows whose keys begin with `prefix`, no older than `max_age` where others are
    /// asked. Throws masticgrade::error when the store had to be asked and failed.
    boost::asio::awaitable<row_snapshot> read(std::string prefix, milliseconds max_age,
                                              time_point deadline);
    /// As above, from the store itself.
    boost::asio::awaitable<row_snapshot> read_store(std::string prefix, time_point deadline);
    /// What this host can tell another one.
    [[nodiscard]] row_reply tell(const row_query& question, boot_time now) const;

private:
    boost::asio::awaitable<std::optional<row_snapshot>> ask(host_id host, std::string prefix,
                                                            time_point deadline);

    table_service& store_;
    std::function<std::vector<host_id>()> hosts_to_ask_;
    ask_host ask_;
    std::map<std::string, row_snapshot> newest_;
};

}  // namespace masticgrade
