#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/gateway/statement.hpp"

namespace masticgrade {

/// Metrics of one process, exported in the Prometheus text format. Label values come from bounded
/// sets. Thread safety: all members may be called from any thread.
class gateway_metrics {
public:
    gateway_metrics();
    gateway_metrics(const gateway_metrics&) = delete;
    gateway_metrics& operator=(const gateway_metrics&) = delete;
    ~gateway_metrics();

    /// Records the final answer of one operation. `reason` must come from a small fixed set.
    void observe_operation(const customer_id& customer, std::string_view consistency,
                           answer_code code, std::string_view reason, duration latency);
    void observe_wait(const group_id& group, duration waited);
    void count(const std::string& name, const std::string& help, const std::string& label = {});
    void set_gauge(const std::string& name, const std::string& help, double value);
    [[nodiscard]] std::string scrape() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace masticgrade
