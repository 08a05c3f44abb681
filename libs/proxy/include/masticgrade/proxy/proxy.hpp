#pragma once

#include <memory>

#include "masticgrade/proxy/settings.hpp"

namespace masticgrade {

/// The proxy server: accepts caller requests until the process is told to stop.
/// Thread safety: `run` is called once, from one thread.
class proxy {
public:
    /// Binds the listen addresses; throws masticgrade::error if one cannot be bound.
    explicit proxy(proxy_settings settings);
    proxy(const proxy&) = delete;
    proxy& operator=(const proxy&) = delete;
    ~proxy();

    /// Serves until SIGTERM or SIGINT and then shuts down gracefully.
    void run();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace masticgrade
