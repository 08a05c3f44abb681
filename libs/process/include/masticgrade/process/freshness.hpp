#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/process/member_list_history.hpp"
#include "masticgrade/version/fleet_snapshot.hpp"

namespace masticgrade {

/// An answered read of the fleet version from the store.
struct store_read {
    time_point sent_at;
    fleet_version version;
};

/// A peer's reply to an exchange request.
struct exchange_answer {
    /// When this host sent the request; every age in the reply counts back from here.
    time_point sent_at;
    host_incarnation peer;
    /// The version that the peer had applied when it replied.
    fleet_version version;
    /// The members list that the peer's reply was made with; `ages` follows its order.
    fleet_version members_version;
    std::optional<duration> current_age;
    /// As packed by `pack_ages`.
    std::vector<std::uint8_t> ages;
};

enum class work_refusal {
    /// Nothing has been applied since the process started.
    no_snapshot,
    /// A higher version than the applied one is known to exist.
    newer_version_known,
    /// The last proof that the applied version is current is older than the freshness window.
    not_current,
};

std::string_view describe(work_refusal refusal) noexcept;

/// Decides whether this host may start new work under the version it has applied (design 4.5).
///
/// It collects facts that stay true, each with the time before which it holds:
/// - "this process of that member had applied at most version V at time S" (a member proof), from
///   the member itself or relayed by another peer;
/// - "nothing above version V was accepted before S" (a currency proof), from the store, from
///   member proofs of a majority, or relayed by another peer.
/// A fact counts only when V is at most the applied version; for a higher V this host must apply V
/// first. Thread safety: none.
class freshness {
public:
    static constexpr seconds window{3};

    explicit freshness(host_incarnation self);

    /// Replaces the identity, after a removed host has chosen a new incarnation.
    void set_self(host_incarnation self);

    void on_store_read(const store_read& read, time_point now);
    void on_exchange_answer(const exchange_answer& answer, time_point now);
    /// A version named by any message that is not an exchange reply.
    void on_version_seen(fleet_version version);
    /// Precondition: `version` is not below the applied version. `list` is the members list in
    /// force at that version.
    void on_snapshot_applied(fleet_version version, const members& list);

    /// Nothing when new work may start, otherwise the reason why not.
    [[nodiscard]] std::optional<work_refusal> refuse_work(time_point now) const;
    [[nodiscard]] bool may_start_work(time_point now) const { return !refuse_work(now); }

    [[nodiscard]] fleet_version applied_version() const noexcept { return applied_; }
    [[nodiscard]] fleet_version highest_version() const noexcept { return highest_; }

    /// For replies to other hosts: the age of the currency proof, if it is within the window.
    [[nodiscard]] std::optional<duration> current_age(time_point now) const;
    /// The members list whose order `packed_ages` follows; a reply has to name it.
    [[nodiscard]] fleet_version list_version() const noexcept { return lists_.current().version; }
    /// For replies to other hosts: the packed ages of all member proofs.
    [[nodiscard]] std::vector<std::uint8_t> packed_ages(time_point now) const;

private:
    struct currency_proof {
        fleet_version version;
        time_point at;
    };

    void add_currency_proof(currency_proof proof);
    void add_member_proof(std::size_t position, time_point at);
    void add_relayed_proofs(const exchange_answer& answer);
    void update_majority_proof(time_point now);

    host_incarnation self_;
    bool has_snapshot_ = false;
    fleet_version applied_;
    fleet_version highest_;
    member_list_history lists_;
    /// Latest member proof by position in the current list; the minimum stands for none.
    std::vector<time_point> member_proofs_;
    /// Nothing above `applied_` was accepted before this time; the minimum stands for no proof.
    time_point current_at_ = time_point::min();
    /// The latest proof about a version that is not yet applied.
    std::optional<currency_proof> pending_;
};

}  // namespace masticgrade
