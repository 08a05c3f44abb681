#pragma once

#include <string_view>

namespace masticgrade {

/// Thread safety: reentrant.
bool is_valid_utf8(std::string_view text);

/// Whether a text may name an entry: 1 to 128 bytes of UTF-8 without spaces, control characters
/// and the characters that have a meaning in a URL path or a row key. Thread safety: reentrant.
bool is_valid_name(std::string_view text);

/// Whether a text is "ip:port" with a port from 1 to 65535; IPv6 as "[ip]:port".
/// Thread safety: reentrant.
bool is_valid_address(std::string_view text);

}  // namespace masticgrade
