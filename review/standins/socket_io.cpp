#include "socket_io.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <random>
#include <set>
#include <stdexcept>
#include <utility>

namespace review {

namespace {

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void send_at_once(int descriptor) {
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

stream_socket::stream_socket(stream_socket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)),
      ended_(other.ended_),
      buffer_(std::move(other.buffer_)) {}

stream_socket& stream_socket::operator=(stream_socket&& other) noexcept {
    if (this != &other) {
        close();
        descriptor_ = std::exchange(other.descriptor_, -1);
        ended_ = other.ended_;
        buffer_ = std::move(other.buffer_);
    }
    return *this;
}

stream_socket::~stream_socket() { close(); }

stream_socket stream_socket::connect(std::uint16_t port, int timeout_ms) {
    stream_socket result{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)};
    const auto address = loopback(port);
    if (::connect(result.descriptor_, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0) {
        pollfd waiting{result.descriptor_, POLLOUT, 0};
        int failure = 0;
        socklen_t size = sizeof failure;
        if (errno != EINPROGRESS || ::poll(&waiting, 1, timeout_ms) != 1 ||
            ::getsockopt(result.descriptor_, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 ||
            failure != 0) {
            result.close();
            return result;
        }
    }
    send_at_once(result.descriptor_);
    return result;
}

bool stream_socket::fill(int timeout_ms) {
    for (;;) {
        pollfd waiting{descriptor_, POLLIN, 0};
        const int ready = ::poll(&waiting, 1, timeout_ms);
        if (ready < 0 && errno == EINTR) {
            continue;
        }
        if (ready <= 0) {
            return false;
        }
        std::array<char, 16384> chunk{};
        const auto size = ::recv(descriptor_, chunk.data(), chunk.size(), 0);
        if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
            continue;
        }
        if (size <= 0) {
            ended_ = true;
            return false;
        }
        buffer_.append(chunk.data(), static_cast<std::size_t>(size));
        return true;
    }
}

std::optional<std::string> stream_socket::read_line(int timeout_ms) {
    for (;;) {
        const auto end = buffer_.find('\n');
        if (end != std::string::npos) {
            auto line = buffer_.substr(0, end);
            buffer_.erase(0, end + 1);
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            return line;
        }
        if (!is_open() || !fill(timeout_ms)) {
            return std::nullopt;
        }
    }
}

std::optional<std::string> stream_socket::read_bytes(std::size_t size, int timeout_ms) {
    while (buffer_.size() < size) {
        if (!is_open() || !fill(timeout_ms)) {
            return std::nullopt;
        }
    }
    auto bytes = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return bytes;
}

bool stream_socket::is_closed_by_peer() const {
    char byte = 0;
    const auto size = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

bool stream_socket::write_all(const std::string& bytes) const {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto size =
            ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size > 0) {
            sent += static_cast<std::size_t>(size);
            continue;
        }
        pollfd waiting{descriptor_, POLLOUT, 0};
        constexpr int write_timeout_ms = 5000;
        if ((errno != EAGAIN && errno != EINTR) || ::poll(&waiting, 1, write_timeout_ms) <= 0) {
            return false;
        }
    }
    return true;
}

void stream_socket::shut_down() const { ::shutdown(descriptor_, SHUT_RDWR); }

void stream_socket::close() {
    if (descriptor_ >= 0) {
        ::close(std::exchange(descriptor_, -1));
    }
}

listener::listener() { open(); }

void listener::open() {
    descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = loopback(port_);
    socklen_t size = sizeof address;
    constexpr int backlog = 1024;
    if (descriptor_ < 0 ||
        ::bind(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(descriptor_, backlog) != 0 ||
        ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        throw std::runtime_error("cannot listen on a loopback port");
    }
    port_ = ntohs(address.sin_port);
}

void listener::close() { ::close(std::exchange(descriptor_, -1)); }

listener::~listener() { close(); }

stream_socket listener::accept() const {
    const int accepted = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (accepted >= 0) {
        send_at_once(accepted);
    }
    return stream_socket{accepted};
}

void listener::stop() const { ::shutdown(descriptor_, SHUT_RDWR); }

std::uint16_t free_port() {
    // Below the range of the ports that outgoing connections get.
    constexpr unsigned first = 20000;
    constexpr unsigned last = 32000;
    static std::mt19937 random{std::random_device{}()};
    static std::set<std::uint16_t> given;
    std::uniform_int_distribution<unsigned> draw{first, last};
    for (;;) {
        const auto port = static_cast<std::uint16_t>(draw(random));
        const stream_socket probe{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
        const auto address = loopback(port);
        if (::bind(probe.descriptor(), reinterpret_cast<const sockaddr*>(&address),
                   sizeof address) == 0 &&
            given.insert(port).second) {
            return port;
        }
    }
}

}  // namespace review
