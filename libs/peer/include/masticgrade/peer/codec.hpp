#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "masticgrade/peer/messages.hpp"

namespace masticgrade::peer {

/// Maximum size of a frame payload in bytes. Bounds the memory that a peer can make this process
/// allocate.
inline constexpr std::size_t max_payload_size = std::size_t{1} << 20;
inline constexpr std::size_t frame_prefix_size = 4;

/// Encodes an envelope as a complete frame, including the length prefix.
/// Throws masticgrade::error if the payload exceeds `max_payload_size`. Safe to call from any
/// thread.
std::vector<std::uint8_t> encode(const envelope& message);

/// Decodes the payload of one frame. Throws masticgrade::error if the bytes are not a valid
/// envelope. Safe to call from any thread.
envelope decode(std::span<const std::uint8_t> payload);

/// Splits a byte stream into frame payloads. Not thread-safe; each connection has its own decoder.
class frame_decoder {
public:
    /// Appends received bytes. Throws masticgrade::error as soon as a frame length is zero or
    /// exceeds `max_payload_size`; the caller must then close the connection.
    void feed(std::span<const std::uint8_t> bytes);

    /// Returns the next complete payload, or nothing if more bytes are needed. Throws
    /// masticgrade::error if the length of the frame after it is invalid.
    std::optional<std::vector<std::uint8_t>> next();

private:
    [[nodiscard]] std::optional<std::size_t> pending_length() const;
    void check_length() const;

    std::vector<std::uint8_t> buffer_;
    std::size_t consumed_ = 0;
};

}  // namespace masticgrade::peer
