#include "masticgrade/gateway/acknowledged_positions.hpp"

#include <algorithm>

namespace masticgrade {

namespace {

void raise(std::optional<log_index>& highest, const std::optional<log_index>& position) {
    if (position && (!highest || *highest < *position)) {
        highest = position;
    }
}

void lower(std::optional<log_index>& lowest, log_index position) {
    lowest = lowest ? std::min(*lowest, position) : position;
}

}  // namespace

void acknowledgement_history::on_answered(std::optional<log_index> position, boot_time now) {
    if (position) {
        raise(bounds_.up_to, position);
    } else {
        unbounded_at_ = now;
    }
}

void acknowledgement_history::on_acknowledged(log_index position,
                                              std::optional<log_index> seen_before) {
    raise(bounds_.up_to, position);
    // The commit is in the term of its answer, so it lies beyond everything of earlier terms.
    raise(bounds_.beyond, log_index{position.term, log_position{}});
    raise(bounds_.beyond, seen_before);
}

void acknowledgement_history::on_proof(dated_position proof) {
    if (unbounded_at_ && proof.moment >= *unbounded_at_) {
        raise(bounds_.up_to, proof.position);
        unbounded_at_.reset();
    }
}

std::optional<acknowledged_bounds> acknowledgement_history::bounds() const {
    return unbounded_at_ ? std::nullopt : std::optional{bounds_};
}

std::string_view to_string(census_gap gap) noexcept {
    switch (gap) {
        case census_gap::none:
            return "none";
        case census_gap::not_announced:
            return "not_announced";
        case census_gap::unknown_acknowledgements:
            return "unknown_acknowledgements";
        case census_gap::no_position_proof:
            return "no_position_proof";
    }
    return "none";
}

boot_time uncovered_before(const acknowledgement_census& census) {
    auto result = census.own.started;
    for (const auto& [host, told] : census.confirmed) {
        result = std::max(result, told.started);
    }
    for (const auto& [host, heard_at] : census.unconfirmed) {
        result = std::max(result, heard_at + silent_host_lifetime);
    }
    return result;
}

census_result evaluate_census(const acknowledgement_census& census,
                              std::optional<log_index> own_proof) {
    census_result result;
    result.uncovered_before = uncovered_before(census);
    result.required = census.required;
    auto proof = own_proof;
    bool is_known = true;
    const auto add = [&](const host_acknowledgements& told) {
        if (told.bounds) {
            raise(result.beyond, told.bounds->beyond);
            raise(result.up_to, told.bounds->up_to);
        }
        is_known = is_known && told.bounds.has_value();
        for (const auto& [replica, position] : told.replicas) {
            if (position.term >= census.term && !census.former_primaries.contains(replica)) {
                raise(result.replicated, position);
            }
        }
        if (told.newest_proof && told.newest_proof->moment >= result.uncovered_before) {
            lower(proof, told.newest_proof->position);
        }
    };
    add(census.own);
    for (const auto& [host, told] : census.confirmed) {
        add(told);
    }
    if (!census.is_announced) {
        result.gap = census_gap::not_announced;
    } else if (!is_known) {
        result.gap = census_gap::unknown_acknowledgements;
    } else if (!proof) {
        result.gap = census_gap::no_position_proof;
    } else {
        result.bound = proof;
        raise(result.bound, result.up_to);
    }
    return result;
}

}  // namespace masticgrade
