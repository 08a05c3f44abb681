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

/// Parses JSON text. Throws masticgrade::error with the given step.
boost::json::value parse_json(std::string_view text, std::string_view step);

/// Reads the fields of one JSON object and collects an error for each field that is not as
/// expected; the value returned for such a field is a default.
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
    double positive_number(std::string_view key, double lowest, double highest);
    std::uint64_t integer(std::string_view key, std::uint64_t lowest, std::uint64_t highest);
    bool optional_flag(std::string_view key);
    std::vector<std::string> names(std::string_view key);
    /// The elements of an array, each with its path; empty when the field is missing.
    struct element {
        const boost::json::value* value;
        std::string path;
    };
    std::vector<element> optional_elements(std::string_view key);
    std::vector<element> elements(std::string_view key);
    const boost::json::value* required(std::string_view key);

    void report(std::string_view key, std::string reason);
    void reject_unknown_fields();
    [[nodiscard]] std::string path_of(std::string_view key) const;

private:
    const boost::json::value* optional(std::string_view key);

    const boost::json::object* object_ = nullptr;
    std::string path_;
    std::vector<field_error>* errors_;
    std::set<std::string, std::less<>> known_;
};

}  // namespace masticgrade
