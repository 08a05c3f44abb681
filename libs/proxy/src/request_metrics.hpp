#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/request/outcome.hpp"

namespace masticgrade {

/// Prometheus counters and histograms by customer and request class.
/// Thread safety: all members may be called from any thread.
class request_metrics {
public:
    request_metrics();
    request_metrics(const request_metrics&) = delete;
    request_metrics& operator=(const request_metrics&) = delete;
    ~request_metrics();

    /// `request_class` must come from a small fixed set. Customers beyond the first 1000 share one
    /// label, which bounds the memory of the metrics.
    void observe(const customer_id& customer, std::string_view request_class, const outcome& answer,
                 duration latency);
    /// Sets a gauge without labels, such as the version in force.
    void set_gauge(const std::string& name, const std::string& help, double value);
    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string scrape() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace masticgrade
