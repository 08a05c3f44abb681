#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "masticgrade/version/configuration.hpp"

namespace masticgrade {

/// One error of a configuration document.
struct field_error {
    /// The path of the field, for example "customer[2].rate".
    std::string field;
    std::string reason;
    /// For a name that is defined twice: the path of the first definition.
    std::string first_definition = {};
    /// Whether the field refers to an entry that does not exist.
    bool missing_reference = false;

    friend bool operator==(const field_error&, const field_error&) = default;
};

/// A decoded document; `config` may be used only when there are no errors.
struct decoded_configuration {
    configuration config;
    std::vector<field_error> errors;
};

/// Decodes the document {customer: [..], route: [..], group: [..]} and reports every error.
/// Thread safety: reentrant.
decoded_configuration decode_configuration(const boost::json::value& document);

/// As above, from JSON text. Throws masticgrade::error that names the first field in error.
configuration parse_configuration(std::string_view text);

/// Thread safety: reentrant.
boost::json::value encode_configuration(const configuration& config);

}  // namespace masticgrade
