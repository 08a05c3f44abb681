#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/version/table_row.hpp"

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

/// Serializes rows. Equal rows give equal bytes. Thread safety: reentrant.
std::string serialize_rows(const std::vector<table_row>& rows);
/// Inverse of `serialize_rows`. Throws masticgrade::error if the bytes are not serialized rows.
/// Thread safety: reentrant.
std::vector<table_row> parse_rows(std::string_view bytes);

}  // namespace masticgrade
