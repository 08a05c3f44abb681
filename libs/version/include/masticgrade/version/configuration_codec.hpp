#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "masticgrade/version/configuration.hpp"

namespace masticgrade {

/// An error found in a configuration document.
struct field_error {
    /// The path of the field, for example "customer[2].rate".
    std::string field;
    std::string reason;
    /// For a duplicate definition, the path of the first definition.
    std::string first_definition = {};
    /// Whether the field refers to an undefined entry.
    bool missing_reference = false;

    friend bool operator==(const field_error&, const field_error&) = default;
};

/// A decoded document; `config` is valid only if there are no errors.
struct decoded_configuration {
    configuration config;
    std::vector<field_error> errors;
};

/// Decodes a document of the form {customer: [..], route: [..], group: [..]}. Reports all errors.
/// Thread safety: reentrant.
decoded_configuration decode_configuration(const boost::json::value& document);

/// Decodes JSON text. Throws masticgrade::error with the first invalid field.
configuration parse_configuration(std::string_view text);

/// Thread safety: reentrant.
boost::json::value encode_configuration(const configuration& config);

}  // namespace masticgrade
