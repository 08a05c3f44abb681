#include "masticgrade/gateway/answer_matcher.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <string>

namespace masticgrade {

namespace {

/// Stands for the signature in answers of requests that touch no data.
constexpr std::string_view no_signature = "-";

/// Identifies an answer with a signature, or an error and the position at which it was sent.
std::uint64_t digest(const statement_answer& answer) {
    auto text = answer.text;
    if (answer.code != answer_code::done) {
        text = fmt::format("{} {} {}", to_string(answer.code), answer.text,
                           answer.position.value_or(log_index{}));
    }
    return XXH3_64bits(text.data(), text.size());
}

bool is_signed(const statement_answer& answer) {
    return answer.code == answer_code::done && answer.text != no_signature;
}

bool needs_signature(request_kind kind) {
    return kind == request_kind::statement || kind == request_kind::commit;
}

}  // namespace

std::string_view to_string(request_kind kind) noexcept {
    switch (kind) {
        case request_kind::begin:
            return "begin";
        case request_kind::rollback:
            return "rollback";
        case request_kind::context:
            return "context";
        case request_kind::statement:
            return "statement";
        case request_kind::commit:
            return "commit";
        case request_kind::order:
            return "order";
    }
    return "unknown";
}

answer_match answer_matcher::match(request_traits request, const statement_answer& answer) {
    const auto result = judge(request, answer);
    if (result == answer_match::belongs) {
        accept(request.kind, answer);
    } else {
        reusable_ = false;
    }
    return result;
}

answer_match answer_matcher::judge(request_traits request, const statement_answer& answer) const {
    const auto kind = request.kind;
    if (answer.code != answer_code::done) {
        return is_own_error(request, answer) ? answer_match::belongs : answer_match::ambiguous;
    }
    if (!is_signed(answer)) {
        return judge_unsigned(request, answer);
    }
    if (has_seen(digest(answer))) {
        return answer_match::repeats_earlier;
    }
    const bool fits = needs_signature(kind) && answer.phase == phase_after(kind) &&
                      (kind != request_kind::commit || answer.rows.empty());
    return fits ? answer_match::belongs : answer_match::ambiguous;
}

bool answer_matcher::is_own_error(request_traits request, const statement_answer& answer) const {
    if (answer.code == answer_code::lagging) {
        return request.at_least.has_value();
    }
    // An instance that lost the lead refuses to begin a transaction, and each write.
    const bool holds_for_all = answer.code == answer_code::read_only;
    return !has_seen(digest(answer)) && (!is_unconfirmed_ || holds_for_all);
}

answer_match answer_matcher::judge_unsigned(request_traits request,
                                            const statement_answer& answer) const {
    const auto kind = request.kind;
    const bool is_order = kind == request_kind::order;
    const bool fits = !needs_signature(kind) && answer.rows.size() == (is_order ? 1U : 0U) &&
                      answer.phase == phase_after(kind);
    if (!fits) {
        const bool is_new = answer.position && position_ && *answer.position > *position_;
        return is_new ? answer_match::ambiguous : answer_match::repeats_earlier;
    }
    const bool goes_back = answer.position && position_ && *answer.position < *position_;
    const bool lags = answer.position && request.at_least && *answer.position < *request.at_least;
    return goes_back || lags || (is_order && has_answered_order_) ? answer_match::ambiguous
                                                                  : answer_match::belongs;
}

transaction_phase answer_matcher::phase_after(request_kind kind) const {
    const bool keeps = kind == request_kind::statement || kind == request_kind::context;
    const bool open = kind == request_kind::begin || (keeps && in_transaction_);
    return open ? transaction_phase::open : transaction_phase::none;
}

bool answer_matcher::has_seen(std::uint64_t digest) const {
    const auto size = std::min(digest_count_, digests_.size());
    const auto end = digests_.begin() + static_cast<std::ptrdiff_t>(size);
    return std::find(digests_.begin(), end, digest) != end;
}

void answer_matcher::accept(request_kind kind, const statement_answer& answer) {
    if (answer.code != answer_code::done || is_signed(answer)) {
        reusable_ = reusable_ && !has_seen(digest(answer));
        digests_.at(digest_count_ % digests_.size()) = digest(answer);
        ++digest_count_;
    }
    if (is_signed(answer)) {
        is_unconfirmed_ = false;
    } else if (answer.code == answer_code::done) {
        auto& last = answer.phase == transaction_phase::open ? last_open_ : last_idle_;
        const bool is_new = !last || (answer.position && *last < *answer.position);
        is_unconfirmed_ = is_unconfirmed_ || !is_new;
        last = answer.position.value_or(log_index{});
    }
    if (answer.position) {
        position_ = answer.position;
    }
    if (answer.code != answer_code::done) {
        // If this is the answer to an earlier request, that to the present one is still to come.
        reusable_ = reusable_ && !is_unconfirmed_;
        in_transaction_ = in_transaction_ && answer.phase != transaction_phase::none;
        return;
    }
    in_transaction_ = phase_after(kind) == transaction_phase::open;
    if (kind == request_kind::order) {
        has_answered_order_ = true;
        reusable_ = false;
    }
}

}  // namespace masticgrade
