#include <fmt/format.h>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <utility>

#include "change_report.hpp"
#include "masticgrade/base/error.hpp"
#include "masticgrade/control/commands.hpp"
#include "masticgrade/folder/folder.hpp"
#include "masticgrade/version/configuration_codec.hpp"
#include "masticgrade/version/row_codec.hpp"

namespace masticgrade {

namespace asio = boost::asio;
namespace fs = std::filesystem;
namespace json = boost::json;

namespace {

constexpr const char* version_file_name = ".masticgrade-version";

command_result report_folder(const folder_content& content, const std::string& folder) {
    command_result result;
    json::array errors;
    for (const auto& error : content.errors) {
        result.text += describe(error) + "\n";
        errors.push_back(json::object{{"file", error.file},
                                      {"line", error.line},
                                      {"field", error.field},
                                      {"reason", error.reason}});
    }
    const auto& config = content.config;
    result.document = {{"outcome", content.errors.empty() ? "valid" : "invalid"},
                       {"errors", std::move(errors)}};
    if (content.errors.empty()) {
        result.text =
            fmt::format("{} is valid: customers={} routes={} groups={}.", folder,
                        config.customers.size(), config.routes.size(), config.groups.size());
    } else {
        result.code = exit_code::invalid_configuration;
        result.text += fmt::format("{} has {} error(s).", folder, content.errors.size());
    }
    return result;
}

/// Returns the version at which the folder was last applied, or 0 if it never was.
fleet_version read_base_version(const fs::path& folder) {
    std::ifstream input{folder / version_file_name};
    if (!input) {
        return {};
    }
    const std::string text{std::istreambuf_iterator<char>{input}, {}};
    std::uint64_t version = 0;
    const auto end = text.data() + text.find_last_not_of(" \n") + 1;
    const auto [rest, failure] = std::from_chars(text.data(), end, version);
    if (failure != std::errc{} || rest != end) {
        throw error("read base version", "",
                    fmt::format("{} does not hold a version; give --base",
                                (folder / version_file_name).string()));
    }
    return fleet_version{version};
}

/// Replaces the version file by renaming a temporary file. Returns a warning if that failed, and an
/// empty string otherwise.
std::string write_base_version(const fs::path& folder, fleet_version version) {
    const auto file = folder / version_file_name;
    const auto temporary_file = folder / (std::string{version_file_name} + ".new");
    std::ofstream output{temporary_file};
    output << version.value() << '\n';
    output.close();
    std::error_code failure;
    if (output) {
        fs::rename(temporary_file, file, failure);
    }
    if (!output || failure) {
        return fmt::format("{} could not be written; next time give --base {}", file.string(),
                           version);
    }
    return {};
}

std::string operator_name_of(const table_row& row) {
    json::error_code failure;
    const auto value = json::parse(row.value, failure);
    const auto* object = failure ? nullptr : value.if_object();
    const auto* name = object == nullptr ? nullptr : object->if_contains("operator");
    return name != nullptr && name->is_string() ? name->get_string().c_str() : "unknown";
}

/// Returns the change marks of the row, or none if the row cannot be decoded, so that `apply` can
/// replace an invalid row.
change_marks marks_of(const table_row& row) {
    try {
        return decode_row_state(row).marks;
    } catch (const error&) {
        return {};
    }
}

bool holds_document(const table_row& row, const configuration& document) {
    try {
        return encode_configuration(decode_config_row(row).document) ==
               encode_configuration(document);
    } catch (const error&) {
        return false;
    }
}

command_result report_conflict(const std::optional<table_row>& present, fleet_version base) {
    command_result result;
    result.code = exit_code::conflict;
    const auto version = present ? present->version : fleet_version{};
    const auto name = present ? operator_name_of(*present) : "";
    result.text = fmt::format(
        "Not recorded: the folder is based on version {}, but the configuration in force is "
        "version {}, applied by \"{}\".",
        base, version, name);
    result.document = {{"outcome", "conflict"},
                       {"base", base.value()},
                       {"version", version.value()},
                       {"operator", name}};
    return result;
}

asio::awaitable<change_result> record(control_services services, config_row next, row_state base) {
    const auto mark = make_random_token();
    row_put put{std::string{config_row_key}, encode_config_row(next, mark)};
    co_return co_await commit_row(services.table, std::move(put), mark, std::move(base),
                                  retry_policy_of(services));
}

}  // namespace

command_result run_check(const check_command& command) {
    return report_folder(read_folder(command.folder), command.folder);
}

asio::awaitable<command_result> run_apply(control_services services, apply_command command) {
    auto content = read_folder(command.folder);
    if (!content.errors.empty()) {
        co_return report_folder(content, command.folder);
    }
    const auto base = command.base ? *command.base : read_base_version(command.folder);
    const std::string key{config_row_key};
    const auto present = co_await read_row(services.table, key, services.deadline);
    const row_state state = present ? row_state{present->version, marks_of(*present)} : row_state{};
    if (state.version != base) {
        co_return report_conflict(present, base);
    }
    change_result change{change_outcome::unchanged, base};
    if (!present || !holds_document(*present, content.config)) {
        config_row next{{}, std::move(content.config), command.operator_name, state.marks};
        change = co_await record(services, std::move(next), state);
    }
    if (change.outcome == change_outcome::conflict) {
        const auto winner = co_await read_row(services.table, key, services.deadline);
        co_return report_conflict(winner, base);
    }
    std::string warning;
    if (change.outcome == change_outcome::committed) {
        warning = write_base_version(command.folder, change.version);
    }
    change_description description{fmt::format("Applied {}", command.folder)};
    auto result = co_await report_change(services, std::move(change), std::move(description));
    if (!warning.empty()) {
        result.text += "\nWarning: " + warning + ".";
        result.document["warning"] = warning;
    }
    co_return result;
}

}  // namespace masticgrade
