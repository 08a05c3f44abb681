#include "field_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <utility>

#include "masticgrade/base/error.hpp"
#include "masticgrade/version/text_validation.hpp"

namespace masticgrade {

namespace {

constexpr std::size_t max_quoted_bytes = 60;

/// Formats a value for an error message.
std::string quote(const boost::json::value& value) {
    if (const auto* number = value.if_double(); number != nullptr && !std::isfinite(*number)) {
        return fmt::format("{}", *number);
    }
    auto text = boost::json::serialize(value);
    if (text.size() > max_quoted_bytes || !is_valid_utf8(text)) {
        return "a value of another type or form";
    }
    return text;
}

std::optional<double> as_number(const boost::json::value& value) {
    if (const auto* number = value.if_double()) {
        return *number;
    }
    if (const auto* number = value.if_int64()) {
        return static_cast<double>(*number);
    }
    if (const auto* number = value.if_uint64()) {
        return static_cast<double>(*number);
    }
    return std::nullopt;
}

std::optional<std::uint64_t> as_unsigned(const boost::json::value& value) {
    if (const auto* number = value.if_uint64()) {
        return *number;
    }
    if (const auto* number = value.if_int64(); number != nullptr && *number >= 0) {
        return static_cast<std::uint64_t>(*number);
    }
    return std::nullopt;
}

bool is_sha256_text(std::string_view text) {
    return text.size() == 64 && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

constexpr std::string_view invalid_name_reason =
    "must be a name: 1 to 128 bytes of UTF-8 without spaces, control characters and /?#%\"\\";

}  // namespace

boost::json::value parse_json(std::string_view text, std::string_view step) {
    boost::json::error_code failure;
    auto value = boost::json::parse(text, failure);
    if (failure) {
        throw error(std::string{step}, "", "not valid JSON: " + failure.message());
    }
    return value;
}

field_reader::field_reader(const boost::json::value& value, std::string path,
                           std::vector<field_error>& errors)
    : object_(value.if_object()), path_(std::move(path)), errors_(&errors) {
    if (object_ == nullptr) {
        errors_->push_back({path_, "must be an object"});
    }
}

std::string field_reader::path_of(std::string_view key) const {
    return path_.empty() ? std::string{key} : fmt::format("{}.{}", path_, key);
}

void field_reader::report(std::string_view key, std::string reason) {
    errors_->push_back({path_of(key), std::move(reason)});
}

const boost::json::value* field_reader::optional(std::string_view key) {
    read_keys_.emplace(key);
    return object_ == nullptr ? nullptr : object_->if_contains(key);
}

const boost::json::value* field_reader::required(std::string_view key) {
    const auto* value = optional(key);
    // The constructor has already reported a value that is not an object.
    if (value == nullptr && object_ != nullptr) {
        report(key, "is missing");
    }
    return value;
}

std::string field_reader::name(std::string_view key) {
    const auto* value = required(key);
    if (value == nullptr) {
        return {};
    }
    const auto* string = value->if_string();
    if (string == nullptr || !is_valid_name(*string)) {
        report(key, fmt::format("{}, got {}", invalid_name_reason, quote(*value)));
        return {};
    }
    return std::string{*string};
}

std::string field_reader::text(std::string_view key) {
    const auto* value = required(key);
    const auto* string = value == nullptr ? nullptr : value->if_string();
    if (string == nullptr || string->empty()) {
        if (value != nullptr) {
            report(key, fmt::format("must be a text that is not empty, got {}", quote(*value)));
        }
        return {};
    }
    return std::string{*string};
}

std::string field_reader::optional_text(std::string_view key) {
    const auto* value = optional(key);
    const auto* string = value == nullptr ? nullptr : value->if_string();
    if (value != nullptr && string == nullptr) {
        report(key, fmt::format("must be a text, got {}", quote(*value)));
    }
    return string == nullptr ? std::string{} : std::string{*string};
}

std::string field_reader::address(std::string_view key) {
    const auto* value = required(key);
    if (value == nullptr) {
        return {};
    }
    const auto* string = value->if_string();
    if (string == nullptr || !is_valid_address(*string)) {
        report(key,
               fmt::format("must be ip:port with a port from 1 to 65535, got {}", quote(*value)));
        return {};
    }
    return std::string{*string};
}

std::string field_reader::sha256(std::string_view key) {
    const auto* value = required(key);
    if (value == nullptr) {
        return {};
    }
    const auto* string = value->if_string();
    if (string == nullptr || !is_sha256_text(*string)) {
        // The value is not quoted, because it may be a plaintext key entered by mistake.
        report(key, "must be the SHA-256 hash of a key, 64 lower-case hexadecimal digits");
        return {};
    }
    return std::string{*string};
}

double field_reader::positive_number(std::string_view key, double minimum, double maximum) {
    const auto* value = required(key);
    if (value == nullptr) {
        return 0;
    }
    const auto number = as_number(*value);
    // NaN compares false and is rejected as well.
    const bool in_range = number && *number > 0 && *number >= minimum && *number <= maximum;
    if (!in_range) {
        const auto bound = minimum > 0 ? fmt::format("of at least {}", minimum) : "greater than 0";
        report(key, fmt::format("must be a number {} and at most {}, got {}", bound, maximum,
                                quote(*value)));
        return 0;
    }
    return *number;
}

std::uint64_t field_reader::integer(std::string_view key, std::uint64_t minimum,
                                    std::uint64_t maximum) {
    const auto* value = required(key);
    if (value == nullptr) {
        return minimum;
    }
    const auto number = as_unsigned(*value);
    if (!number || *number < minimum || *number > maximum) {
        report(key, fmt::format("must be an integer from {} to {}, got {}", minimum, maximum,
                                quote(*value)));
        return minimum;
    }
    return *number;
}

bool field_reader::optional_flag(std::string_view key) {
    const auto* value = optional(key);
    if (value == nullptr) {
        return false;
    }
    if (!value->is_bool()) {
        report(key, fmt::format("must be true or false, got {}", quote(*value)));
        return false;
    }
    return value->get_bool();
}

std::vector<field_reader::element> field_reader::optional_elements(std::string_view key) {
    return optional(key) == nullptr ? std::vector<element>{} : elements(key);
}

std::vector<field_reader::element> field_reader::elements(std::string_view key) {
    std::vector<element> found;
    const auto* value = required(key);
    if (value == nullptr) {
        return found;
    }
    const auto* array = value->if_array();
    if (array == nullptr) {
        report(key, fmt::format("must be a list, got {}", quote(*value)));
        return found;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        found.push_back({&(*array)[i], fmt::format("{}[{}]", path_of(key), i)});
    }
    return found;
}

std::vector<std::string> field_reader::names(std::string_view key) {
    std::vector<std::string> found;
    for (const auto& [value, path] : elements(key)) {
        const auto* string = value->if_string();
        if (string == nullptr || !is_valid_name(*string)) {
            errors_->push_back(
                {path, fmt::format("{}, got {}", invalid_name_reason, quote(*value))});
            continue;
        }
        found.emplace_back(*string);
    }
    return found;
}

void field_reader::reject_unknown_fields() {
    if (object_ == nullptr) {
        return;
    }
    for (const auto& field : *object_) {
        if (!read_keys_.contains(std::string_view{field.key()})) {
            report(field.key(), "is not a known field");
        }
    }
}

}  // namespace masticgrade
