#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "masticgrade/peer/messages.hpp"

namespace masticgrade::peer {

/// The largest payload of a frame; bounds the memory that one peer can make this process use.
inline constexpr std::size_t max_payload_size = std::size_t{1} << 20;
inline constexpr std::size_t frame_prefix_size = 4;

/// Returns a whole frame: the length prefix and the encoded envelope.
/// Throws masticgrade::error when the payload would exceed `max_payload_size`. Thread safety:
/// reentrant.
std::vector<std::uint8_t> encode(const envelope& message);

/// Decodes the payload of one frame. Throws masticgrade::error when the bytes are not a valid
/// envelope. Thread safety: reentrant.
envelope decode(std::span<const std::uint8_t> payload);

/// Splits a byte stream into frame payloads. Thread safety: none; one decoder per connection.
class frame_decoder {
public:
    /// Adds received bytes. Throws masticgrade::error as soon as a length is zero or above
    /// `max_payload_size`; the connection must then be closed.
    void feed(std::span<const std::uint8_t> bytes);

    /// The next complete payload, if any.
    std::optional<std::vector<std::uint8_t>> next();

private:
    [[nodiscard]] std::optional<std::size_t> pending_length() const;
    void check_length() const;

    std::vector<std::uint8_t> buffer_;
    std::size_t consumed_ = 0;
};

}  // namespace masticgrade::peer
