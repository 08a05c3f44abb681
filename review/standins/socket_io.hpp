#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace review {

/// Owns a socket. Thread safety: `shut_down` from any thread, the rest from one.
class stream_socket {
public:
    stream_socket() = default;
    explicit stream_socket(int descriptor) : descriptor_(descriptor) {}
    stream_socket(const stream_socket&) = delete;
    stream_socket& operator=(const stream_socket&) = delete;
    stream_socket(stream_socket&& other) noexcept;
    stream_socket& operator=(stream_socket&& other) noexcept;
    ~stream_socket();

    /// Connects to a loopback port. Returns a closed socket if that fails.
    static stream_socket connect(std::uint16_t port, int timeout_ms);

    [[nodiscard]] bool is_open() const { return descriptor_ >= 0; }
    [[nodiscard]] int descriptor() const { return descriptor_; }
    /// Returns the next line without its end, or nothing when the connection ends or the time is
    /// up.
    std::optional<std::string> read_line(int timeout_ms = -1);
    /// Returns exactly `size` bytes, or nothing.
    std::optional<std::string> read_bytes(std::size_t size, int timeout_ms = -1);
    bool write_all(const std::string& bytes) const;
    /// Ends the connection in both directions; a reader in another thread returns.
    void shut_down() const;
    void close();
    /// Whether the connection ended; the time of a read was up otherwise.
    [[nodiscard]] bool has_ended() const { return ended_; }
    /// Whether the peer has closed the connection, as far as is known without waiting.
    [[nodiscard]] bool is_closed_by_peer() const;

private:
    bool fill(int timeout_ms);

    int descriptor_ = -1;
    bool ended_ = false;
    std::string buffer_;
};

/// A listening socket on a free loopback port. Thread safety: none.
class listener {
public:
    listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    ~listener();

    [[nodiscard]] std::uint16_t port() const { return port_; }
    /// Waits for a connection. Returns a closed socket after `stop`.
    stream_socket accept() const;
    void stop() const;
    /// Refuses connections until `open`.
    void close();
    /// Listens on the same port again.
    void open();

private:
    int descriptor_ = -1;
    std::uint16_t port_ = 0;
};

/// A loopback port that was free a moment ago.
std::uint16_t free_port();

}  // namespace review
