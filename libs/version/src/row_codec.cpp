#include "masticgrade/version/row_codec.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <limits>
#include <utility>
#include <vector>

#include "field_reader.hpp"
#include "key_json.hpp"
#include "masticgrade/base/error.hpp"

namespace masticgrade {

namespace {

namespace json = boost::json;

constexpr std::string_view step = "decode row";
constexpr auto max_number = std::numeric_limits<std::uint64_t>::max();

json::value parse_row(const table_row& row) {
    try {
        return parse_json(row.value, step);
    } catch (const error& failure) {
        throw error(std::string{step}, row.key, failure.reason());
    }
}

void throw_first_error(const std::vector<field_error>& errors, const table_row& row) {
    if (!errors.empty()) {
        const auto& first = errors.front();
        throw error(std::string{step}, row.key, first.field + " " + first.reason);
    }
}

change_marks read_marks(field_reader& reader) {
    std::vector<std::string> marks{reader.text("mark")};
    for (const auto& [value, path] : reader.optional_elements("earlier_marks")) {
        const auto* mark = value->if_string();
        if (mark == nullptr || mark->empty() || marks.size() == change_marks::capacity) {
            reader.report("earlier_marks", "must be at most 7 texts that are not empty");
            return {};
        }
        marks.emplace_back(mark->data(), mark->size());
    }
    return marks.front().empty() ? change_marks{} : change_marks{std::move(marks)};
}

void write_marks(json::object& object, change_marks marks, std::string mark) {
    marks.add(std::move(mark));
    const auto& all = marks.newest_first();
    json::array earlier;
    for (std::size_t i = 1; i < all.size(); ++i) {
        earlier.emplace_back(all[i]);
    }
    object["mark"] = all.front();
    object["earlier_marks"] = std::move(earlier);
}

template <class Ids>
json::array encode_ids(const Ids& ids) {
    json::array array;
    for (const auto& id : ids) {
        array.emplace_back(id.str());
    }
    return array;
}

template <class Id>
std::set<Id> read_ids(field_reader& reader, std::string_view key) {
    std::set<Id> ids;
    for (auto& name : reader.names(key)) {
        ids.emplace(std::move(name));
    }
    return ids;
}

group_phase read_phase(field_reader& reader) {
    const auto phase = reader.text("phase");
    if (phase != "sealing" && phase != "active") {
        reader.report("phase", "must be \"sealing\" or \"active\"");
    }
    return phase == "sealing" ? group_phase::sealing : group_phase::active;
}

}  // namespace

std::string group_row_key(const group_id& group) {
    return std::string{group_row_prefix} + group.str();
}

std::optional<group_id> group_from_row_key(std::string_view key) {
    if (!key.starts_with(group_row_prefix) || key.size() == group_row_prefix.size()) {
        return std::nullopt;
    }
    return group_id{std::string{key.substr(group_row_prefix.size())}};
}

config_row decode_config_row(const table_row& row) {
    const auto value = parse_row(row);
    std::vector<field_error> errors;
    field_reader reader{value, "", errors};
    config_row decoded{row.version, {}, reader.optional_text("operator"), read_marks(reader)};
    const auto* document = reader.required("document");
    throw_first_error(errors, row);
    auto content = decode_configuration(*document);
    throw_first_error(content.errors, row);
    decoded.document = std::move(content.config);
    return decoded;
}

operations decode_operations_row(const table_row& row) {
    const auto value = parse_row(row);
    std::vector<field_error> errors;
    field_reader reader{value, "", errors};
    operations decoded;
    decoded.version = row.version;
    decoded.drained_domains = read_ids<failure_domain_id>(reader, "drained_domains");
    decoded.drained_servers = read_ids<instance_id>(reader, "drained_servers");
    decoded.revoked_keys = read_ids<key_id>(reader, "revoked_keys");
    if (!reader.optional_elements("revoked_hashes").empty()) {
        decoded.revoked_hashes = read_ids<key_hash>(reader, "revoked_hashes");
    }
    for (const auto& [entry, path] : reader.elements("added_keys")) {
        field_reader key{*entry, path, errors};
        const customer_id customer{key.name("customer")};
        decoded.added_keys[customer].push_back(read_key(key));
    }
    decoded.marks = read_marks(reader);
    throw_first_error(errors, row);
    return decoded;
}

members decode_members_row(const table_row& row) {
    const auto value = parse_row(row);
    std::vector<field_error> errors;
    field_reader reader{value, "", errors};
    members decoded;
    decoded.version = row.version;
    for (const auto& [entry, path] : reader.elements("hosts")) {
        field_reader host{*entry, path, errors};
        member found;
        found.id = host_id{host.name("id")};
        found.peer_address = endpoint_address{host.address("peer_address")};
        found.failure_domain = failure_domain_id{host.name("failure_domain")};
        found.incarnation = incarnation_number{host.integer("incarnation", 0, max_number)};
        const auto id = found.id;
        if (!decoded.hosts.emplace(id, std::move(found)).second) {
            host.report("id", "is listed twice");
        }
    }
    decoded.marks = read_marks(reader);
    throw_first_error(errors, row);
    return decoded;
}

group_record decode_group_row(const table_row& row) {
    const auto value = parse_row(row);
    std::vector<field_error> errors;
    field_reader reader{value, "", errors};
    group_record decoded;
    decoded.version = row.version;
    decoded.term = term_number{reader.integer("term", 0, max_number)};
    decoded.primary = instance_id{reader.optional_text("primary")};
    decoded.start_position = log_position{reader.integer("start_position", 0, max_number)};
    decoded.phase = read_phase(reader);
    decoded.coordinator = host_id{reader.optional_text("coordinator")};
    decoded.marks = read_marks(reader);
    decoded.mark = decoded.marks.newest();
    if (decoded.phase == group_phase::active && decoded.primary.empty()) {
        reader.report("primary", "must not be empty while the phase is \"active\"");
    }
    throw_first_error(errors, row);
    return decoded;
}

row_state decode_row_state(const table_row& row) {
    const auto value = parse_row(row);
    std::vector<field_error> errors;
    field_reader reader{value, "", errors};
    row_state state{row.version, read_marks(reader)};
    throw_first_error(errors, row);
    return state;
}

std::string encode_config_row(const config_row& row, std::string mark) {
    json::object object{{"document", encode_configuration(row.document)},
                        {"operator", row.operator_name}};
    write_marks(object, row.marks, std::move(mark));
    return json::serialize(object);
}

std::string encode_operations_row(const operations& row, std::string mark) {
    json::array added;
    for (const auto& [customer, keys] : row.added_keys) {
        for (const auto& key : keys) {
            added.push_back(json::object{
                {"customer", customer.str()}, {"id", key.id.str()}, {"sha256", key.hash.str()}});
        }
    }
    json::object object{{"drained_domains", encode_ids(row.drained_domains)},
                        {"drained_servers", encode_ids(row.drained_servers)},
                        {"added_keys", std::move(added)},
                        {"revoked_keys", encode_ids(row.revoked_keys)},
                        {"revoked_hashes", encode_ids(row.revoked_hashes)}};
    write_marks(object, row.marks, std::move(mark));
    return json::serialize(object);
}

std::string encode_members_row(const members& row, std::string mark) {
    json::array hosts;
    for (const auto& [id, host] : row.hosts) {
        hosts.push_back(json::object{{"id", id.str()},
                                     {"peer_address", host.peer_address.str()},
                                     {"failure_domain", host.failure_domain.str()},
                                     {"incarnation", host.incarnation.value()}});
    }
    json::object object{{"hosts", std::move(hosts)}};
    write_marks(object, row.marks, std::move(mark));
    return json::serialize(object);
}

std::string encode_group_row(const group_record& row, std::string mark) {
    json::object object{{"term", row.term.value()},
                        {"primary", row.primary.str()},
                        {"start_position", row.start_position.value()},
                        {"phase", row.phase == group_phase::sealing ? "sealing" : "active"},
                        {"coordinator", row.coordinator.str()}};
    write_marks(object, row.marks, std::move(mark));
    return json::serialize(object);
}

}  // namespace masticgrade
