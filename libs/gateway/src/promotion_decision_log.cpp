#include "promotion_decision_log.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <string>

namespace masticgrade {

namespace {

/// Hosts beyond this number are only counted.
constexpr std::size_t max_names = 5;

std::string text_of(const std::optional<log_index>& position) {
    return position ? fmt::format("{}", *position) : std::string{"none"};
}

std::string text_of(const promotion_candidate& replica) {
    if (!replica.held) {
        return fmt::format("{}:silent", replica.id);
    }
    return fmt::format("{}:{}:{}", replica.id, replica.held->is_primary ? "leads" : "held",
                       replica.held->received);
}

std::string text_of(const counted_log& log) {
    return fmt::format("{}:{}:{}:{}", log.holder.instance, log.holder.start_time,
                       to_string(log.state), text_of(log.position));
}

/// The highest position that the other hosts may have acknowledged.
std::optional<log_index> acknowledged_by_others(const acknowledgement_census& census) {
    std::optional<log_index> result;
    for (const auto& [host, told] : census.confirmed) {
        if (told.bounds) {
            result = std::max(result, told.bounds->up_to);
        }
    }
    return result;
}

std::size_t count_unknown(const acknowledgement_census& census) {
    return static_cast<std::size_t>(
        std::count_if(census.confirmed.begin(), census.confirmed.end(),
                      [](const auto& item) { return !item.second.bounds.has_value(); }));
}

std::string first_names(const std::map<host_id, boot_time>& hosts) {
    std::string result;
    std::size_t names = 0;
    for (const auto& [host, heard_at] : hosts) {
        if (++names > max_names) {
            break;
        }
        result += (result.empty() ? "" : ",") + host.str();
    }
    return result;
}

/// Whether a target was chosen that ends before a position which may have been acknowledged.
bool is_below_acknowledged(const promotion_decision& decision) {
    return std::holds_alternative<promotion_proof>(decision.verdict) && decision.choice &&
           decision.acknowledged.up_to && decision.choice->position < *decision.acknowledged.up_to;
}

/// Adds the verdict to a line.
struct verdict_fields {
    event_line& line;

    void operator()(promotion_proof proof) const {
        line.field("verdict", "chosen").field("proof", to_string(proof));
    }
    void operator()(promotion_refusal refusal) const {
        line.field("verdict", "refused").field("reason", to_string(refusal)).field("proof", "none");
    }
};

void add_logs(event_line& line, const promotion_decision& decision) {
    const auto& others = decision.others;
    for (const auto& replica : decision.replicas) {
        line.field("replica", text_of(replica));
    }
    for (const auto& log : others.logs) {
        if (log.state != log_state::held) {
            line.field("log", text_of(log));
        }
    }
    line.field_ms("logs_age_ms", boot_clock::now() - decision.held_at)
        .field("sync_replicas", others.sync_replicas)
        .field("unknown_replicas", others.unknown_replicas)
        .field("primary_known", !others.primary_is_unknown)
        .field("former_primary", text_of(others.former_primary))
        .field("longest_unlisted", text_of(others.longest_unlisted));
}

void add_acknowledgements(event_line& line, const promotion_decision& decision) {
    const auto& census = decision.census;
    const auto own = census.own.bounds.value_or(acknowledged_bounds{});
    line.field("acknowledged_here", text_of(own.up_to))
        .field("acknowledged_elsewhere", text_of(acknowledged_by_others(census)))
        .field("acknowledged_beyond", text_of(decision.acknowledged.beyond))
        .field("replicated", text_of(decision.acknowledged.replicated))
        .field("required", text_of(decision.acknowledged.required))
        .field("confirmed", census.confirmed.size())
        .field("confirmed_unknown", count_unknown(census))
        .field("unconfirmed", census.unconfirmed.size())
        .field("unconfirmed_hosts", first_names(census.unconfirmed))
        .field("bound", text_of(decision.acknowledged.bound))
        .field("gap", to_string(decision.acknowledged.gap))
        .field_ms("uncovered_age_ms", boot_clock::now() - decision.acknowledged.uncovered_before);
}

}  // namespace

void promotion_decision_log::record(const promotion_decision& decision) {
    if (verdict_ == decision.verdict && fence_ == decision.fence) {
        return;
    }
    fence_ = decision.fence;
    verdict_ = decision.verdict;
    write(decision);
    if (is_below_acknowledged(decision)) {
        metrics_.count(
            "masticgrade_promotions_below_up_to_total",
            "Targets chosen by their logs whose log ends before a position that may have "
            "been acknowledged.");
    }
}

void promotion_decision_log::on_attempt_refused() {
    const auto* refusal = verdict_ ? std::get_if<promotion_refusal>(&*verdict_) : nullptr;
    if (refusal != nullptr) {
        metrics_.count("masticgrade_promotions_refused_total",
                       "Failover attempts that promoted nothing, by reason.",
                       std::string{to_string(*refusal)});
    }
}

void promotion_decision_log::write(const promotion_decision& decision) const {
    event_line line{"failover_decision", event_severity::warning};
    line.field("group", group_).field("fence", decision.fence);
    std::visit(verdict_fields{line}, decision.verdict);
    if (decision.choice) {
        line.field("target", decision.choice->target).field("position", decision.choice->position);
    } else {
        line.field("target", "none");
    }
    line.field("evidence", is_below_acknowledged(decision) ? "below_up_to" : "consistent");
    add_logs(line, decision);
    add_acknowledgements(line, decision);
    line.write();
}

}  // namespace masticgrade
