#include "masticgrade/peer/codec.hpp"

#include <flatbuffers/flatbuffers.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>
#include <unordered_map>
#include <utility>

#include "generated/peer_generated.h"
#include "masticgrade/base/error.hpp"

namespace masticgrade::peer {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

constexpr std::uint16_t unknown_age_ms = 65535;
/// Upper bound for encoded report ages. Reports are obsolete after a few seconds, so clamping to
/// this value loses no information.
constexpr std::int64_t max_report_age_ms = 600'000;

// Encoding: one overload of encode_body per message type.

template <class WireType>
struct encoded_body {
    wire::Body type;
    Offset<WireType> offset;
};

std::uint16_t encode_age(const std::optional<milliseconds>& age) {
    if (!age || age->count() >= unknown_age_ms) {
        return unknown_age_ms;
    }
    return static_cast<std::uint16_t>(std::max<milliseconds::rep>(age->count(), 0));
}

Offset<flatbuffers::Vector<std::uint8_t>> encode_bytes(FlatBufferBuilder& builder,
                                                       const std::vector<std::uint8_t>& bytes) {
    return bytes.empty() ? Offset<flatbuffers::Vector<std::uint8_t>>{}
                         : builder.CreateVector(bytes);
}

template <class WireType, class Item, class Write>
auto encode_list(FlatBufferBuilder& builder, const std::vector<Item>& items, Write write) {
    std::vector<Offset<WireType>> offsets;
    offsets.reserve(items.size());
    for (const auto& item : items) {
        offsets.push_back(write(item));
    }
    return builder.CreateVector(offsets);
}

encoded_body<wire::ExchangeRequest> encode_body(FlatBufferBuilder& builder,
                                                const exchange_request& body) {
    return {wire::Body::ExchangeRequest,
            wire::CreateExchangeRequest(builder, body.version.value())};
}

encoded_body<wire::ExchangeReply> encode_body(FlatBufferBuilder& builder,
                                              const exchange_reply& body) {
    const auto ages = encode_bytes(builder, body.ages);
    const auto unreachable = body.unreachable.empty() ? Offset<flatbuffers::Vector<std::uint16_t>>{}
                                                      : builder.CreateVector(body.unreachable);
    const auto applied = encode_bytes(builder, body.members_applied);
    return {wire::Body::ExchangeReply,
            wire::CreateExchangeReply(builder, body.version.value(), encode_age(body.current_age),
                                      ages, unreachable, body.members_settled, applied,
                                      body.list_version.value())};
}

encoded_body<wire::RowsRequest> encode_body(FlatBufferBuilder& builder, const rows_request& body) {
    return {wire::Body::RowsRequest, wire::CreateRowsRequest(builder, body.modified_after.value())};
}

encoded_body<wire::RowsReply> encode_body(FlatBufferBuilder& builder, const rows_reply& body) {
    const auto rows = encode_list<wire::Row>(builder, body.rows, [&](const row& item) {
        const auto key = builder.CreateString(item.key);
        const auto value = builder.CreateString(item.value);
        return wire::CreateRow(builder, key, item.version.value(), value);
    });
    return {wire::Body::RowsReply,
            wire::CreateRowsReply(builder, body.version.value(), body.complete, rows)};
}

encoded_body<wire::SuspectReport> encode_body(FlatBufferBuilder& builder,
                                              const suspect_report& body) {
    const auto group = builder.CreateString(body.group.str());
    return {wire::Body::SuspectReport,
            wire::CreateSuspectReport(builder, group, body.term.value(), body.suspected)};
}

/// Deduplicates the customer names of a message, since reports of many hosts name the same
/// customers.
class customer_index {
public:
    std::uint32_t index_of(const customer_id& customer) {
        const auto next = static_cast<std::uint32_t>(names_.size());
        const auto [found, added] = indices_.try_emplace(customer, next);
        if (added) {
            names_.push_back(customer.str());
        }
        return found->second;
    }
    [[nodiscard]] const std::vector<std::string>& names() const { return names_; }

private:
    std::unordered_map<customer_id, std::uint32_t> indices_;
    std::vector<std::string> names_;
};

Offset<wire::UsageReport> encode_report(FlatBufferBuilder& builder, customer_index& customers,
                                        const host_report& item) {
    constexpr std::uint64_t max_count = std::numeric_limits<std::uint32_t>::max();
    const auto& report = item.report;
    std::vector<wire::CustomerUsage> usage;
    usage.reserve(report.usage.size());
    for (const auto& part : report.usage) {
        usage.emplace_back(customers.index_of(part.customer),
                           static_cast<std::uint32_t>(std::min(part.admitted, max_count)),
                           static_cast<float>(part.rate), static_cast<float>(part.demand));
    }
    const auto usage_field = builder.CreateVectorOfStructs(usage);
    const auto host = builder.CreateString(item.host.str());
    const auto age = std::clamp<milliseconds::rep>(report.age.count(), 0, max_report_age_ms);
    return wire::CreateUsageReport(builder, host, item.incarnation.value(),
                                   static_cast<std::uint64_t>(report.uptime.count()),
                                   static_cast<std::uint32_t>(age), report.leaving,
                                   report.accepts_leases, report.is_relay, usage_field);
}

encoded_body<wire::UsageReports> encode_body(FlatBufferBuilder& builder,
                                             const usage_reports& body) {
    customer_index customers;
    const auto reports = encode_list<wire::UsageReport>(
        builder, body.reports,
        [&](const host_report& item) { return encode_report(builder, customers, item); });
    const auto names = builder.CreateVectorOfStrings(customers.names());
    return {wire::Body::UsageReports, wire::CreateUsageReports(builder, names, reports)};
}

encoded_body<wire::ServiceMessage> encode_body(FlatBufferBuilder& builder,
                                               const service_message& body) {
    const auto payload = encode_bytes(builder, body.payload);
    return {wire::Body::ServiceMessage, wire::CreateServiceMessage(builder, payload)};
}

encoded_body<wire::ShareQuery> encode_body(FlatBufferBuilder& builder, const share_query& body) {
    std::vector<Offset<flatbuffers::String>> names;
    for (const auto& customer : body.customers) {
        names.push_back(builder.CreateString(customer.str()));
    }
    const auto customers = builder.CreateVector(names);
    return {wire::Body::ShareQuery,
            wire::CreateShareQuery(builder, body.ownership.value(), customers)};
}

encoded_body<wire::ShareReport> encode_body(FlatBufferBuilder& builder, const share_report& body) {
    const auto shares =
        encode_list<wire::HeldShare>(builder, body.shares, [&](const held_share& item) {
            const auto customer = builder.CreateString(item.customer.str());
            return wire::CreateHeldShare(builder, customer, item.ownership.value(), item.held.rate,
                                         item.held.burst, item.demand);
        });
    return {wire::Body::ShareReport, wire::CreateShareReport(builder, shares)};
}

encoded_body<wire::ShareAssignment> encode_body(FlatBufferBuilder& builder,
                                                const share_assignment& body) {
    const auto shares =
        encode_list<wire::AssignedShare>(builder, body.shares, [&](const assigned_share& item) {
            const auto customer = builder.CreateString(item.customer.str());
            return wire::CreateAssignedShare(builder, customer, item.ownership.value(),
                                             item.sequence.value(), item.share.rate,
                                             item.share.burst, item.tokens);
        });
    return {wire::Body::ShareAssignment, wire::CreateShareAssignment(builder, shares)};
}

encoded_body<wire::ShareAck> encode_body(FlatBufferBuilder& builder, const share_ack& body) {
    const auto shares = encode_list<wire::AcknowledgedShare>(
        builder, body.shares, [&](const acknowledged_share& item) {
            const auto customer = builder.CreateString(item.customer.str());
            return wire::CreateAcknowledgedShare(builder, customer, item.ownership.value(),
                                                 item.sequence.value(), item.returned_tokens);
        });
    return {wire::Body::ShareAck, wire::CreateShareAck(builder, shares)};
}

encoded_body<wire::ShareHandover> encode_body(FlatBufferBuilder& builder,
                                              const share_handover& body) {
    const auto ledger =
        encode_list<wire::LedgerShare>(builder, body.ledger, [&](const ledger_share& item) {
            const auto host = builder.CreateString(item.host.str());
            return wire::CreateLedgerShare(builder, host, item.incarnation.value(), item.share.rate,
                                           item.share.burst);
        });
    const auto customer = builder.CreateString(body.customer.str());
    return {wire::Body::ShareHandover,
            wire::CreateShareHandover(builder, customer, body.ownership.value(), ledger,
                                      body.sender_left, body.pool_tokens, body.outstanding_tokens)};
}

encoded_body<wire::TokenRequest> encode_body(FlatBufferBuilder& builder,
                                             const token_request& body) {
    const auto customer = builder.CreateString(body.customer.str());
    return {wire::Body::TokenRequest,
            wire::CreateTokenRequest(builder, customer, body.number.value(), body.tokens)};
}

encoded_body<wire::TokenGrant> encode_body(FlatBufferBuilder& builder, const token_grant& body) {
    const auto customer = builder.CreateString(body.customer.str());
    return {wire::Body::TokenGrant,
            wire::CreateTokenGrant(builder, customer, body.ownership.value(), body.number.value(),
                                   body.tokens)};
}

encoded_body<wire::TokenReceipt> encode_body(FlatBufferBuilder& builder,
                                             const token_receipt& body) {
    const auto customer = builder.CreateString(body.customer.str());
    return {
        wire::Body::TokenReceipt,
        wire::CreateTokenReceipt(builder, customer, body.ownership.value(), body.number.value())};
}

// Decoding: one overload of body_reader::read per message type.

// Decodes message bodies with a limit on copied bytes. The FlatBuffers verifier accepts a buffer
// that references one string from many places; copying the string each time could require far more
// memory than the size of the frame, so the total is limited to the payload size.
class body_reader {
public:
    explicit body_reader(std::size_t payload_size) : remaining_bytes_(payload_size) {}

    std::string read_string(const flatbuffers::String* field) {
        if (field == nullptr) {
            return {};
        }
        consume_budget(field->size());
        return field->str();
    }

    template <class Element>
    std::vector<Element> read_vector(const flatbuffers::Vector<Element>* field) {
        if (field == nullptr) {
            return {};
        }
        consume_budget(field->size() * sizeof(Element));
        return {field->begin(), field->end()};
    }

    template <class Item, class WireType, class Read>
    std::vector<Item> read_list(const flatbuffers::Vector<Offset<WireType>>* field, Read read) {
        std::vector<Item> items;
        if (field != nullptr) {
            items.reserve(field->size());
            for (const auto* item : *field) {
                items.push_back(read(*item));
            }
        }
        return items;
    }

    message_body read(const wire::ExchangeRequest& body) {
        return exchange_request{fleet_version{body.version()}};
    }

    message_body read(const wire::ExchangeReply& body) {
        exchange_reply reply;
        reply.version = fleet_version{body.version()};
        if (body.current_age_ms() != unknown_age_ms) {
            reply.current_age = milliseconds{body.current_age_ms()};
        }
        reply.ages = read_vector(body.ages());
        reply.unreachable = read_vector(body.unreachable());
        reply.members_settled = body.members_settled();
        reply.members_applied = read_vector(body.members_applied());
        reply.list_version = fleet_version{body.list_version()};
        return reply;
    }

    message_body read(const wire::RowsRequest& body) {
        return rows_request{fleet_version{body.modified_after()}};
    }

    message_body read(const wire::RowsReply& body) {
        rows_reply reply{fleet_version{body.version()}, body.complete(), {}};
        reply.rows = read_list<row>(body.rows(), [&](const wire::Row& item) {
            return row{read_string(item.key()), fleet_version{item.version()},
                       read_string(item.value())};
        });
        return reply;
    }

    message_body read(const wire::SuspectReport& body) {
        return suspect_report{group_id{read_string(body.group())}, term_number{body.term()},
                              body.suspected()};
    }

    message_body read(const wire::ShareQuery& body) {
        share_query query{fleet_version{body.ownership()}, {}};
        if (body.customers() != nullptr) {
            for (const auto* name : *body.customers()) {
                query.customers.emplace_back(read_string(name));
            }
        }
        return query;
    }

    message_body read(const wire::ShareReport& body) {
        return share_report{read_list<held_share>(body.shares(), [&](const wire::HeldShare& item) {
            return held_share{
                customer_id{read_string(item.customer())}, fleet_version{item.ownership()},
                checked_fraction(item.rate(), item.burst()), checked_amount(item.demand())};
        })};
    }

    message_body read(const wire::ShareAssignment& body) {
        return share_assignment{
            read_list<assigned_share>(body.shares(), [&](const wire::AssignedShare& item) {
                return assigned_share{
                    customer_id{read_string(item.customer())}, fleet_version{item.ownership()},
                    share_sequence{item.sequence()}, checked_fraction(item.rate(), item.burst()),
                    checked_amount(item.tokens())};
            })};
    }

    message_body read(const wire::ShareAck& body) {
        return share_ack{
            read_list<acknowledged_share>(body.shares(), [&](const wire::AcknowledgedShare& item) {
                return acknowledged_share{
                    customer_id{read_string(item.customer())}, fleet_version{item.ownership()},
                    share_sequence{item.sequence()}, checked_amount(item.returned_tokens())};
            })};
    }

    message_body read(const wire::ShareHandover& body) {
        share_handover handover{customer_id{read_string(body.customer())},
                                fleet_version{body.ownership()},
                                {},
                                body.sender_left(),
                                checked_amount(body.pool_tokens()),
                                checked_amount(body.outstanding_tokens())};
        handover.ledger =
            read_list<ledger_share>(body.ledger(), [&](const wire::LedgerShare& item) {
                return ledger_share{host_id{read_string(item.host())},
                                    incarnation_number{item.incarnation()},
                                    checked_fraction(item.rate(), item.burst())};
            });
        return handover;
    }

    message_body read(const wire::TokenRequest& body) {
        return token_request{customer_id{read_string(body.customer())},
                             request_number{body.number()}, checked_amount(body.tokens())};
    }

    message_body read(const wire::TokenGrant& body) {
        return token_grant{customer_id{read_string(body.customer())},
                           fleet_version{body.ownership()}, request_number{body.number()},
                           checked_amount(body.tokens())};
    }

    message_body read(const wire::TokenReceipt& body) {
        return token_receipt{customer_id{read_string(body.customer())},
                             fleet_version{body.ownership()}, request_number{body.number()}};
    }

    message_body read(const wire::UsageReports& body) {
        std::vector<customer_id> customers;
        if (body.customers() != nullptr) {
            for (const auto* name : *body.customers()) {
                customers.emplace_back(read_string(name));
            }
        }
        return usage_reports{
            read_list<host_report>(body.reports(), [&](const wire::UsageReport& item) {
                return host_report{host_id{read_string(item.host())},
                                   incarnation_number{item.incarnation()},
                                   decode_report(item, customers)};
            })};
    }

    message_body read(const wire::ServiceMessage& body) {
        service_message message;
        if (body.payload() != nullptr) {
            message.payload.assign(body.payload()->begin(), body.payload()->end());
        }
        return message;
    }

    message_body read_body(const wire::Envelope& message) {
        switch (message.body_type()) {
            case wire::Body::ExchangeRequest:
                return read(*message.body_as_ExchangeRequest());
            case wire::Body::ExchangeReply:
                return read(*message.body_as_ExchangeReply());
            case wire::Body::RowsRequest:
                return read(*message.body_as_RowsRequest());
            case wire::Body::RowsReply:
                return read(*message.body_as_RowsReply());
            case wire::Body::SuspectReport:
                return read(*message.body_as_SuspectReport());
            case wire::Body::ShareQuery:
                return read(*message.body_as_ShareQuery());
            case wire::Body::ShareReport:
                return read(*message.body_as_ShareReport());
            case wire::Body::ShareAssignment:
                return read(*message.body_as_ShareAssignment());
            case wire::Body::ShareAck:
                return read(*message.body_as_ShareAck());
            case wire::Body::ShareHandover:
                return read(*message.body_as_ShareHandover());
            case wire::Body::TokenRequest:
                return read(*message.body_as_TokenRequest());
            case wire::Body::TokenGrant:
                return read(*message.body_as_TokenGrant());
            case wire::Body::TokenReceipt:
                return read(*message.body_as_TokenReceipt());
            case wire::Body::UsageReports:
                return read(*message.body_as_UsageReports());
            case wire::Body::ServiceMessage:
                return read(*message.body_as_ServiceMessage());
            case wire::Body::NONE:
                break;
        }
        throw error("peer decode", "", "unknown body");
    }

private:
    usage_report decode_report(const wire::UsageReport& body,
                               const std::vector<customer_id>& customers) {
        constexpr std::uint64_t max_uptime_ms = std::uint64_t{1} << 52U;
        usage_report result;
        result.uptime = milliseconds{std::min(body.uptime_ms(), max_uptime_ms)};
        result.age = milliseconds{std::min<std::int64_t>(body.age_ms(), max_report_age_ms)};
        result.leaving = body.leaving();
        result.accepts_leases = body.accepts_leases();
        result.is_relay = body.is_relay();
        if (body.usage() == nullptr) {
            return result;
        }
        consume_budget(body.usage()->size() * sizeof(wire::CustomerUsage));
        for (const auto* item : *body.usage()) {
            if (item->customer() >= customers.size()) {
                throw error("peer decode", "", "customer missing");
            }
            result.usage.push_back({customers[item->customer()], item->admitted(),
                                    checked_amount(static_cast<double>(item->rate())),
                                    checked_amount(static_cast<double>(item->demand()))});
        }
        return result;
    }

    /// Throws masticgrade::error unless the token amount or rate is finite and non-negative.
    static double checked_amount(double value) {
        if (!std::isfinite(value) || value < 0) {
            throw error("peer decode", "", "amount out of range");
        }
        return value;
    }

    static share_fraction checked_fraction(double rate, double burst) {
        if (checked_amount(rate) > 1 || checked_amount(burst) > 1) {
            throw error("peer decode", "", "share above the whole");
        }
        return {rate, burst};
    }

    void consume_budget(std::size_t bytes) {
        if (bytes > remaining_bytes_) {
            throw error("peer decode", "", "fields overlap");
        }
        remaining_bytes_ -= bytes;
    }

    std::size_t remaining_bytes_;
};

}  // namespace

std::vector<std::uint8_t> encode(const envelope& message) {
    FlatBufferBuilder builder{256};
    const auto sender = builder.CreateString(message.sender.str());
    const auto root = std::visit(
        [&](const auto& body) {
            const auto encoded = encode_body(builder, body);
            return wire::CreateEnvelope(
                builder, message.request_id.value(), message.is_reply, sender,
                message.incarnation.value(), message.members_version.value(), encoded.type,
                encoded.offset.Union(), message.recipient_incarnation.value());
        },
        message.body);
    builder.Finish(root);
    const std::size_t size = builder.GetSize();
    if (size > max_payload_size) {
        throw error("peer encode", "",
                    fmt::format("message of {} bytes exceeds {}", size, max_payload_size));
    }
    std::vector<std::uint8_t> frame(frame_prefix_size + size);
    for (std::size_t i = 0; i < frame_prefix_size; ++i) {
        frame[i] = static_cast<std::uint8_t>(size >> (8 * i));
    }
    std::copy_n(builder.GetBufferPointer(), size,
                frame.begin() + static_cast<std::ptrdiff_t>(frame_prefix_size));
    return frame;
}

envelope decode(std::span<const std::uint8_t> payload) {
    flatbuffers::Verifier verifier{payload.data(), payload.size()};
    if (!wire::VerifyEnvelopeBuffer(verifier)) {
        throw error("peer decode", "", "verification failed");
    }
    const auto& wire_message = *wire::GetEnvelope(payload.data());
    if (wire_message.body() == nullptr) {
        throw error("peer decode", "", "body missing");
    }
    body_reader reader{payload.size()};
    envelope message;
    message.request_id = request_number{wire_message.request_id()};
    message.is_reply = wire_message.is_reply();
    message.sender = host_id{reader.read_string(wire_message.sender())};
    message.incarnation = incarnation_number{wire_message.incarnation()};
    message.members_version = fleet_version{wire_message.members_version()};
    message.body = reader.read_body(wire_message);
    message.recipient_incarnation = incarnation_number{wire_message.recipient_incarnation()};
    return message;
}

}  // namespace masticgrade::peer
