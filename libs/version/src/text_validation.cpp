#include "masticgrade/version/text_validation.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <string>
#include <system_error>

namespace masticgrade {

namespace {

constexpr std::size_t max_name_bytes = 128;

/// Returns the length of the UTF-8 sequence at the start of `text`, or 0 if it is malformed.
std::size_t utf8_sequence_length(std::string_view text) {
    const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    const auto lead = byte(0);
    if (lead < 0x80) {
        return 1;
    }
    const std::size_t length = lead >= 0xF0 ? 4 : lead >= 0xE0 ? 3 : 2;
    if (lead < 0xC2 || lead > 0xF4 || text.size() < length) {
        return 0;
    }
    for (std::size_t i = 1; i < length; ++i) {
        if ((byte(i) & 0xC0) != 0x80) {
            return 0;
        }
    }
    // Rejects overlong encodings, surrogates and code points above U+10FFFF.
    const bool out_of_range = (lead == 0xE0 && byte(1) < 0xA0) ||
                              (lead == 0xED && byte(1) > 0x9F) ||
                              (lead == 0xF0 && byte(1) < 0x90) || (lead == 0xF4 && byte(1) > 0x8F);
    return out_of_range ? 0 : length;
}

}  // namespace

bool is_valid_utf8(std::string_view text) {
    while (!text.empty()) {
        const auto length = utf8_sequence_length(text);
        if (length == 0) {
            return false;
        }
        text.remove_prefix(length);
    }
    return true;
}

bool is_valid_name(std::string_view text) {
    if (text.empty() || text.size() > max_name_bytes || !is_valid_utf8(text)) {
        return false;
    }
    return std::none_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte <= ' ' || byte == 0x7F ||
               std::string_view{"/?#%\"\\"}.find(c) != std::string_view::npos;
    });
}

bool is_valid_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const auto port_text = text.substr(colon + 1);
    unsigned port = 0;
    const auto* end = port_text.data() + port_text.size();
    const auto [rest, failure] = std::from_chars(port_text.data(), end, port);
    if (failure != std::errc{} || rest != end || port < 1 || port > 65535) {
        return false;
    }
    const std::string host{text.substr(0, colon)};
    in6_addr parsed{};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &parsed) == 1;
    }
    // inet_pton would ignore anything after an embedded null character.
    return host.find('\0') == std::string::npos && inet_pton(AF_INET, host.c_str(), &parsed) == 1;
}

}  // namespace masticgrade
