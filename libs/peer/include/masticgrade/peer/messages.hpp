#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/base/types.hpp"
#include "masticgrade/limits/share_messages.hpp"
#include "masticgrade/limits/usage_limiter.hpp"
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
    /// Ages of the proofs of all members in the order of their ids, in the list that `list_version`
    /// names; packed by `masticgrade/process/proof_ages.hpp`.
    std::vector<std::uint8_t> ages;
    /// Positions in that list of the members that the sender itself failed to reach.
    std::vector<std::uint16_t> unreachable;
    /// Whether a majority of that list is known to have applied it.
    bool members_settled = false;
    /// Bit per member (least significant first) that is known to have applied that list; empty when
    /// settled.
    std::vector<std::uint8_t> members_applied;
    /// The members list that this reply was made with. The envelope's `members_version` is added
    /// when the reply is sent, and by then the sender may have applied another list: with that one
    /// a proof would count for the wrong member.
    fleet_version list_version = {};

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

/// A report and the process that made it, which need not be the one that sends it.
struct host_report {
    host_id host;
    incarnation_number incarnation;
    usage_report report;

    friend bool operator==(const host_report&, const host_report&) = default;
};

struct usage_reports {
    std::vector<host_report> reports;

    friend bool operator==(const usage_reports&, const usage_reports&) = default;
};

/// A message of another library, which encodes it itself.
struct service_message {
    std::vector<std::uint8_t> payload;

    friend bool operator==(const service_message&, const service_message&) = default;
};

using message_body =
    std::variant<exchange_request, exchange_reply, rows_request, rows_reply, suspect_report,
                 share_query, share_report, share_assignment, share_ack, share_handover,
                 token_request, token_grant, token_receipt, usage_reports, service_message>;

struct envelope {
    /// Names the request that a reply belongs to; zero for a one-way message.
    request_number request_id;
    bool is_reply = false;
    host_id sender;
    incarnation_number incarnation;
    /// The version of the members list that the sender has applied.
    fleet_version members_version;
    message_body body;
    /// Zero when the message is meant for any process of the recipient's host.
    incarnation_number recipient_incarnation = {};

    friend bool operator==(const envelope&, const envelope&) = default;
};

}  // namespace masticgrade::peer
