#pragma once

#include <cstddef>
#include <filesystem>
#include <string>
#include <vector>

#include "masticgrade/version/configuration.hpp"

namespace masticgrade {

/// One error of a configuration folder.
struct folder_error {
    std::string file;
    /// Counted from 1; 0 when the error concerns the file or the folder as a whole.
    std::size_t line = 0;
    /// The entry and the field, for example `customer "kust" rate`; may be empty.
    std::string field;
    std::string reason;
};

/// "FILE:LINE: FIELD: REASON", without the parts that are empty. Thread safety: reentrant.
std::string describe(const folder_error& error);

/// The content of a folder; `config` may be used only when there are no errors.
struct folder_content {
    configuration config;
    /// In the order of files and lines.
    std::vector<folder_error> errors;
};

/// Reads the TOML files (*.toml) of a folder in file name order and merges their entries. Every
/// error is reported, not only the first one. Thread safety: reentrant.
folder_content read_folder(const std::filesystem::path& folder);

}  // namespace masticgrade
