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

constexpr std::array<std::string_view, 3> sections = {"customer", "route", "group"};

/// Merges the entries of all files into one document and keeps the place of every field.
class folder_reader {
public:
    folder_content read(const fs::path& folder) {
        for (const auto& file : list_files(folder)) {
            read_file(file);
        }
        auto decoded = decode_configuration(document_);
        for (const auto& found : decoded.errors) {
            // An entry that seems to be missing may be in a file that could not be parsed.
            if (!(found.missing_reference && unreadable_file_)) {
                errors_.push_back(locate(found));
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
            // An empty configuration would refuse every customer, so it must not come from a
            // mistyped folder name.
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
            if (std::find(sections.begin(), sections.end(), name) == sections.end()) {
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
            places_.emplace(merged_path, place{path.string(), line});
        }
        for (auto& entry : section.value.get_array()) {
            merged.get_array().push_back(std::move(entry));
        }
    }

    struct place {
        std::string file;
        std::size_t line = 0;
    };

    /// The place of a field or, when the field is missing, of the entry that lacks it.
    [[nodiscard]] place find_place(std::string_view path) const {
        while (!path.empty()) {
            if (const auto found = places_.find(std::string{path}); found != places_.end()) {
                return found->second;
            }
            const auto parent = path.find_last_of(".[");
            path = path.substr(0, parent == std::string_view::npos ? 0 : parent);
        }
        return {};
    }

    /// Names the entry by its name instead of its position among the entries of all files.
    [[nodiscard]] std::string display(const std::string& path) const {
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

    [[nodiscard]] folder_error locate(const field_error& found) const {
        const auto where = find_place(found.field);
        auto reason = found.reason;
        if (!found.first_definition.empty()) {
            const auto first = find_place(found.first_definition);
            reason += fmt::format("; first defined at {}:{}", first.file, first.line);
        }
        return {where.file, where.line, display(found.field), std::move(reason)};
    }

    json::object document_;
    std::unordered_map<std::string, place> places_;
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
