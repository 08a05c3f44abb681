#pragma once

#include <string>
#include <string_view>

namespace masticgrade {

/// Compresses `contents` into a frame. Whatever `base` also contains takes almost no space; the
/// receiver has to pass the same base. Throws masticgrade::error if the library fails.
/// Thread safety: reentrant.
std::string compress_rows(std::string_view contents, std::string_view base);

/// Inverse of `compress_rows`. Throws masticgrade::error if the frame is damaged, was made with
/// another base, or is of more than `max_row_bytes`. Thread safety: reentrant.
std::string decompress_rows(std::string_view frame, std::string_view base);

/// Largest contents of a frame. A configuration of the design size has about 1 MB.
constexpr std::size_t max_row_bytes = std::size_t{32} << 20;

}  // namespace masticgrade
