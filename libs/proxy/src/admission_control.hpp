#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/request/outcome.hpp"

namespace masticgrade {

/// Decides whether a customer's statement is within the customer's rate and burst limits.
/// Thread safety: may be called from any thread; the coroutine must run on a strand.
class admission_control {
public:
    admission_control() = default;
    admission_control(const admission_control&) = delete;
    admission_control& operator=(const admission_control&) = delete;
    virtual ~admission_control() = default;

    /// Returns nothing if the statement is admitted, otherwise the refusal.
    virtual boost::asio::awaitable<std::optional<outcome>> admit(customer_id customer,
                                                                 time_point deadline) = 0;
};

}  // namespace masticgrade
