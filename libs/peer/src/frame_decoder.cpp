#include <fmt/format.h>

#include <cstdint>

#include "masticgrade/base/error.hpp"
#include "masticgrade/peer/codec.hpp"

namespace masticgrade::peer {

std::optional<std::size_t> frame_decoder::pending_length() const {
    if (buffer_.size() - consumed_ < frame_prefix_size) {
        return std::nullopt;
    }
    std::size_t length = 0;
    for (std::size_t i = 0; i < frame_prefix_size; ++i) {
        length |= std::size_t{buffer_[consumed_ + i]} << (8 * i);
    }
    return length;
}

void frame_decoder::check_length() const {
    const auto length = pending_length();
    if (length && (*length == 0 || *length > max_payload_size)) {
        throw error("peer frame", "",
                    fmt::format("length {} is outside 1 to {}", *length, max_payload_size));
    }
}

void frame_decoder::feed(std::span<const std::uint8_t> bytes) {
    if (consumed_ > 0) {
        buffer_.erase(buffer_.begin(), buffer_.begin() + static_cast<std::ptrdiff_t>(consumed_));
        consumed_ = 0;
    }
    buffer_.insert(buffer_.end(), bytes.begin(), bytes.end());
    check_length();
}

std::optional<std::vector<std::uint8_t>> frame_decoder::next() {
    const auto length = pending_length();
    if (!length || buffer_.size() - consumed_ - frame_prefix_size < *length) {
        return std::nullopt;
    }
    const auto begin = buffer_.begin() + static_cast<std::ptrdiff_t>(consumed_ + frame_prefix_size);
    std::vector<std::uint8_t> payload(begin, begin + static_cast<std::ptrdiff_t>(*length));
    consumed_ += frame_prefix_size + *length;
    check_length();
    return payload;
}

}  // namespace masticgrade::peer
