#pragma once

#include <atomic>
#include <cstdint>

namespace masticgrade::peer {

/// Counters shared by all connections of a network. Thread-safe.
struct traffic_counters {
    std::atomic<std::uint64_t> bytes_sent{0};
    std::atomic<std::uint64_t> bytes_received{0};
    std::atomic<std::uint64_t> messages_refused{0};
    std::atomic<std::uint64_t> connections_rejected{0};
};

}  // namespace masticgrade::peer
