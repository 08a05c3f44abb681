#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <string_view>

#include "masticgrade/base/types.hpp"

namespace masticgrade {

enum class outcome_kind { done, not_run, outcome_unknown };

/// Why a request was not served. Each value maps to one HTTP status.
enum class refusal {
    none,
    bad_request,
    unknown_key,
    route_not_allowed,
    statement_failed,
    not_found,
    cancelled,
    above_rate,
    unavailable,
    late
};

/// The result of one statement as reported to its caller.
struct outcome {
    outcome_kind kind = outcome_kind::not_run;
    refusal cause = refusal::none;
    boost::json::value result;
    /// The processing step and the peer at which the failure occurred.
    std::string step;
    std::string peer;
    std::string reason;
    /// Whether the same request can be sent again without running twice.
    bool repeat_safe = true;
    instance_id served_by;
    bool served_by_replica = false;
};

std::string_view to_string(outcome_kind kind) noexcept;
unsigned http_status(const outcome& result) noexcept;

/// Builds a "not run" answer. Precondition: no part of the request was forwarded.
outcome refuse(refusal cause, std::string step, std::string reason, std::string peer = {});

/// Builds the answer for a request that may have run. `repeat_safe` is true when an idempotency key
/// prevents a second execution.
outcome unknown(std::string step, std::string peer, std::string reason, bool repeat_safe);

}  // namespace masticgrade
