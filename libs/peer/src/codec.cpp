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

constexpr std::uint16_t no_age = 65535;
/// Far above the age at which a report says nothing any more, a few seconds.
constexpr std::int64_t longest_report_age_ms = 600'000;

// ---- encoding: one overload of write_body per message ----

template <class Written>
struct written_body {
    wire::Body type;
    Offset<Written> offset;
};

std::uint16_t age_field(const std::optional<milliseconds>& age) {
    if (!age || age->count() >= no_age) {
        return no_age;
    }
    return static_cast<std::uint16_t>(std::max<milliseconds::rep>(age->count(), 0));
}

Offset<flatbuffers::Vector<std::uint8_t>> write_bytes(FlatBufferBuilder& out,
                                                      const std::vector<std::uint8_t>& bytes) {
    return bytes.empty() ? Offset<flatbuffers::Vector<std::uint8_t>>{} : out.CreateVector(bytes);
}

template <class Written, class Item, class Write>
auto write_list(FlatBufferBuilder& out, const std::vector<Item>& items, Write write) {
    std::vector<Offset<Written>> offsets;
    offsets.reserve(items.size());
    for (const auto& item : items) {
        offsets.push_back(write(item));
    }
    return out.CreateVector(offsets);
}

written_body<wire::ExchangeRequest> write_body(FlatBufferBuilder& out,
                                               const exchange_request& body) {
    return {wire::Body::ExchangeRequest, wire::CreateExchangeRequest(out, body.version.value())};
}

written_body<wire::ExchangeReply> write_body(FlatBufferBuilder& out, const exchange_reply& body) {
    const auto ages = write_bytes(out, body.ages);
    const auto unreachable = body.unreachable.empty() ? Offset<flatbuffers::Vector<std::uint16_t>>{}
                                                      : out.CreateVector(body.unreachable);
    const auto applied = write_bytes(out, body.members_applied);
    return {wire::Body::ExchangeReply,
            wire::CreateExchangeReply(out, body.version.value(), age_field(body.current_age), ages,
                                      unreachable, body.members_settled, applied,
                                      body.list_version.value())};
}

written_body<wire::RowsRequest> write_body(FlatBufferBuilder& out, const rows_request& body) {
    return {wire::Body::RowsRequest, wire::CreateRowsRequest(out, body.modified_after.value())};
}

written_body<wire::RowsReply> write_body(FlatBufferBuilder& out, const rows_reply& body) {
    const auto rows = write_list<wire::Row>(out, body.rows, [&](const row& item) {
        const auto key = out.CreateString(item.key);
        const auto value = out.CreateString(item.value);
        return wire::CreateRow(out, key, item.version.value(), value);
    });
    return {wire::Body::RowsReply,
            wire::CreateRowsReply(out, body.version.value(), body.complete, rows)};
}

written_body<wire::SuspectReport> write_body(FlatBufferBuilder& out, const suspect_report& body) {
    const auto group = out.CreateString(body.group.str());
    return {wire::Body::SuspectReport,
            wire::CreateSuspectReport(out, group, body.term.value(), body.suspected)};
}

/// The customers that a message names, each once: reports of many hosts name the same ones.
class customer_table {
public:
    std::uint32_t position_of(const customer_id& customer) {
        const auto next = static_cast<std::uint32_t>(names_.size());
        const auto [found, added] = positions_.try_emplace(customer, next);
        if (added) {
            names_.push_back(customer.str());
        }
        return found->second;
    }
    [[nodiscard]] const std::vector<std::string>& names() const { return names_; }

private:
    std::unordered_map<customer_id, std::uint32_t> positions_;
    std::vector<std::string> names_;
};

Offset<wire::UsageReport> write_report(FlatBufferBuilder& out, customer_table& customers,
                                       const host_report& item) {
    constexpr std::uint64_t largest_count = std::numeric_limits<std::uint32_t>::max();
    const auto& report = item.report;
    std::vector<wire::CustomerUsage> usage;
    usage.reserve(report.usage.size());
    for (const auto& part : report.usage) {
        usage.emplace_back(customers.position_of(part.customer),
                           static_cast<std::uint32_t>(std::min(part.admitted, largest_count)),
                           static_cast<float>(part.rate), static_cast<float>(part.demand));
    }
    const auto usage_field = out.CreateVectorOfStructs(usage);
    const auto host = out.CreateString(item.host.str());
    const auto age = std::clamp<milliseconds::rep>(report.age.count(), 0, longest_report_age_ms);
    return wire::CreateUsageReport(out, host, item.incarnation.value(),
                                   static_cast<std::uint64_t>(report.uptime.count()),
                                   static_cast<std::uint32_t>(age), report.leaving,
                                   report.accepts_leases, report.is_relay, usage_field);
}

written_body<wire::UsageReports> write_body(FlatBufferBuilder& out, const usage_reports& body) {
    customer_table customers;
    const auto reports = write_list<wire::UsageReport>(
        out, body.reports,
        [&](const host_report& item) { return write_report(out, customers, item); });
    const auto names = out.CreateVectorOfStrings(customers.names());
    return {wire::Body::UsageReports, wire::CreateUsageReports(out, names, reports)};
}

written_body<wire::ServiceMessage> write_body(FlatBufferBuilder& out, const service_message& body) {
    const auto payload = write_bytes(out, body.payload);
    return {wire::Body::ServiceMessage, wire::CreateServiceMessage(out, payload)};
}

written_body<wire::ShareQuery> write_body(FlatBufferBuilder& out, const share_query& body) {
    std::vector<Offset<flatbuffers::String>> names;
    for (const auto& customer : body.customers) {
        names.push_back(out.CreateString(customer.str()));
    }
    const auto customers = out.CreateVector(names);
    return {wire::Body::ShareQuery, wire::CreateShareQuery(out, body.ownership.value(), customers)};
}

written_body<wire::ShareReport> write_body(FlatBufferBuilder& out, const share_report& body) {
    const auto shares = write_list<wire::HeldShare>(out, body.shares, [&](const held_share& item) {
        const auto customer = out.CreateString(item.customer.str());
        return wire::CreateHeldShare(out, customer, item.ownership.value(), item.held.rate,
                                     item.held.burst, item.demand);
    });
    return {wire::Body::ShareReport, wire::CreateShareReport(out, shares)};
}

written_body<wire::ShareAssignment> write_body(FlatBufferBuilder& out,
                                               const share_assignment& body) {
    const auto shares =
        write_list<wire::AssignedShare>(out, body.shares, [&](const assigned_share& item) {
            const auto customer = out.CreateString(item.customer.str());
            return wire::CreateAssignedShare(out, customer, item.ownership.value(),
                                             item.sequence.value(), item.share.rate,
                                             item.share.burst, item.tokens);
        });
    return {wire::Body::ShareAssignment, wire::CreateShareAssignment(out, shares)};
}

written_body<wire::ShareAck> write_body(FlatBufferBuilder& out, const share_ack& body) {
    const auto shares =
        write_list<wire::AcknowledgedShare>(out, body.shares, [&](const acknowledged_share& item) {
            const auto customer = out.CreateString(item.customer.str());
            return wire::CreateAcknowledgedShare(out, customer, item.ownership.value(),
                                                 item.sequence.value(), item.returned_tokens);
        });
    return {wire::Body::ShareAck, wire::CreateShareAck(out, shares)};
}

written_body<wire::ShareHandover> write_body(FlatBufferBuilder& out, const share_handover& body) {
    const auto ledger =
        write_list<wire::LedgerShare>(out, body.ledger, [&](const ledger_share& item) {
            const auto host = out.CreateString(item.host.str());
            return wire::CreateLedgerShare(out, host, item.incarnation.value(), item.share.rate,
                                           item.share.burst);
        });
    const auto customer = out.CreateString(body.customer.str());
    return {wire::Body::ShareHandover,
            wire::CreateShareHandover(out, customer, body.ownership.value(), ledger,
                                      body.sender_left, body.pool_tokens, body.outstanding_tokens)};
}

written_body<wire::TokenRequest> write_body(FlatBufferBuilder& out, const token_request& body) {
    const auto customer = out.CreateString(body.customer.str());
    return {wire::Body::TokenRequest,
            wire::CreateTokenRequest(out, customer, body.number.value(), body.tokens)};
}

written_body<wire::TokenGrant> write_body(FlatBufferBuilder& out, const token_grant& body) {
    const auto customer = out.CreateString(body.customer.str());
    return {wire::Body::TokenGrant, wire::CreateTokenGrant(out, customer, body.ownership.value(),
                                                           body.number.value(), body.tokens)};
}

written_body<wire::TokenReceipt> write_body(FlatBufferBuilder& out, const token_receipt& body) {
    const auto customer = out.CreateString(body.customer.str());
    return {wire::Body::TokenReceipt,
            wire::CreateTokenReceipt(out, customer, body.ownership.value(), body.number.value())};
}

// ---- decoding: one overload of body_reader::read per message ----

// A buffer may refer to one string from many places, which the verifier accepts. Copying it each
// time could need far more memory than the frame has bytes, so the copied bytes are counted.
class body_reader {
public:
    explicit body_reader(std::size_t payload_size) : remaining_(payload_size) {}

    std::string text(const flatbuffers::String* field) {
        if (field == nullptr) {
            return {};
        }
        spend(field->size());
        return field->str();
    }

    template <class Element>
    std::vector<Element> numbers(const flatbuffers::Vector<Element>* field) {
        if (field == nullptr) {
            return {};
        }
        spend(field->size() * sizeof(Element));
        return {field->begin(), field->end()};
    }

    template <class Item, class Written, class Read>
    std::vector<Item> list(const flatbuffers::Vector<Offset<Written>>* field, Read read) {
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
        if (body.current_age_ms() != no_age) {
            reply.current_age = milliseconds{body.current_age_ms()};
        }
        reply.ages = numbers(body.ages());
        reply.unreachable = numbers(body.unreachable());
        reply.members_settled = body.members_settled();
        reply.members_applied = numbers(body.members_applied());
        reply.list_version = fleet_version{body.list_version()};
        return reply;
    }

    message_body read(const wire::RowsRequest& body) {
        return rows_request{fleet_version{body.modified_after()}};
    }

    message_body read(const wire::RowsReply& body) {
        rows_reply reply{fleet_version{body.version()}, body.complete(), {}};
        reply.rows = list<row>(body.rows(), [&](const wire::Row& item) {
            return row{text(item.key()), fleet_version{item.version()}, text(item.value())};
        });
        return reply;
    }

    message_body read(const wire::SuspectReport& body) {
        return suspect_report{group_id{text(body.group())}, term_number{body.term()},
                              body.suspected()};
    }

    message_body read(const wire::ShareQuery& body) {
        share_query query{fleet_version{body.ownership()}, {}};
        if (body.customers() != nullptr) {
            for (const auto* name : *body.customers()) {
                query.customers.emplace_back(text(name));
            }
        }
        return query;
    }

    message_body read(const wire::ShareReport& body) {
        return share_report{list<held_share>(body.shares(), [&](const wire::HeldShare& item) {
            return held_share{customer_id{text(item.customer())}, fleet_version{item.ownership()},
                              fraction(item.rate(), item.burst()), amount(item.demand())};
        })};
    }

    message_body read(const wire::ShareAssignment& body) {
        return share_assignment{
            list<assigned_share>(body.shares(), [&](const wire::AssignedShare& item) {
                return assigned_share{customer_id{text(item.customer())},
                                      fleet_version{item.ownership()},
                                      share_sequence{item.sequence()},
                                      fraction(item.rate(), item.burst()), amount(item.tokens())};
            })};
    }

    message_body read(const wire::ShareAck& body) {
        return share_ack{
            list<acknowledged_share>(body.shares(), [&](const wire::AcknowledgedShare& item) {
                return acknowledged_share{
                    customer_id{text(item.customer())}, fleet_version{item.ownership()},
                    share_sequence{item.sequence()}, amount(item.returned_tokens())};
            })};
    }

    message_body read(const wire::ShareHandover& body) {
        share_handover handover{customer_id{text(body.customer())},
                                fleet_version{body.ownership()},
                                {},
                                body.sender_left(),
                                amount(body.pool_tokens()),
                                amount(body.outstanding_tokens())};
        handover.ledger = list<ledger_share>(body.ledger(), [&](const wire::LedgerShare& item) {
            return ledger_share{host_id{text(item.host())}, incarnation_number{item.incarnation()},
                                fraction(item.rate(), item.burst())};
        });
        return handover;
    }

    message_body read(const wire::TokenRequest& body) {
        return token_request{customer_id{text(body.customer())}, request_number{body.number()},
                             amount(body.tokens())};
    }

    message_body read(const wire::TokenGrant& body) {
        return token_grant{customer_id{text(body.customer())}, fleet_version{body.ownership()},
                           request_number{body.number()}, amount(body.tokens())};
    }

    message_body read(const wire::TokenReceipt& body) {
        return token_receipt{customer_id{text(body.customer())}, fleet_version{body.ownership()},
                             request_number{body.number()}};
    }

    message_body read(const wire::UsageReports& body) {
        std::vector<customer_id> customers;
        if (body.customers() != nullptr) {
            for (const auto* name : *body.customers()) {
                customers.emplace_back(text(name));
            }
        }
        return usage_reports{list<host_report>(body.reports(), [&](const wire::UsageReport& item) {
            return host_report{host_id{text(item.host())}, incarnation_number{item.incarnation()},
                               read_report(item, customers)};
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
    usage_report read_report(const wire::UsageReport& body,
                             const std::vector<customer_id>& customers) {
        constexpr std::uint64_t longest_uptime_ms = std::uint64_t{1} << 52U;
        usage_report result;
        result.uptime = milliseconds{std::min(body.uptime_ms(), longest_uptime_ms)};
        result.age = milliseconds{std::min<std::int64_t>(body.age_ms(), longest_report_age_ms)};
        result.leaving = body.leaving();
        result.accepts_leases = body.accepts_leases();
        result.is_relay = body.is_relay();
        if (body.usage() == nullptr) {
            return result;
        }
        spend(body.usage()->size() * sizeof(wire::CustomerUsage));
        for (const auto* item : *body.usage()) {
            if (item->customer() >= customers.size()) {
                throw error("peer decode", "", "customer missing");
            }
            result.usage.push_back({customers[item->customer()], item->admitted(),
                                    amount(static_cast<double>(item->rate())),
                                    amount(static_cast<double>(item->demand()))});
        }
        return result;
    }

    /// Amounts of tokens and rates are finite and not negative.
    static double amount(double value) {
        if (!std::isfinite(value) || value < 0) {
            throw error("peer decode", "", "amount out of range");
        }
        return value;
    }

    static share_fraction fraction(double rate, double burst) {
        if (amount(rate) > 1 || amount(burst) > 1) {
            throw error("peer decode", "", "share above the whole");
        }
        return {rate, burst};
    }

    void spend(std::size_t bytes) {
        if (bytes > remaining_) {
            throw error("peer decode", "", "fields overlap");
        }
        remaining_ -= bytes;
    }

    std::size_t remaining_;
};

}  // namespace

std::vector<std::uint8_t> encode(const envelope& message) {
    FlatBufferBuilder out{256};
    const auto sender = out.CreateString(message.sender.str());
    const auto root = std::visit(
        [&](const auto& body) {
            const auto written = write_body(out, body);
            return wire::CreateEnvelope(
                out, message.request_id.value(), message.is_reply, sender,
                message.incarnation.value(), message.members_version.value(), written.type,
                written.offset.Union(), message.recipient_incarnation.value());
        },
        message.body);
    out.Finish(root);
    const std::size_t size = out.GetSize();
    if (size > max_payload_size) {
        throw error("peer encode", "",
                    fmt::format("message of {} bytes exceeds {}", size, max_payload_size));
    }
    std::vector<std::uint8_t> frame(frame_prefix_size + size);
    for (std::size_t i = 0; i < frame_prefix_size; ++i) {
        frame[i] = static_cast<std::uint8_t>(size >> (8 * i));
    }
    std::copy_n(out.GetBufferPointer(), size,
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
    message.sender = host_id{reader.text(wire_message.sender())};
    message.incarnation = incarnation_number{wire_message.incarnation()};
    message.members_version = fleet_version{wire_message.members_version()};
    message.body = reader.read_body(wire_message);
    message.recipient_incarnation = incarnation_number{wire_message.recipient_incarnation()};
    return message;
}

}  // namespace masticgrade::peer
