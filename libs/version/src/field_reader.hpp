#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "masticgrade/version/configuration_codec.hpp"

namespace masticgrade {

/// Parses JSON text. Throws masticgrade::error with `step` if the text is malformed.
boost::json::value parse_json(std::string_view text, std::string_view step);

/// Reads the fields of a JSON object. For each missing or invalid field it records an error and
/// returns a default value.
class field_reader {
public:
    /// Preconditions: `value` and `errors` outlive the reader.
    field_reader(const boost::json::value& value, std::string path,
                 std::vector<field_error>& errors);

    std::string name(std::string_view key);
    std::string text(std::string_view key);
    std::string optional_text(std::string_view key);
    std::string address(std::string_view key);
    std::string sha256(std::string_view key);
    double positive_number(std::string_view key, double minimum, double maximum);
    std::uint64_t integer(std::string_view key, std::uint64_t minimum, std::uint64_t maximum);
    bool optional_flag(std::string_view key);
    std::vector<std::string> names(std::string_view key);
    /// An array element and its path in the document.
    struct element {
        const boost::json::value* value;
        std::string path;
    };
    /// The elements of an array; empty if the field is missing.
    std::vector<element> optional_elements(std::string_view key);
    std::vector<element> elements(std::string_view key);
    /// Returns the value of a field, or null and records an error if the field is missing.
    const boost::json::value* required(std::string_view key);

    /// Records an error for a field.
    void report(std::string_view key, std::string reason);
    /// Records an error for each field of the object that has not been read.
    void reject_unknown_fields();
    [[nodiscard]] std::string path_of(std::string_view key) const;

private:
    const boost::json::value* optional(std::string_view key);

    const boost::json::object* object_ = nullptr;
    std::string path_;
    std::vector<field_error>* errors_;
    std::set<std::string, std::less<>> read_keys_;
};

}  // namespace masticgrade
