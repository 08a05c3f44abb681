#include "masticgrade/request/outcome.hpp"

#include <utility>

namespace masticgrade {

std::string_view to_string(outcome_kind kind) noexcept {
    switch (kind) {
        case outcome_kind::done:
            return "done";
        case outcome_kind::not_run:
            return "not_run";
        case outcome_kind::outcome_unknown:
            return "outcome_unknown";
    }
    return "outcome_unknown";
}

unsigned http_status(const outcome& result) noexcept {
    if (result.kind == outcome_kind::done) {
        return 200;
    }
    if (result.kind == outcome_kind::outcome_unknown) {
        return 504;
    }
    switch (result.cause) {
        case refusal::bad_request:
            return 400;
        case refusal::unknown_key:
            return 401;
        case refusal::route_not_allowed:
            return 403;
        case refusal::not_found:
            return 404;
        case refusal::cancelled:
            return 409;
        case refusal::statement_failed:
            return 422;
        case refusal::above_rate:
            return 429;
        case refusal::none:
        case refusal::unavailable:
        case refusal::late:
            return 503;
    }
    return 503;
}

outcome refuse(refusal cause, std::string step, std::string reason, std::string peer) {
    outcome result;
    result.kind = outcome_kind::not_run;
    result.cause = cause;
    result.step = std::move(step);
    result.reason = std::move(reason);
    result.peer = std::move(peer);
    return result;
}

outcome unknown(std::string step, std::string peer, std::string reason, bool repeat_safe) {
    outcome result;
    result.kind = outcome_kind::outcome_unknown;
    result.step = std::move(step);
    result.peer = std::move(peer);
    result.reason = std::move(reason);
    result.repeat_safe = repeat_safe;
    return result;
}

}  // namespace masticgrade
