#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/version/table_row.hpp"

namespace masticgrade::peer {

/// Asks a peer for its version and for what it knows about the other members.
struct exchange_request {
    /// The version that the sender has applied.
    fleet_version version;

    friend bool operator==(const exchange_request&, const exchange_request&) = default;
};

struct exchange_reply {
    /// The version that the sender has applied. It can hand out the rows up to it.
    fleet_version version;
    /// How long ago it was certain that no version above `version` had been accepted.
    std::optional<milliseconds> current_age;
    /// Ages of the proofs of all members in the order of their ids, in the list that the envelope's
    /// `members_version` names; packed by `masticgrade/process/proof_ages.hpp`.
    std::vector<std::uint8_t> ages;
    /// Positions in that list of the members that the sender itself failed to reach.
    std::vector<std::uint16_t> unreachable;
    /// Whether a majority of that list is known to have applied it.
    bool members_settled = false;
    /// Bit per member (least significant first) that is known to have applied that list; empty when
    /// settled.
    std::vector<std::uint8_t> members_applied;

    friend bool operator==(const exchange_reply&, const exchange_reply&) = default;
};

struct rows_request {
    fleet_version modified_after;

    friend bool operator==(const rows_request&, const rows_request&) = default;
};

struct row {
    std::string key;
    fleet_version version;
    std::string value;

    friend bool operator==(const row&, const row&) = default;
};

/// Rows in the order of their versions.
struct rows_reply {
    /// The rows are all that changed up to this version.
    fleet_version version;
    /// False when more rows follow after `version`, because one frame cannot hold them all.
    bool complete = true;
    std::vector<row> rows;

    friend bool operator==(const rows_reply&, const rows_reply&) = default;
};

struct suspect_report {
    group_id group;
    term_number term;
    bool suspected = false;

    friend bool operator==(const suspect_report&, const suspect_report&) = default;
};

struct reported_share {
    customer_id customer;
    std::uint64_t sequence = 0;
    double held_rate = 0;
    double held_burst = 0;
    /// Statements per second that callers asked for since the last report.
    double demand = 0;
    double tokens = 0;

    friend bool operator==(const reported_share&, const reported_share&) = default;
};

struct share_report {
    fleet_version members_version;
    std::vector<reported_share> shares;
    std::vector<std::uint8_t> extension;

    friend bool operator==(const share_report&, const share_report&) = default;
};

struct assigned_share {
    customer_id customer;
    std::uint64_t sequence = 0;
    double rate = 0;
    double burst = 0;
    double tokens = 0;

    friend bool operator==(const assigned_share&, const assigned_share&) = default;
};

struct share_assignment {
    fleet_version members_version;
    std::vector<assigned_share> shares;
    std::vector<std::uint8_t> extension;

    friend bool operator==(const share_assignment&, const share_assignment&) = default;
};

struct acknowledged_share {
    customer_id customer;
    std::uint64_t sequence = 0;
    double rate = 0;
    double burst = 0;
    double returned_tokens = 0;

    friend bool operator==(const acknowledged_share&, const acknowledged_share&) = default;
};

struct share_ack {
    fleet_version members_version;
    std::vector<acknowledged_share> shares;
    std::vector<std::uint8_t> extension;

    friend bool operator==(const share_ack&, const share_ack&) = default;
};

struct token_request {
    fleet_version members_version;
    customer_id customer;
    std::uint64_t sequence = 0;
    double tokens = 0;
    std::vector<std::uint8_t> extension;

    friend bool operator==(const token_request&, const token_request&) = default;
};

struct token_grant {
    fleet_version members_version;
    customer_id customer;
    std::uint64_t sequence = 0;
    double tokens = 0;
    std::vector<std::uint8_t> extension;

    friend bool operator==(const token_grant&, const token_grant&) = default;
};

using message_body =
    std::variant<exchange_request, exchange_reply, rows_request, rows_reply, suspect_report,
                 share_report, share_assignment, share_ack, token_request, token_grant>;

struct envelope {
    /// Names the request that a reply belongs to; zero for a one-way message.
    request_number request_id;
    bool is_reply = false;
    host_id sender;
    incarnation_number incarnation;
    /// The version of the members list that the sender has applied.
    fleet_version members_version;
    message_body body;

    friend bool operator==(const envelope&, const envelope&) = default;
};

}  // namespace masticgrade::peer
