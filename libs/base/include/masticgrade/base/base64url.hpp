#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace masticgrade {

/// Encodes bytes with the URL-safe base64 alphabet and without padding. Thread safety: reentrant.
std::string encode_base64url(std::string_view bytes);

/// Decodes URL-safe base64 without padding. Returns `std::nullopt` if the text is malformed.
/// Thread safety: reentrant.
std::optional<std::string> decode_base64url(std::string_view text);

}  // namespace masticgrade
