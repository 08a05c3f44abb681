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

/// Requests a peer's version and its view of the other members.
struct exchange_request {
    /// Version applied by the sender.
    fleet_version version;

    friend bool operator==(const exchange_request&, const exchange_request&) = default;
};

struct exchange_reply {
    /// Version applied by the sender, which can serve all rows up to this version.
    fleet_version version;
    /// Time since the sender last had proof that no version above `version` had been accepted.
    std::optional<milliseconds> current_age;
    /// Proof ages of all members of the list `list_version`, ordered by member id and packed by
    /// `masticgrade/process/proof_ages.hpp`.
    std::vector<std::uint8_t> ages;
    /// Indices in that list of the members that the sender itself failed to reach.
    std::vector<std::uint16_t> unreachable;
    /// Whether a majority of the members of that list are known to have applied it.
    bool members_settled = false;
    /// Bitmap of the members known to have applied that list, least significant bit first. Empty if
    /// `members_settled` is true.
    std::vector<std::uint8_t> members_applied;
    /// Version of the members list that the indices and bitmap refer to. The envelope's
    /// `members_version` is set when the reply is sent, by which time the sender may have applied
    /// another list; interpreted with that list, a proof would count for the wrong member.
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

/// Changed rows, ordered by version.
struct rows_reply {
    /// The rows include every change up to this version.
    fleet_version version;
    /// False if there are more rows after `version` that did not fit in one frame.
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

/// A usage report and the process that produced it, which may differ from the sender.
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

/// An opaque message that another library encodes and decodes.
struct service_message {
    std::vector<std::uint8_t> payload;

    friend bool operator==(const service_message&, const service_message&) = default;
};

using message_body =
    std::variant<exchange_request, exchange_reply, rows_request, rows_reply, suspect_report,
                 share_query, share_report, share_assignment, share_ack, share_handover,
                 token_request, token_grant, token_receipt, usage_reports, service_message>;

struct envelope {
    /// Matches a reply to its request; zero for a one-way message.
    request_number request_id;
    bool is_reply = false;
    host_id sender;
    incarnation_number incarnation;
    /// Version of the members list applied by the sender.
    fleet_version members_version;
    message_body body;
    /// Incarnation of the process that the message is addressed to; zero for any process on the
    /// recipient's host.
    incarnation_number recipient_incarnation = {};

    friend bool operator==(const envelope&, const envelope&) = default;
};

}  // namespace masticgrade::peer
