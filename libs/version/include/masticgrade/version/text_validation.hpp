#pragma once

#include <string_view>

namespace masticgrade {

/// Whether a string is well-formed UTF-8. Thread safety: reentrant.
bool is_valid_utf8(std::string_view text);

/// Whether a string is a valid entry name: 1 to 128 bytes of UTF-8 without spaces, control
/// characters and characters with a special meaning in URL paths or row keys.
/// Thread safety: reentrant.
bool is_valid_name(std::string_view text);

/// Whether a string is "ip:port", or "[ip]:port" for IPv6, with a port from 1 to 65535.
/// Thread safety: reentrant.
bool is_valid_address(std::string_view text);

}  // namespace masticgrade
