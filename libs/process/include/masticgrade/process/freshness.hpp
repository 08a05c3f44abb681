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

/// A successful read of the fleet version from the store.
struct store_read {
    time_point sent_at;
    fleet_version version;
};

/// A peer's reply to a gossip exchange request.
struct exchange_answer {
    /// When this host sent the request. Ages in the reply are relative to this time.
    time_point sent_at;
    host_incarnation peer;
    /// The version that the peer had applied when it replied.
    fleet_version version;
    /// The version of the member list that the order of `ages` refers to.
    fleet_version members_version;
    std::optional<duration> current_age;
    /// Encoded by `pack_ages`.
    std::vector<std::uint8_t> ages;
};

enum class work_refusal {
    /// No snapshot has been applied since the process started.
    no_snapshot,
    /// A version higher than the applied one exists.
    newer_version_known,
    /// The last proof that the applied version is current is older than the freshness window.
    not_current,
};

std::string_view describe(work_refusal refusal) noexcept;

/// Decides whether this host may start new work under the version it has applied (design 4.5).
///
/// Collects facts that remain true once established, each with the time up to which it holds:
/// - "this incarnation of that member had applied at most version V at time S" (a member proof),
///   from the member itself or relayed by another peer;
/// - "no version above V was accepted before time S" (a currency proof), from the store, from the
///   member proofs of a majority, or relayed by another peer.
/// A fact is used only when V is at most the applied version; for a higher V this host has to apply
/// V first. Thread safety: none.
class freshness {
public:
    static constexpr seconds window{3};

    explicit freshness(host_incarnation self);

    /// Replaces the identity after this host was removed and has chosen a new incarnation.
    void set_self(host_incarnation self);

    void on_store_read(const store_read& read, time_point now);
    void on_exchange_answer(const exchange_answer& answer, time_point now);
    /// Records a version named by a message other than an exchange reply.
    void on_version_seen(fleet_version version);
    /// `list` is the member list of that version. Precondition: `version` is not below the applied
    /// version.
    void on_snapshot_applied(fleet_version version, const members& list);

    /// Returns the reason why no new work may start, or nothing when it may.
    [[nodiscard]] std::optional<work_refusal> refuse_work(time_point now) const;
    [[nodiscard]] bool may_start_work(time_point now) const { return !refuse_work(now); }

    [[nodiscard]] fleet_version applied_version() const noexcept { return applied_; }
    [[nodiscard]] fleet_version highest_version() const noexcept { return highest_; }

    /// The age of the currency proof for replies to peers; empty outside the freshness window.
    [[nodiscard]] std::optional<duration> current_age(time_point now) const;
    /// The version of the member list that defines the order of `packed_ages`; replies include it.
    [[nodiscard]] fleet_version list_version() const noexcept { return lists_.current().version; }
    /// The encoded ages of all member proofs for replies to peers.
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
    /// Time of the latest member proof by position in the current list; the minimum means none.
    std::vector<time_point> member_proofs_;
    /// No version above `applied_` was accepted before this time; the minimum means no proof.
    time_point current_until_ = time_point::min();
    /// The latest currency proof for a version that is not applied yet.
    std::optional<currency_proof> pending_proof_;
};

}  // namespace masticgrade
