#include "change_report.hpp"

#include <fmt/format.h>

#include <utility>

#include "masticgrade/base/error.hpp"
#include "wait.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

asio::awaitable<command_result> report_recorded(control_services services, change_result change,
                                                change_description description) {
    const auto acknowledged = co_await wait_for_majority(
        services.proxies, change.version, services.deadline, services.retry_interval);
    const bool accepted = acknowledged.by_majority();
    command_result result;
    result.code = accepted ? exit_code::done : exit_code::not_acknowledged;
    const auto recorded =
        change.outcome == change_outcome::unchanged ? "Nothing to change; recorded" : "Recorded";
    if (accepted) {
        result.text =
            fmt::format("{}. {} at version {}, acknowledged by {} of {} members.", description.done,
                        recorded, change.version, acknowledged.acknowledged, acknowledged.members);
    } else {
        result.text = fmt::format(
            "{}. {} at version {}, not yet acknowledged by a majority ({} of {} members).",
            description.done, recorded, change.version, acknowledged.acknowledged,
            acknowledged.members);
    }
    if (!acknowledged.failure.empty()) {
        result.text += "\nLast query failed: " + acknowledged.failure;
    }
    result.document = std::move(description.fields);
    result.document["outcome"] = accepted ? "accepted" : "recorded";
    result.document["changed"] = change.outcome == change_outcome::committed;
    result.document["version"] = change.version.value();
    result.document["acknowledged"] = acknowledged.acknowledged;
    result.document["members"] = acknowledged.members;
    co_return result;
}

command_result report_unrecorded(const change_result& change) {
    const bool conflict = change.outcome == change_outcome::conflict;
    command_result result;
    result.code = conflict ? exit_code::conflict : exit_code::outcome_unknown;
    result.document["outcome"] = conflict ? "conflict" : "outcome_unknown";
    if (conflict) {
        result.text = fmt::format("Not recorded: the change lost to version {}.", change.version);
        result.document["version"] = change.version.value();
    } else {
        result.text = fmt::format(
            "Outcome unknown: the change may be recorded or still arrive ({}).", change.failure);
        result.document["reason"] = change.failure;
    }
    return result;
}

}  // namespace

change_retry_policy retry_policy_of(const control_services& services) {
    return {services.deadline, services.retry_interval};
}

asio::awaitable<command_result> report_change(control_services services, change_result change,
                                              change_description description) {
    switch (change.outcome) {
        case change_outcome::committed:
        case change_outcome::unchanged:
            co_return co_await report_recorded(services, std::move(change), std::move(description));
        case change_outcome::not_sent:
            throw error("commit", "", "nothing was changed: " + change.failure);
        case change_outcome::conflict:
        case change_outcome::unknown:
            break;
    }
    co_return report_unrecorded(change);
}

}  // namespace masticgrade
