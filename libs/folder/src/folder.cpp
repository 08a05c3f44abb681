#include "masticgrade/folder/folder.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <system_error>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "masticgrade/version/configuration_codec.hpp"
#include "toml_file.hpp"

namespace masticgrade {

namespace {

namespace fs = std::filesystem;
namespace json = boost::json;

constexpr std::array<std::string_view, 3> known_sections = {"customer", "route", "group"};

/// Merges the entries of all files into one document and records the source location of each field.
class folder_reader {
public:
    folder_content read(const fs::path& folder) {
        for (const auto& file : list_files(folder)) {
            read_file(file);
        }
        auto decoded = decode_configuration(document_);
        for (const auto& found : decoded.errors) {
            // The missing entry may be defined in a file that could not be parsed.
            if (!(found.missing_reference && unreadable_file_)) {
                errors_.push_back(to_folder_error(found));
            }
        }
        std::stable_sort(errors_.begin(), errors_.end(), [](const auto& left, const auto& right) {
            return std::tie(left.file, left.line) < std::tie(right.file, right.line);
        });
        return {std::move(decoded.config), std::move(errors_)};
    }

private:
    std::vector<fs::path> list_files(const fs::path& folder) {
        std::vector<fs::path> files;
        std::error_code failure;
        for (fs::directory_iterator entry{folder, failure}, end; !failure && entry != end;
             entry.increment(failure)) {
            if (entry->path().extension() == ".toml") {
                files.push_back(entry->path());
            }
        }
        if (failure) {
            errors_.push_back({folder.string(), 0, "", failure.message()});
        } else if (files.empty()) {
            // A mistyped folder name must not yield an empty configuration, which would reject
            // every customer.
            errors_.push_back({folder.string(), 0, "", "the folder has no .toml files"});
        }
        std::sort(files.begin(), files.end());
        return files;
    }

    void read_file(const fs::path& path) {
        auto parsed = parse_toml_file(path);
        if (parsed.failure) {
            unreadable_file_ = true;
            errors_.push_back(*parsed.failure);
            return;
        }
        for (auto& [name, section] : parsed.sections) {
            if (std::find(known_sections.begin(), known_sections.end(), name) ==
                known_sections.end()) {
                errors_.push_back({path.string(), section.line, name, "is not a known section"});
            } else if (!section.value.is_array()) {
                errors_.push_back({path.string(), section.line, name,
                                   fmt::format("must be written as [[{}]]", name)});
            } else {
                append(path, name, section);
            }
        }
    }

    void append(const fs::path& path, const std::string& name, toml_section& section) {
        auto& merged = document_[name];
        if (!merged.is_array()) {
            merged.emplace_array();
        }
        const auto offset = merged.get_array().size();
        for (const auto& [element_path, line] : section.lines) {
            const auto merged_path =
                fmt::format("{}[{}]{}", name, offset + element_path.entry, element_path.field);
            locations_.emplace(merged_path, source_location{path.string(), line});
        }
        for (auto& entry : section.value.get_array()) {
            merged.get_array().push_back(std::move(entry));
        }
    }

    struct source_location {
        std::string file;
        std::size_t line = 0;
    };

    /// Returns the location of a field or, if the field is missing, of its nearest enclosing
    /// element.
    [[nodiscard]] source_location find_location(std::string_view path) const {
        while (!path.empty()) {
            if (const auto found = locations_.find(std::string{path}); found != locations_.end()) {
                return found->second;
            }
            const auto parent = path.find_last_of(".[");
            path = path.substr(0, parent == std::string_view::npos ? 0 : parent);
        }
        return {};
    }

    /// Formats a field path for display: the name of the entry replaces its index, which counts the
    /// entries of all files.
    [[nodiscard]] std::string format_field(const std::string& path) const {
        const auto open = path.find('[');
        const auto close = path.find(']');
        if (open == std::string::npos || close == std::string::npos) {
            return path;
        }
        const auto section = path.substr(0, open);
        const auto index = std::stoul(path.substr(open + 1, close - open - 1));
        const auto field = path.size() > close + 2 ? " " + path.substr(close + 2) : std::string{};
        const auto* entry = document_.at(section).as_array().at(index).if_object();
        const auto* name = entry == nullptr ? nullptr : entry->if_contains("name");
        if (name == nullptr || !name->is_string()) {
            return section + field;
        }
        return fmt::format("{} \"{}\"{}", section, name->get_string().c_str(), field);
    }

    [[nodiscard]] folder_error to_folder_error(const field_error& found) const {
        const auto location = find_location(found.field);
        auto reason = found.reason;
        if (!found.first_definition.empty()) {
            const auto first = find_location(found.first_definition);
            reason += fmt::format("; first defined at {}:{}", first.file, first.line);
        }
        return {location.file, location.line, format_field(found.field), std::move(reason)};
    }

    json::object document_;
    std::unordered_map<std::string, source_location> locations_;
    std::vector<folder_error> errors_;
    bool unreadable_file_ = false;
};

}  // namespace

std::string describe(const folder_error& error) {
    auto text = error.file;
    if (error.line != 0) {
        text += fmt::format(":{}", error.line);
    }
    if (!error.field.empty()) {
        text += ": " + error.field;
    }
    return text + ": " + error.reason;
}

folder_content read_folder(const fs::path& folder) { return folder_reader{}.read(folder); }

}  // namespace masticgrade
