#include "masticgrade/gateway/statement.hpp"

namespace masticgrade {

std::string_view to_string(answer_code code) noexcept {
    switch (code) {
        case answer_code::done:
            return "done";
        case answer_code::busy:
            return "busy";
        case answer_code::aborted:
            return "aborted";
        case answer_code::lagging:
            return "lagging";
        case answer_code::read_only:
            return "read_only";
        case answer_code::wrong_instance:
            return "wrong_instance";
        case answer_code::connection_limit:
            return "connection_limit";
        case answer_code::unknown_prepared:
            return "unknown_prepared";
        case answer_code::unauthorized:
            return "unauthorized";
        case answer_code::no_database:
            return "no_database";
        case answer_code::too_large:
            return "too_large";
        case answer_code::malformed:
            return "malformed";
        case answer_code::failed:
            return "failed";
        case answer_code::timeout:
            return "timeout";
        case answer_code::in_doubt:
            return "in_doubt";
    }
    return "unknown";
}

}  // namespace masticgrade
