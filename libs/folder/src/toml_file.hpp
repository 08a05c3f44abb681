#pragma once

#include <boost/json.hpp>
#include <cstddef>
#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "masticgrade/folder/folder.hpp"

namespace masticgrade {

/// A field of a section: the index of the entry and the path within it, for example ".rate".
struct entry_field {
    std::size_t entry = 0;
    std::string field;
};

struct field_line {
    entry_field path;
    std::size_t line = 0;
};

/// The entries of one file under one top-level name. `value` is null if it is not an array.
struct toml_section {
    std::size_t line = 0;
    boost::json::value value;
    std::vector<field_line> lines;
};

struct toml_file {
    std::map<std::string, toml_section> sections;
    std::optional<folder_error> failure;
};

/// Parses one file. Values without a JSON equivalent, such as dates, become null.
toml_file parse_toml_file(const std::filesystem::path& path);

}  // namespace masticgrade
