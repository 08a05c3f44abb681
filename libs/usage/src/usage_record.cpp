#include "masticgrade/usage/usage_record.hpp"

#include <algorithm>
#include <boost/json.hpp>

namespace masticgrade {

namespace json = boost::json;

namespace {

/// Throws boost::system::system_error if the field is missing or not an unsigned number.
std::uint64_t number(const json::object& object, std::string_view name) {
    return object.at(name).to_number<std::uint64_t>();
}

json::object encode_counts(const usage_counts& counts) {
    json::object result;
    for (const auto& [customer, count] : counts) {
        result[customer.str()] = count;
    }
    return result;
}

usage_counts decode_counts(const json::object& object) {
    usage_counts result;
    for (const auto& [customer, count] : object) {
        result.emplace(std::string{customer}, count.to_number<std::uint64_t>());
    }
    return result;
}

usage_record decode_fields(const json::object& object) {
    usage_record result;
    result.holder = host_id{std::string{object.at("holder").as_string()}};
    result.incarnation = incarnation_number{number(object, "incarnation")};
    result.fence = number(object, "fence");
    result.era = store_era{number(object, "era")};
    result.next_window = window_number{number(object, "next_window")};
    for (const auto& item : object.at("unconfirmed").as_array()) {
        const auto& report = item.as_object();
        result.unconfirmed.push_back({window_number{number(report, "window")},
                                      decode_counts(report.at("counts").as_object())});
    }
    return result;
}

}  // namespace

std::string encode_usage_record(const usage_record& record, std::uint64_t mark) {
    json::array unconfirmed;
    for (const auto& report : record.unconfirmed) {
        unconfirmed.push_back(json::object{{"window", report.window.value()},
                                           {"counts", encode_counts(report.counts)}});
    }
    return json::serialize(json::object{{"holder", record.holder.str()},
                                        {"incarnation", record.incarnation.value()},
                                        {"fence", record.fence},
                                        {"era", record.era.value()},
                                        {"next_window", record.next_window.value()},
                                        {"unconfirmed", std::move(unconfirmed)},
                                        {"mark", mark}});
}

std::optional<usage_record> decode_usage_record(const std::string& value) {
    try {
        return decode_fields(json::parse(value).as_object());
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

stored_usage_record find_usage_record(const std::vector<table_row>& rows, store_era era) {
    const auto found = std::find_if(rows.begin(), rows.end(),
                                    [](const auto& row) { return row.key == usage_record_key; });
    if (found == rows.end()) {
        return {std::nullopt, fleet_version{}, era};
    }
    return {decode_usage_record(found->value), found->version, era};
}

}  // namespace masticgrade
