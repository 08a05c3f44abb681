#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <string_view>

#include "masticgrade/base/types.hpp"

namespace masticgrade {

enum class outcome_kind { done, not_run, outcome_unknown };

/// Why a request was not served; each reason maps to one HTTP status.
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

/// What a caller is told about one statement.
struct outcome {
    outcome_kind kind = outcome_kind::not_run;
    refusal cause = refusal::none;
    boost::json::value result;
    /// The step and the peer at which a failure arose.
    std::string step;
    std::string peer;
    std::string reason;
    /// Whether sending the same request again cannot run it twice.
    bool repeat_safe = true;
    instance_id served_by;
    bool served_by_replica = false;
};

std::string_view to_string(outcome_kind kind) noexcept;
unsigned http_status(const outcome& result) noexcept;

/// Builds a refusal that says "not run". Precondition: nothing of the request was sent on.
outcome refuse(refusal cause, std::string step, std::string reason, std::string peer = {});

/// Builds an answer for a request that may have run. `repeat_safe` tells whether an idempotency key
/// protects a repetition.
outcome unknown(std::string step, std::string peer, std::string reason, bool repeat_safe);

}  // namespace masticgrade
