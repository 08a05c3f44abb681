#include "lease_messages.hpp"

#include <flatbuffers/flatbuffers.h>

#include <algorithm>

#include "generated/lease_generated.h"
#include "masticgrade/base/error.hpp"

namespace masticgrade {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
namespace wire = lease_wire;

/// Number of step kinds on the wire. A kind is the index of the alternative in `backend_request`.
constexpr auto step_kind_count = std::variant_size_v<backend_request>;
/// Upper bound of durations on the wire, longer than any caller may wait.
constexpr std::uint32_t max_time_ms = 3'600'000;

std::uint32_t time_field(milliseconds value) {
    return static_cast<std::uint32_t>(std::clamp<milliseconds::rep>(value.count(), 0, max_time_ms));
}

std::uint64_t milliseconds_of(wall_time moment) {
    return static_cast<std::uint64_t>(
        std::chrono::floor<milliseconds>(moment.time_since_epoch()).count());
}

std::optional<wire::Position> position_field(const std::optional<log_index>& index) {
    if (!index) {
        return std::nullopt;
    }
    return wire::Position{index->term.value(), index->number.value()};
}

const wire::Position* pointer_to(const std::optional<wire::Position>& position) {
    return position ? &*position : nullptr;
}

// ---- Encoding ----

struct step_fields {
    std::string id;
    std::string text;
    std::string name;
    std::string value;
    bool write = false;
    bool read_only = false;
    std::optional<log_index> at_least;
};

struct step_encoder {
    step_fields operator()(const backend_begin& step) const {
        step_fields fields;
        fields.read_only = step.read_only;
        fields.at_least = step.at_least;
        return fields;
    }
    step_fields operator()(const backend_statement& step) const {
        step_fields fields;
        fields.id = step.id.str();
        fields.text = step.text;
        fields.at_least = step.at_least;
        return fields;
    }
    step_fields operator()(const backend_execute& step) const {
        step_fields fields;
        fields.id = step.id.str();
        fields.name = step.name;
        fields.value = step.arguments;
        fields.at_least = step.at_least;
        return fields;
    }
    step_fields operator()(const backend_set& step) const {
        step_fields fields;
        fields.name = step.name;
        fields.value = step.value;
        return fields;
    }
    step_fields operator()(const backend_prepare& step) const {
        step_fields fields;
        fields.name = step.name;
        fields.value = step.shape;
        fields.write = step.access == access_kind::write;
        return fields;
    }
    step_fields operator()(const backend_hold& step) const {
        step_fields fields;
        fields.at_least = log_index{step.term, {}};
        return fields;
    }
    step_fields operator()(const backend_step_down& step) const {
        step_fields fields;
        fields.at_least = log_index{step.term, {}};
        return fields;
    }
    template <class Step>
    step_fields operator()(const Step&) const {
        return {};
    }
};

Offset<wire::Step> write_step(FlatBufferBuilder& out, const backend_request& request) {
    const auto fields = std::visit(step_encoder{}, request);
    const auto position = position_field(fields.at_least);
    const auto id = out.CreateString(fields.id);
    const auto text = out.CreateString(fields.text);
    const auto name = out.CreateString(fields.name);
    const auto value = out.CreateString(fields.value);
    return wire::CreateStep(out, static_cast<std::uint8_t>(request.index()), id, text, name, value,
                            fields.write, fields.read_only, pointer_to(position));
}

Offset<wire::Answer> write_answer(FlatBufferBuilder& out, const statement_answer& answer) {
    const auto position = position_field(answer.position);
    const auto text = out.CreateString(answer.text);
    const auto rows = out.CreateVectorOfStrings(answer.rows);
    return wire::CreateAnswer(out, static_cast<std::uint8_t>(answer.code), text, rows,
                              static_cast<std::uint8_t>(answer.phase), pointer_to(position));
}

struct call_writer {
    FlatBufferBuilder& out;

    std::pair<wire::Call, Offset<void>> operator()(const lease_request& call) const {
        const auto position = position_field(call.at_least);
        const auto group = out.CreateString(call.group.str());
        const auto instance = out.CreateString(call.instance.str());
        const auto customer = out.CreateString(call.customer.str());
        return {wire::Call::OpenLease,
                wire::CreateOpenLease(out, group, instance, customer, call.needs_primary,
                                      pointer_to(position), time_field(call.time_to_deadline),
                                      time_field(call.time_to_latest_start), call.priority)
                    .Union()};
    }
    std::pair<wire::Call, Offset<void>> operator()(const lease_reply& call) const {
        return {wire::Call::LeaseOpened,
                wire::CreateLeaseOpened(out, call.lease.value(),
                                        static_cast<std::uint8_t>(call.failure))
                    .Union()};
    }
    std::pair<wire::Call, Offset<void>> operator()(const run_request& call) const {
        std::vector<Offset<wire::NamedValue>> values;
        if (call.values) {
            for (const auto& [name, value] : *call.values) {
                const auto name_text = out.CreateString(name);
                const auto value_text = out.CreateString(value);
                values.push_back(wire::CreateNamedValue(out, name_text, value_text));
            }
        }
        std::vector<Offset<wire::Step>> steps;
        for (const auto& step : call.steps) {
            steps.push_back(write_step(out, step));
        }
        const auto value_list = out.CreateVector(values);
        const auto shape = out.CreateString(call.prepared ? call.prepared->shape : std::string{});
        const auto step_list = out.CreateVector(steps);
        return {wire::Call::RunSteps,
                wire::CreateRunSteps(
                    out, call.lease.value(), time_field(call.remaining), call.values.has_value(),
                    value_list, call.prepared.has_value(), shape,
                    call.prepared && call.prepared->access == access_kind::write, step_list)
                    .Union()};
    }
    std::pair<wire::Call, Offset<void>> operator()(const run_reply& call) const {
        std::vector<Offset<wire::Answer>> answers;
        for (const auto& answer : call.answers) {
            answers.push_back(write_answer(out, answer));
        }
        const auto reason = out.CreateString(call.reason);
        const auto list = out.CreateVector(answers);
        return {wire::Call::StepsRun,
                wire::CreateStepsRun(out, static_cast<std::uint8_t>(call.failure), reason, list)
                    .Union()};
    }
    std::pair<wire::Call, Offset<void>> operator()(const lease_release& call) const {
        return {wire::Call::CloseLease, wire::CreateCloseLease(out, call.lease.value()).Union()};
    }
    std::pair<wire::Call, Offset<void>> operator()(const ping&) const {
        return {wire::Call::Ping, wire::CreatePing(out).Union()};
    }
    std::pair<wire::Call, Offset<void>> operator()(const pong&) const {
        return {wire::Call::Pong, wire::CreatePong(out).Union()};
    }
    std::pair<wire::Call, Offset<void>> operator()(const position_query& call) const {
        const auto group = out.CreateString(call.group.str());
        const auto customer = out.CreateString(call.customer.str());
        return {wire::Call::AskPosition,
                wire::CreateAskPosition(out, group, customer, time_field(call.remaining)).Union()};
    }
    std::pair<wire::Call, Offset<void>> operator()(const position_reply& call) const {
        const auto position = position_field(call.position);
        const auto instance = out.CreateString(call.instance.str());
        return {wire::Call::PositionTold,
                wire::CreatePositionTold(out, instance, pointer_to(position), time_field(call.age))
                    .Union()};
    }
    std::pair<wire::Call, Offset<void>> operator()(const row_query& call) const {
        const auto prefix = out.CreateString(call.prefix);
        return {wire::Call::AskRows,
                wire::CreateAskRows(out, prefix, call.digest, call.accepts_pieces,
                                    call.progress.frame, call.progress.received)
                    .Union()};
    }
    std::pair<wire::Call, Offset<void>> operator()(const row_reply& call) const {
        std::vector<Offset<wire::TableRow>> rows;
        rows.reserve(call.rows.size());
        for (const auto& row : call.rows) {
            const auto key = out.CreateString(row.key);
            const auto value = out.CreateString(row.value);
            rows.push_back(wire::CreateTableRow(out, key, row.version.value(), value));
        }
        const auto list = out.CreateVector(rows);
        Offset<wire::RowPiece> piece;
        if (call.piece) {
            const auto& bytes = call.piece->bytes;
            const auto content =
                out.CreateVector(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
            piece = wire::CreateRowPiece(out, call.piece->frame, call.piece->base,
                                         call.piece->frame_size, call.piece->offset, content);
        }
        return {wire::Call::RowsTold,
                wire::CreateRowsTold(out, call.known, call.digest, time_field(call.age), list,
                                     call.era.value(), piece)
                    .Union()};
    }
    std::pair<wire::Call, Offset<void>> operator()(const failover_begun& call) const {
        const auto group = out.CreateString(call.group.str());
        return {wire::Call::FailoverBegun,
                wire::CreateFailoverBegun(out, group, call.fence).Union()};
    }
    std::pair<wire::Call, Offset<void>> operator()(const failover_confirmed& call) const {
        const auto told = call.acknowledged.value_or(acknowledged_bounds{});
        const auto up_to = position_field(told.up_to);
        const auto beyond = position_field(told.beyond);
        const auto proof = position_field(call.proof);
        std::vector<Offset<wire::ReplicaPosition>> replicas;
        for (const auto& [replica, seen] : call.replicas) {
            const auto name = out.CreateString(replica.str());
            const auto position = position_field(seen);
            replicas.push_back(wire::CreateReplicaPosition(out, name, pointer_to(position)));
        }
        const auto list = out.CreateVector(replicas);
        return {wire::Call::FailoverConfirmed,
                wire::CreateFailoverConfirmed(out, call.acknowledged.has_value(), pointer_to(up_to),
                                              pointer_to(beyond), pointer_to(proof),
                                              time_field(call.proof_age), list)
                    .Union()};
    }
    std::pair<wire::Call, Offset<void>> operator()(const failover_recorded& call) const {
        const auto group = out.CreateString(call.group.str());
        return {wire::Call::FailoverRecorded,
                wire::CreateFailoverRecorded(out, group, call.fence).Union()};
    }
    std::pair<wire::Call, Offset<void>> operator()(const usage_update& call) const {
        std::vector<Offset<wire::WindowCounts>> windows;
        for (const auto& item : call.windows) {
            std::vector<std::string> customers;
            std::vector<std::uint32_t> counts;
            for (const auto& [customer, count] : item.counts) {
                customers.push_back(customer.str());
                counts.push_back(static_cast<std::uint32_t>(count));
            }
            const auto names = out.CreateVectorOfStrings(customers);
            const auto numbers = out.CreateVector(counts);
            windows.push_back(wire::CreateWindowCounts(out, item.window.value(), names, numbers));
        }
        const auto list = out.CreateVector(windows);
        return {wire::Call::CountUsage,
                wire::CreateCountUsage(out, list, call.revision, milliseconds_of(call.taken_at),
                                       call.base_incarnation.value(), call.base_revision)
                    .Union()};
    }
    std::pair<wire::Call, Offset<void>> operator()(const usage_acknowledgement& call) const {
        return {
            wire::Call::UsageCounted,
            wire::CreateUsageCounted(out, call.revision, call.incarnation.value(), call.is_holder)
                .Union()};
    }
    std::pair<wire::Call, Offset<void>> operator()(const primary_query& call) const {
        const auto group = out.CreateString(call.group.str());
        const auto instance = out.CreateString(call.instance.str());
        return {wire::Call::AskPrimary, wire::CreateAskPrimary(out, group, instance).Union()};
    }
    std::pair<wire::Call, Offset<void>> operator()(const primary_reply& call) const {
        return {wire::Call::PrimaryTold,
                wire::CreatePrimaryTold(out, call.alive, time_field(call.age)).Union()};
    }
    std::pair<wire::Call, Offset<void>> operator()(const positions_query& call) const {
        std::vector<Offset<wire::GroupQuery>> groups;
        for (const auto& item : call.groups) {
            const auto group = out.CreateString(item.group.str());
            const auto customer = out.CreateString(item.customer.str());
            groups.push_back(wire::CreateGroupQuery(out, group, customer));
        }
        const auto list = out.CreateVector(groups);
        return {wire::Call::AskPositions, wire::CreateAskPositions(out, list).Union()};
    }
    std::pair<wire::Call, Offset<void>> operator()(const positions_reply& call) const {
        std::vector<Offset<wire::GroupPosition>> positions;
        for (const auto& item : call.positions) {
            const auto position = position_field(item.reply.position);
            const auto group = out.CreateString(item.group.str());
            const auto instance = out.CreateString(item.reply.instance.str());
            positions.push_back(wire::CreateGroupPosition(
                out, group, instance, pointer_to(position), time_field(item.reply.age)));
        }
        const auto list = out.CreateVector(positions);
        return {wire::Call::PositionsTold, wire::CreatePositionsTold(out, list).Union()};
    }
};

// ---- Decoding ----

[[noreturn]] void reject(const std::string& reason) {
    throw error("decode lease message", "", reason);
}

std::string text_of(const flatbuffers::String* text) {
    return text == nullptr ? std::string{} : text->str();
}

std::optional<log_index> index_of(const wire::Position* position) {
    if (position == nullptr) {
        return std::nullopt;
    }
    return log_index{term_number{position->term()}, log_position{position->number()}};
}

template <class Enum>
Enum enum_of(std::uint8_t value, Enum last) {
    if (value > static_cast<std::uint8_t>(last)) {
        reject("unknown value");
    }
    return static_cast<Enum>(value);
}

milliseconds time_of(std::uint32_t value) { return milliseconds{std::min(value, max_time_ms)}; }

access_kind access_of(bool write) { return write ? access_kind::write : access_kind::read; }

backend_request read_step(const wire::Step& step) {
    const auto index = index_of(step.at_least());
    const auto term = index ? index->term : term_number{};
    const statement_id id{text_of(step.id())};
    static_assert(step_kind_count == 11, "read_step must handle every kind of step");
    switch (step.kind()) {
        case 0:
            return backend_begin{step.read_only(), index};
        case 1:
            return backend_rollback{};
        case 2:
            return backend_statement{id, text_of(step.text()), index};
        case 3:
            return backend_execute{id, text_of(step.name()), text_of(step.value()), index};
        case 4:
            return backend_set{text_of(step.name()), text_of(step.value())};
        case 5:
            return backend_prepare{text_of(step.name()), access_of(step.write()),
                                   text_of(step.value())};
        case 6:
            return backend_reset{};
        case 7:
            return backend_status{};
        case 8:
            return backend_hold{term};
        case 9:
            return backend_resume{};
        case 10:
            return backend_step_down{term};
        default:
            reject("unknown step");
    }
}

statement_answer read_answer(const wire::Answer& item) {
    statement_answer answer;
    answer.code = enum_of(item.code(), answer_code::in_doubt);
    answer.text = text_of(item.text());
    answer.phase = enum_of(item.phase(), transaction_phase::failed);
    answer.position = index_of(item.position());
    if (item.rows() != nullptr) {
        for (const auto* row : *item.rows()) {
            answer.rows.push_back(text_of(row));
        }
    }
    return answer;
}

lease_payload read(const wire::OpenLease& call) {
    lease_request result;
    result.group = group_id{text_of(call.group())};
    result.instance = instance_id{text_of(call.instance())};
    result.customer = customer_id{text_of(call.customer())};
    result.needs_primary = call.needs_primary();
    result.at_least = index_of(call.at_least());
    result.time_to_deadline = time_of(call.give_up_ms());
    result.time_to_latest_start = time_of(call.start_by_ms());
    result.priority = call.priority();
    return result;
}

lease_payload read(const wire::RunSteps& call) {
    run_request result;
    result.lease = lease_id{call.lease()};
    result.remaining = time_of(call.remaining_ms());
    if (call.has_context()) {
        result.values.emplace();
        if (call.values() != nullptr) {
            for (const auto* item : *call.values()) {
                result.values->emplace(text_of(item->name()), text_of(item->value()));
            }
        }
    }
    if (call.has_shape()) {
        result.prepared = prepared_statement{access_of(call.shape_writes()), text_of(call.shape())};
    }
    if (call.steps() != nullptr) {
        for (const auto* step : *call.steps()) {
            result.steps.push_back(read_step(*step));
        }
    }
    return result;
}

lease_payload read(const wire::StepsRun& call) {
    run_reply result;
    result.failure = enum_of(call.failure(), lease_failure::mismatched);
    result.reason = text_of(call.reason());
    if (call.answers() != nullptr) {
        for (const auto* item : *call.answers()) {
            result.answers.push_back(read_answer(*item));
        }
    }
    return result;
}

lease_payload read(const wire::AskPosition& call) {
    return position_query{group_id{text_of(call.group())}, customer_id{text_of(call.customer())},
                          time_of(call.remaining_ms())};
}

lease_payload read(const wire::FailoverConfirmed& call) {
    failover_confirmed result{{}, index_of(call.proof()), time_of(call.proof_age_ms())};
    if (call.has_acknowledged()) {
        result.acknowledged = acknowledged_bounds{index_of(call.acknowledged_beyond()),
                                                  index_of(call.acknowledged())};
    }
    if (const auto* replicas = call.replicas()) {
        for (const auto* item : *replicas) {
            if (const auto seen = index_of(item->position())) {
                result.replicas.insert_or_assign(instance_id{text_of(item->instance())}, *seen);
            }
        }
    }
    return result;
}

lease_payload read(const wire::PositionTold& call) {
    return position_reply{instance_id{text_of(call.instance())}, index_of(call.position()),
                          time_of(call.age_ms())};
}

lease_payload read(const wire::AskRows& call) {
    return row_query{text_of(call.prefix()), call.digest(), call.pieces(),
                     transfer_progress{call.frame(), call.received()}};
}

lease_payload read(const wire::RowsTold& call) {
    row_reply result{call.known(), call.digest(),         time_of(call.age_ms()),
                     {},           store_era{call.era()}, {}};
    if (const auto* piece = call.piece()) {
        result.piece =
            row_piece{piece->frame(), piece->base(), piece->frame_size(), piece->offset(), {}};
        if (piece->bytes() != nullptr) {
            result.piece->bytes.assign(reinterpret_cast<const char*>(piece->bytes()->data()),
                                       piece->bytes()->size());
        }
    }
    if (call.rows() != nullptr) {
        for (const auto* row : *call.rows()) {
            result.rows.push_back(
                {text_of(row->key()), fleet_version{row->version()}, text_of(row->value())});
        }
    }
    return result;
}

usage_counts read_counts(const wire::WindowCounts& item) {
    const auto* customers = item.customers();
    const auto* counts = item.counts();
    if (customers == nullptr || counts == nullptr || customers->size() != counts->size()) {
        reject("the customers and counts of a window differ in number");
    }
    usage_counts result;
    for (flatbuffers::uoffset_t i = 0; i < customers->size(); ++i) {
        result[customer_id{text_of(customers->Get(i))}] = counts->Get(i);
    }
    return result;
}

lease_payload read(const wire::CountUsage& call) {
    /// In the year 10000, so that the time fits the clock.
    constexpr std::uint64_t max_time_of_day_ms = 253'402'300'800'000;
    usage_update result;
    result.revision = call.revision();
    result.taken_at = wall_time{milliseconds{
        static_cast<milliseconds::rep>(std::min(call.taken_ms(), max_time_of_day_ms))}};
    result.base_incarnation = incarnation_number{call.base_incarnation()};
    result.base_revision = call.base_revision();
    if (call.windows() != nullptr) {
        for (const auto* item : *call.windows()) {
            result.windows.push_back({window_number{item->window()}, read_counts(*item)});
        }
    }
    return result;
}

lease_payload read(const wire::AskPositions& call) {
    positions_query result;
    if (call.groups() != nullptr) {
        for (const auto* item : *call.groups()) {
            result.groups.push_back(
                {group_id{text_of(item->group())}, customer_id{text_of(item->customer())}});
        }
    }
    return result;
}

lease_payload read(const wire::PositionsTold& call) {
    positions_reply result;
    if (call.positions() != nullptr) {
        for (const auto* item : *call.positions()) {
            result.positions.push_back({group_id{text_of(item->group())},
                                        {instance_id{text_of(item->instance())},
                                         index_of(item->position()), time_of(item->age_ms())}});
        }
    }
    return result;
}

}  // namespace

std::vector<std::uint8_t> encode_lease_message(const lease_message& message) {
    FlatBufferBuilder out;
    const auto [type, call] = std::visit(call_writer{out}, message.call);
    out.Finish(wire::CreateMessage(out, static_cast<std::uint64_t>(message.sender_uptime.count()),
                                   type, call));
    return {out.GetBufferPointer(), out.GetBufferPointer() + out.GetSize()};
}

lease_message decode_lease_message(std::span<const std::uint8_t> bytes) {
    flatbuffers::Verifier verifier{bytes.data(), bytes.size()};
    if (!wire::VerifyMessageBuffer(verifier)) {
        reject("the bytes are not a message");
    }
    const auto& message = *wire::GetMessage(bytes.data());
    constexpr std::uint64_t max_uptime_ms = std::uint64_t{1} << 52U;
    if (message.call() == nullptr) {
        // The verifier accepts a call type without a call.
        reject("the message has no call");
    }
    lease_message result;
    result.sender_uptime = milliseconds{std::min(message.sender_uptime_ms(), max_uptime_ms)};
    switch (message.call_type()) {
        case wire::Call::OpenLease:
            result.call = read(*message.call_as_OpenLease());
            break;
        case wire::Call::LeaseOpened: {
            const auto& call = *message.call_as_LeaseOpened();
            result.call = lease_reply{lease_id{call.lease()},
                                      enum_of(call.failure(), lease_failure::mismatched)};
            break;
        }
        case wire::Call::RunSteps:
            result.call = read(*message.call_as_RunSteps());
            break;
        case wire::Call::StepsRun:
            result.call = read(*message.call_as_StepsRun());
            break;
        case wire::Call::CloseLease:
            result.call = lease_release{lease_id{message.call_as_CloseLease()->lease()}};
            break;
        case wire::Call::Ping:
            result.call = ping{};
            break;
        case wire::Call::Pong:
            result.call = pong{};
            break;
        case wire::Call::AskPosition:
            result.call = read(*message.call_as_AskPosition());
            break;
        case wire::Call::PositionTold:
            result.call = read(*message.call_as_PositionTold());
            break;
        case wire::Call::AskRows:
            result.call = read(*message.call_as_AskRows());
            break;
        case wire::Call::RowsTold:
            result.call = read(*message.call_as_RowsTold());
            break;
        case wire::Call::FailoverBegun: {
            const auto& call = *message.call_as_FailoverBegun();
            result.call = failover_begun{group_id{text_of(call.group())}, call.fence()};
            break;
        }
        case wire::Call::FailoverConfirmed:
            result.call = read(*message.call_as_FailoverConfirmed());
            break;
        case wire::Call::FailoverRecorded: {
            const auto& call = *message.call_as_FailoverRecorded();
            result.call = failover_recorded{group_id{text_of(call.group())}, call.fence()};
            break;
        }
        case wire::Call::AskPrimary: {
            const auto& call = *message.call_as_AskPrimary();
            result.call = primary_query{group_id{text_of(call.group())},
                                        instance_id{text_of(call.instance())}};
            break;
        }
        case wire::Call::PrimaryTold: {
            const auto& call = *message.call_as_PrimaryTold();
            result.call = primary_reply{call.alive(), time_of(call.age_ms())};
            break;
        }
        case wire::Call::AskPositions:
            result.call = read(*message.call_as_AskPositions());
            break;
        case wire::Call::PositionsTold:
            result.call = read(*message.call_as_PositionsTold());
            break;
        case wire::Call::CountUsage:
            result.call = read(*message.call_as_CountUsage());
            break;
        case wire::Call::UsageCounted: {
            const auto& call = *message.call_as_UsageCounted();
            result.call = usage_acknowledgement{
                call.revision(), incarnation_number{call.incarnation()}, call.is_holder()};
            break;
        }
        case wire::Call::NONE:
            reject("the message has no call");
    }
    return result;
}

}  // namespace masticgrade
