#include "masticgrade/gateway/counted_log.hpp"

namespace masticgrade {

std::string_view to_string(log_state state) {
    switch (state) {
        case log_state::held:
            return "held";
        case log_state::held_unconfirmed:
            return "held_unconfirmed";
        case log_state::held_unlisted:
            return "held_unlisted";
        case log_state::covered:
            return "covered";
        case log_state::stepped_down:
            return "stepped_down";
        case log_state::not_held:
            return "not_held";
        case log_state::silent:
            return "silent";
        case log_state::refused:
            return "refused";
        case log_state::earlier_process:
            return "earlier_process";
        case log_state::successor_only:
            return "successor_only";
        case log_state::primary_silent:
            return "primary_silent";
        case log_state::primary_unconfirmed:
            return "primary_unconfirmed";
    }
    return "silent";
}

bool is_known(log_state state) {
    return state == log_state::held || state == log_state::covered ||
           state == log_state::stepped_down;
}

}  // namespace masticgrade
