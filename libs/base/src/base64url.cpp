#include "masticgrade/base/base64url.hpp"

#include <openssl/evp.h>

#include <algorithm>

namespace masticgrade {

namespace {

constexpr bool is_base64url(char c) {
    return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_';
}

}  // namespace

std::string encode_base64url(std::string_view bytes) {
    // EVP_EncodeBlock appends a terminating null character.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const auto* input = reinterpret_cast<const unsigned char*>(bytes.data());
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), input,
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    text.erase(std::find(text.begin(), text.end(), '='), text.end());
    std::replace(text.begin(), text.end(), '+', '-');
    std::replace(text.begin(), text.end(), '/', '_');
    return text;
}

std::optional<std::string> decode_base64url(std::string_view text) {
    if (text.size() % 4 == 1 || !std::all_of(text.begin(), text.end(), is_base64url)) {
        return std::nullopt;
    }
    std::string padded{text};
    std::replace(padded.begin(), padded.end(), '-', '+');
    std::replace(padded.begin(), padded.end(), '_', '/');
    const auto padding = (4 - padded.size() % 4) % 4;
    padded.append(padding, '=');
    std::string bytes(padded.size() / 4 * 3, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                       reinterpret_cast<const unsigned char*>(padded.data()),
                                       static_cast<int>(padded.size()));
    if (length < 0) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

}  // namespace masticgrade
