#include "toml_file.hpp"

#include <fmt/format.h>

#include <fstream>
#include <toml.hpp>
#include <utility>

namespace masticgrade {

namespace {

namespace json = boost::json;
using toml_value = toml::basic_value<toml::discard_comments, std::map, std::vector>;

/// Converts a top-level TOML array to JSON and records the line of each field.
class section_converter {
public:
    toml_section convert(const toml_value& value) {
        section_.line = value.location().line();
        if (!value.is_array()) {
            section_.value = nullptr;
            return std::move(section_);
        }
        json::array entries;
        for (const auto& entry : value.as_array()) {
            entry_ = entries.size();
            entries.push_back(convert_value(entry, ""));
        }
        section_.value = std::move(entries);
        return std::move(section_);
    }

private:
    json::value convert_value(const toml_value& value, const std::string& path) {
        section_.lines.push_back({{entry_, path}, value.location().line()});
        switch (value.type()) {
            case toml::value_t::boolean:
                return value.as_boolean();
            case toml::value_t::integer:
                return value.as_integer();
            case toml::value_t::floating:
                return value.as_floating();
            case toml::value_t::string:
                return json::value(value.as_string().str);
            case toml::value_t::array:
                return convert_array(value, path);
            case toml::value_t::table:
                return convert_table(value, path);
            default:
                return nullptr;
        }
    }

    json::value convert_array(const toml_value& value, const std::string& path) {
        json::array array;
        for (const auto& element : value.as_array()) {
            array.push_back(convert_value(element, fmt::format("{}[{}]", path, array.size())));
        }
        return array;
    }

    json::value convert_table(const toml_value& value, const std::string& path) {
        json::object object;
        for (const auto& [name, field] : value.as_table()) {
            object[name] = convert_value(field, fmt::format("{}.{}", path, name));
        }
        return object;
    }

    toml_section section_;
    std::size_t entry_ = 0;
};

/// Returns the first line of a toml11 error message; the rest is an excerpt of the file.
std::string first_line(std::string_view message) {
    return std::string{message.substr(0, message.find('\n'))};
}

}  // namespace

toml_file parse_toml_file(const std::filesystem::path& path) {
    toml_file file;
    std::ifstream input{path, std::ios::binary};
    if (!input) {
        file.failure = folder_error{path.string(), 0, "", "cannot be opened"};
        return file;
    }
    try {
        const auto root =
            toml::parse<toml::discard_comments, std::map, std::vector>(input, path.string());
        for (const auto& [name, value] : root.as_table()) {
            file.sections.emplace(name, section_converter{}.convert(value));
        }
    } catch (const toml::exception& failure) {
        file.failure =
            folder_error{path.string(), failure.location().line(), "", first_line(failure.what())};
    } catch (const std::exception& failure) {
        file.failure = folder_error{path.string(), 0, "", first_line(failure.what())};
    }
    return file;
}

}  // namespace masticgrade
