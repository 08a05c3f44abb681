#include "masticgrade/gateway/session_state.hpp"

#include <algorithm>

namespace masticgrade {

namespace {

/// A connection is reset once it has this many prepared statements.
constexpr std::size_t max_prepared = 256;

}  // namespace

std::string backend_context::name_of(const prepared_statement& shape) {
    std::string name = shape.access == access_kind::read ? "r_" : "w_";
    // A shape may contain blanks, which end a name.
    for (const char c : shape.shape) {
        if (c == ' ') {
            name += "%20";
        } else if (c == '%') {
            name += "%25";
        } else {
            name += c;
        }
    }
    return name;
}

bool backend_context::must_reset(const session_context& session) const {
    const bool has_foreign_value =
        std::any_of(values_.begin(), values_.end(),
                    [&](const auto& value) { return !session.values.contains(value.first); });
    return has_foreign_value || prepared_.size() >= max_prepared;
}

std::vector<backend_request> backend_context::setup_requests(
    const session_context& session, const prepared_statement* needed) const {
    std::vector<backend_request> requests;
    const bool reset = must_reset(session);
    if (reset) {
        requests.emplace_back(backend_reset{});
    }
    for (const auto& [name, value] : session.values) {
        const auto found = values_.find(name);
        if (reset || found == values_.end() || found->second != value) {
            requests.emplace_back(backend_set{name, value});
        }
    }
    if (needed != nullptr && (reset || !prepared_.contains(*needed))) {
        requests.emplace_back(backend_prepare{name_of(*needed), needed->access, needed->shape});
    }
    return requests;
}

void backend_context::on_setup_succeeded(const session_context& session,
                                         const prepared_statement* needed) {
    if (must_reset(session)) {
        prepared_.clear();
    }
    values_ = session.values;
    if (needed != nullptr) {
        prepared_.emplace(*needed, name_of(*needed));
    }
}

}  // namespace masticgrade
