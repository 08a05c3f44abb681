#include "masticgrade/rows/row_snapshot.hpp"

#include <flatbuffers/flatbuffers.h>
#include <fmt/format.h>
#include <xxhash.h>

#include "generated/rows_generated.h"
#include "masticgrade/base/error.hpp"

namespace masticgrade {

std::uint64_t digest_rows(const std::vector<table_row>& rows) {
    // The version alone doesn't identify a row's value: a store that was restored from a copy
    // assigns versions again.
    std::string contents;
    for (const auto& row : rows) {
        contents += fmt::format("{}\n{}\n{}\n", row.key, row.version, row.value.size());
        contents += row.value;
    }
    return XXH3_64bits(contents.data(), contents.size());
}

std::string serialize_rows(const std::vector<table_row>& rows) {
    flatbuffers::FlatBufferBuilder out;
    std::vector<flatbuffers::Offset<rows_wire::Row>> items;
    items.reserve(rows.size());
    for (const auto& row : rows) {
        const auto key = out.CreateString(row.key);
        const auto value = out.CreateString(row.value);
        items.push_back(rows_wire::CreateRow(out, key, row.version.value(), value));
    }
    out.Finish(rows_wire::CreateRows(out, out.CreateVector(items)));
    return {reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize()};
}

std::vector<table_row> parse_rows(std::string_view bytes) {
    flatbuffers::Verifier verifier{reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                   bytes.size()};
    if (!rows_wire::VerifyRowsBuffer(verifier)) {
        throw error("parse rows", "", "the bytes are not serialized rows");
    }
    std::vector<table_row> result;
    const auto* items = rows_wire::GetRows(bytes.data())->rows();
    if (items == nullptr) {
        return result;
    }
    result.reserve(items->size());
    for (const auto* item : *items) {
        const auto text = [](const flatbuffers::String* field) {
            return field == nullptr ? std::string{} : field->str();
        };
        result.push_back({text(item->key()), fleet_version{item->version()}, text(item->value())});
    }
    return result;
}

}  // namespace masticgrade
