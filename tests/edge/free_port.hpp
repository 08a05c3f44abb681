#pragma once

namespace masticgrade::edge_test {

/// A port of loopback that nobody listens on; each call gives another one, below the range from
/// which the system gives ports to outgoing connections. Thread safety: one thread.
unsigned short free_port();

}  // namespace masticgrade::edge_test
