#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "masticgrade/gateway/statement.hpp"

namespace masticgrade {

/// The kinds of requests whose answers can be told apart.
enum class request_kind {
    begin,
    rollback,
    /// Sets values or prepares statements.
    context,
    /// A caller's statement other than a commit.
    statement,
    commit,
    /// Queries or changes the state of the instance itself.
    order,
};

/// What decides which answers a request can get.
struct request_traits {
    request_kind kind = request_kind::statement;
    /// The instance refuses it as lagging if its log lacks this position. Never set for writes.
    std::optional<log_index> at_least = {};
};

/// The name of a kind in logs. Thread safety: reentrant.
std::string_view to_string(request_kind kind) noexcept;

enum class answer_match {
    belongs,
    /// The answer to an earlier request once more; that to the present request is still to come.
    repeats_earlier,
    /// It cannot be decided which request was answered. The connection must be closed.
    ambiguous,
};

/// Decides which answers on a backend connection belong to the request that was sent last.
///
/// An answer carries no id of its request, and an instance may send an answer again at any later
/// time. Answers come in the order of the requests, with repeated ones in between. Three things
/// tell them apart:
/// - A signature that was not received before belongs to the only statement without an answer.
/// - An error belongs to the request unless the same error was received before at the same position
///   of the instance's log. A refusal of a lagging instance, which only reads get, is believed once
///   more, but the connection is not used again.
/// - Other successes must have the form and the transaction phase that the request leads to, and a
///   position that does not go back. An answer to an order looks like that to another one, so a
///   connection that has answered one is not used again.
///
/// One object per connection. Thread safety: none.
class answer_matcher {
public:
    /// Decides about the next answer while the request waits for one.
    answer_match match(request_traits request, const statement_answer& answer);
    /// Part of an earlier answer was received again, or bytes that answer no request.
    void on_surplus() { reusable_ = false; }
    /// Whether the last accepted answer cannot be an earlier one repeated, so that its position is
    /// that of the log after its request was sent.
    [[nodiscard]] bool is_confirmed() const { return !is_unconfirmed_; }
    /// Whether the connection may serve another operation.
    [[nodiscard]] bool is_reusable() const { return reusable_; }

private:
    [[nodiscard]] answer_match judge(request_traits request, const statement_answer& answer) const;
    [[nodiscard]] bool is_own_error(request_traits request, const statement_answer& answer) const;
    [[nodiscard]] answer_match judge_unsigned(request_traits request,
                                              const statement_answer& answer) const;
    [[nodiscard]] transaction_phase phase_after(request_kind kind) const;
    [[nodiscard]] bool has_seen(std::uint64_t digest) const;
    void accept(request_kind kind, const statement_answer& answer);

    /// Instances repeat answers within a few requests; an older one is not recognized.
    static constexpr std::size_t remembered_answers = 256;

    /// Digests of the last signatures and errors.
    std::array<std::uint64_t, remembered_answers> digests_{};
    std::size_t digest_count_ = 0;
    std::optional<log_index> position_;
    /// The positions of the last successes without a signature, outside and inside transactions.
    std::optional<log_index> last_idle_;
    std::optional<log_index> last_open_;
    /// Since the last signature, a success was accepted that could be an earlier one repeated, so
    /// that the answer to its request may be still to come.
    bool is_unconfirmed_ = false;
    bool in_transaction_ = false;
    bool has_answered_order_ = false;
    bool reusable_ = true;
};

}  // namespace masticgrade
