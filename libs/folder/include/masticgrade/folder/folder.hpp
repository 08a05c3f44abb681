#pragma once

#include <cstddef>
#include <filesystem>
#include <string>
#include <vector>

#include "masticgrade/version/configuration.hpp"

namespace masticgrade {

/// An error found in a configuration folder.
struct folder_error {
    std::string file;
    /// 1-based line number, or 0 if the error concerns the whole file or folder.
    std::size_t line = 0;
    /// The entry and field, for example `customer "kust" rate`; may be empty.
    std::string field;
    std::string reason;
};

/// Formats an error as "FILE:LINE: FIELD: REASON", omitting empty parts. Thread safety: reentrant.
std::string describe(const folder_error& error);

/// The result of reading a folder; `config` is valid only if there are no errors.
struct folder_content {
    configuration config;
    /// Sorted by file and line.
    std::vector<folder_error> errors;
};

/// Reads the TOML files (*.toml) of a configuration folder in file name order and merges their
/// entries. Reports all errors, not just the first. Thread safety: reentrant.
folder_content read_folder(const std::filesystem::path& folder);

}  // namespace masticgrade
