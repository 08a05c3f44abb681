#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// Orders the assignments to one holder within one ownership.
using share_sequence = strong_number<struct share_sequence_tag>;

/// Fractions of a customer's rate and burst, each between 0 and 1. Because shares are relative, a
/// host that applies a configuration change rescales them without a message.
struct share_fraction {
    double rate = 0;
    double burst = 0;

    friend bool operator==(const share_fraction&, const share_fraction&) = default;
};

/// Asks a holder to bind itself to an ownership and to report its shares. A holder replies only if
/// its members list is at least as new as that of the envelope. `customers` may be empty: the reply
/// then only proves which members list the holder uses.
struct share_query {
    /// The members version at which the sender became owner of these customers.
    fleet_version ownership;
    std::vector<customer_id> customers;

    friend bool operator==(const share_query&, const share_query&) = default;
};

/// A holder's share of a customer's limit, and its demand.
struct held_share {
    customer_id customer;
    /// The highest ownership to which the holder is bound; it ignores messages of lower ones.
    fleet_version ownership;
    share_fraction held;
    /// Requested statements per second, admitted or not.
    double demand = 0;

    friend bool operator==(const held_share&, const held_share&) = default;
};

struct share_report {
    std::vector<held_share> shares;

    friend bool operator==(const share_report&, const share_report&) = default;
};

/// Replaces the share of a holder. Resent unchanged until it is acknowledged.
struct assigned_share {
    customer_id customer;
    fleet_version ownership;
    share_sequence sequence;
    share_fraction share;
    /// Tokens transferred with an increase of the share.
    double tokens = 0;

    friend bool operator==(const assigned_share&, const assigned_share&) = default;
};

struct share_assignment {
    std::vector<assigned_share> shares;

    friend bool operator==(const share_assignment&, const share_assignment&) = default;
};

struct acknowledged_share {
    customer_id customer;
    fleet_version ownership;
    share_sequence sequence;
    /// Tokens that the holder returned because its share decreased.
    double returned_tokens = 0;

    friend bool operator==(const acknowledged_share&, const acknowledged_share&) = default;
};

struct share_ack {
    std::vector<acknowledged_share> shares;

    friend bool operator==(const share_ack&, const share_ack&) = default;
};

/// The share of one process, as last recorded by a former owner.
struct ledger_share {
    host_id host;
    incarnation_number incarnation;
    share_fraction share;

    friend bool operator==(const ledger_share&, const ledger_share&) = default;
};

/// The complete ledger of a former owner that is still running, sent to its successor.
struct share_handover {
    customer_id customer;
    /// The ownership of the query to which this is the reply.
    fleet_version ownership;
    std::vector<ledger_share> ledger;
    /// Whether the sender removed itself from the members list and `ownership` is the version of
    /// the resulting list, so that there was no other owner in between.
    bool sender_left = false;
    /// Tokens in the former owner's pool, and granted tokens that may still be in transit.
    double pool_tokens = 0;
    double outstanding_tokens = 0;

    friend bool operator==(const share_handover&, const share_handover&) = default;
};

/// Requests a single transfer of tokens from the owner's pool.
struct token_request {
    customer_id customer;
    request_number number;
    double tokens = 0;

    friend bool operator==(const token_request&, const token_request&) = default;
};

struct token_grant {
    customer_id customer;
    fleet_version ownership;
    request_number number;
    double tokens = 0;

    friend bool operator==(const token_grant&, const token_grant&) = default;
};

/// Tells the owner that a grant was used or discarded, so that its pool can refill.
struct token_receipt {
    customer_id customer;
    fleet_version ownership;
    request_number number;

    friend bool operator==(const token_receipt&, const token_receipt&) = default;
};

using share_message = std::variant<share_query, share_report, share_assignment, share_ack,
                                   share_handover, token_request, token_grant, token_receipt>;

/// A message with its sender and recipient. A process ignores messages for another incarnation:
/// tokens and shares sent to its predecessor must not increase its own.
struct share_envelope {
    host_id sender;
    incarnation_number sender_incarnation;
    host_id recipient;
    incarnation_number recipient_incarnation;
    /// The version of the members list that the sender uses.
    fleet_version members_version;
    share_message body;
};

}  // namespace masticgrade
