#include "masticgrade/gateway/primary_verdict.hpp"

#include <algorithm>

namespace masticgrade {

std::size_t primary_inquiry::replied() const {
    return static_cast<std::size_t>(std::count_if(
        replies.begin(), replies.end(), [](const auto& reply) { return reply.has_value(); }));
}

std::optional<milliseconds> primary_inquiry::newest_answer_age() const {
    std::optional<milliseconds> newest;
    for (const auto& reply : replies) {
        if (reply && reply->alive) {
            newest = std::min(newest.value_or(reply->age), reply->age);
        }
    }
    return newest;
}

bool primary_inquiry::reports_alive() const {
    const auto age = newest_answer_age();
    return age && *age <= recent_answer_age;
}

std::string_view to_string(primary_verdict verdict) noexcept {
    switch (verdict) {
        case primary_verdict::alive:
            return "alive";
        case primary_verdict::confirmed_dead:
            return "confirmed_dead";
        case primary_verdict::inconclusive:
            return "inconclusive";
        case primary_verdict::presumed_dead:
            return "presumed_dead";
    }
    return "unknown";
}

primary_verdict primary_suspicion::assess(const std::optional<instance_id>& primary,
                                          const primary_inquiry& inquiry, time_point now) {
    if (primary_ != primary) {
        clear();
        primary_ = primary;
    }
    if (inquiry.reports_alive()) {
        clear();
        return primary_verdict::alive;
    }
    if (inquiry.replicas_answered == 0) {
        clear();
        return primary_verdict::inconclusive;
    }
    if (2 * inquiry.replied() >= inquiry.asked()) {
        return primary_verdict::confirmed_dead;
    }
    isolated_since_ = isolated_since_.value_or(now);
    return now - *isolated_since_ >= inconclusive_limit ? primary_verdict::presumed_dead
                                                        : primary_verdict::inconclusive;
}

}  // namespace masticgrade
