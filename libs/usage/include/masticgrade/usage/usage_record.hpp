#pragma once

#include <optional>
#include <string>
#include <vector>

#include "masticgrade/usage/usage_window.hpp"
#include "masticgrade/version/table_row.hpp"

namespace masticgrade {

/// The state of the fleet's usage reports, kept in one row of the store. It names the host that
/// reports and fixes the counts of each report before the report is sent.
struct usage_record {
    host_id holder;
    /// The holder's process.
    incarnation_number incarnation;
    std::uint64_t fence = 0;
    /// Era of the store in which the record was written.
    store_era era;
    /// The first window whose counts have not been fixed.
    window_number next_window;
    /// Reports whose counts are fixed and of which the platform may not have heard.
    std::vector<window_usage> unconfirmed;

    friend bool operator==(const usage_record&, const usage_record&) = default;
};

/// The record as read from the store.
struct stored_usage_record {
    /// Absent if there is no row or its value is unreadable.
    std::optional<usage_record> record;
    /// Version of the row; zero if there is none.
    fleet_version version;
    /// Era of the store in which the row was read.
    store_era era;
};

/// Key of the row.
inline const std::string usage_record_key = "usage/reports";

/// The row's value. `mark` must differ between writes, so that each of them changes the row.
/// Thread safety: reentrant.
std::string encode_usage_record(const usage_record& record, std::uint64_t mark);
/// Returns nullopt if the value is unreadable. Thread safety: reentrant.
std::optional<usage_record> decode_usage_record(const std::string& value);
/// Thread safety: reentrant.
stored_usage_record find_usage_record(const std::vector<table_row>& rows, store_era era);

}  // namespace masticgrade
