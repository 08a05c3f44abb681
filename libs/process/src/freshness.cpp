#include "masticgrade/process/freshness.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <utility>

#include "masticgrade/base/invariant.hpp"
#include "masticgrade/process/proof_ages.hpp"

namespace masticgrade {

std::string_view describe(work_refusal refusal) noexcept {
    switch (refusal) {
        case work_refusal::no_snapshot:
            return "no snapshot applied yet";
        case work_refusal::newer_version_known:
            return "a newer version is known";
        case work_refusal::not_current:
            return "no recent proof that the version is current";
    }
    return "unknown";
}

freshness::freshness(host_incarnation self) : self_(std::move(self)) {}

void freshness::set_self(host_incarnation self) { self_ = std::move(self); }

void freshness::on_store_read(const store_read& read, time_point now) {
    MG_INVARIANT("proof_not_from_the_future", read.sent_at <= now, std::string{"source=store"});
    on_version_seen(read.version);
    add_currency_proof({read.version, read.sent_at});
}

void freshness::on_exchange_answer(const exchange_answer& answer, time_point now) {
    MG_INVARIANT("proof_not_from_the_future", answer.sent_at <= now,
                 fmt::format("source=peer peer={}", answer.peer.id));
    on_version_seen(answer.version);
    if (answer.current_age) {
        add_currency_proof({answer.version, answer.sent_at - *answer.current_age});
    }
    if (answer.version > applied_) {
        return;
    }
    if (const auto position = lists_.current().position(answer.peer)) {
        add_member_proof(*position, answer.sent_at);
    }
    add_relayed_proofs(answer);
    update_majority_proof(now);
}

void freshness::on_version_seen(fleet_version version) { highest_ = std::max(highest_, version); }

void freshness::on_snapshot_applied(fleet_version version, const members& list) {
    MG_INVARIANT("applied_version_never_falls", version >= applied_,
                 fmt::format("applied={} offered={}", applied_, version));
    if (version < applied_) {
        return;
    }
    has_snapshot_ = true;
    applied_ = version;
    on_version_seen(version);
    if (list.version != lists_.current().version) {
        const auto old_list = lists_.current();
        const auto old_proofs = std::exchange(
            member_proofs_, std::vector<time_point>(list.hosts.size(), time_point::min()));
        lists_.apply(list);
        for (std::size_t i = 0; i < old_list.hosts.size(); ++i) {
            if (const auto position = lists_.current().position(old_list.hosts[i])) {
                member_proofs_[*position] = old_proofs[i];
            }
        }
    }
    if (pending_proof_ && pending_proof_->version <= applied_) {
        add_currency_proof(*std::exchange(pending_proof_, std::nullopt));
    }
}

std::optional<work_refusal> freshness::refuse_work(time_point now) const {
    if (!has_snapshot_) {
        return work_refusal::no_snapshot;
    }
    if (highest_ > applied_) {
        return work_refusal::newer_version_known;
    }
    if (current_until_ == time_point::min() || now - current_until_ > window) {
        return work_refusal::not_current;
    }
    MG_INVARIANT("currency_proof_not_from_the_future", current_until_ <= now,
                 fmt::format("applied={}", applied_));
    return std::nullopt;
}

std::optional<duration> freshness::current_age(time_point now) const {
    if (!has_snapshot_ || current_until_ == time_point::min() || now - current_until_ > window) {
        return std::nullopt;
    }
    return now - current_until_;
}

std::vector<std::uint8_t> freshness::packed_ages(time_point now) const {
    proof_ages ages(member_proofs_.size());
    for (std::size_t i = 0; i < ages.size(); ++i) {
        if (member_proofs_[i] != time_point::min()) {
            ages[i] = now - member_proofs_[i];
        }
    }
    if (const auto own = lists_.current().position(self_)) {
        ages[*own] = duration{0};
    }
    return pack_ages(ages);
}

// A proof for an older version remains valid: if no version above V was accepted, none above a
// higher version was accepted either.
void freshness::add_currency_proof(currency_proof proof) {
    if (has_snapshot_ && proof.version <= applied_) {
        current_until_ = std::max(current_until_, proof.at);
    } else if (!pending_proof_ || pending_proof_->at < proof.at) {
        pending_proof_ = proof;
    }
}

void freshness::add_member_proof(std::size_t position, time_point at) {
    member_proofs_[position] = std::max(member_proofs_[position], at);
}

void freshness::add_relayed_proofs(const exchange_answer& answer) {
    const auto positions = lists_.positions(answer.members_version);
    if (!positions) {
        return;
    }
    const auto ages = unpack_ages(answer.ages, positions->size());
    if (!ages) {
        return;
    }
    for (std::size_t i = 0; i < ages->size(); ++i) {
        if ((*ages)[i] && (*positions)[i]) {
            add_member_proof(*(*positions)[i], answer.sent_at - *(*ages)[i]);
        }
    }
}

// A majority proof is as old as its oldest member proof. This host's own proof is current.
void freshness::update_majority_proof(time_point now) {
    auto proofs = member_proofs_;
    if (const auto own = lists_.current().position(self_)) {
        proofs[*own] = now;
    }
    const auto majority = proofs.size() / 2 + 1;
    if (proofs.size() < majority) {
        return;
    }
    const auto oldest = proofs.begin() + static_cast<std::ptrdiff_t>(majority - 1);
    std::nth_element(proofs.begin(), oldest, proofs.end(), std::greater<>{});
    current_until_ = std::max(current_until_, *oldest);
}

}  // namespace masticgrade
