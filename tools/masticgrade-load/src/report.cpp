#include "report.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace masticgrade::load {

namespace json = boost::json;

namespace {

using fractional_milliseconds = std::chrono::duration<double, std::milli>;

double in_milliseconds(duration length) { return fractional_milliseconds(length).count(); }

double percentile(const std::vector<microseconds>& sorted, double share) {
    if (sorted.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return in_milliseconds(sorted[index]);
}

double ratio(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

json::object customer_report(const load_customer& customer, customer_result statistics) {
    std::ranges::sort(statistics.latencies);
    json::object report{{"customer", customer.name},
                        {"offered", statistics.offered},
                        {"done", statistics.done},
                        {"not_run", statistics.not_run},
                        {"unknown", statistics.unknown},
                        {"refused_by_rate", statistics.refused_by_rate},
                        {"success", ratio(statistics.done, statistics.offered)},
                        {"p50_ms", percentile(statistics.latencies, 0.5)},
                        {"p90_ms", percentile(statistics.latencies, 0.9)},
                        {"p99_ms", percentile(statistics.latencies, 0.99)},
                        {"max_ms", percentile(statistics.latencies, 1)},
                        {"admitted", statistics.admitted.size()}};
    if (customer.rate > 0 && !statistics.admitted.empty()) {
        report["excess_over_rate"] =
            largest_excess(std::move(statistics.admitted), customer.rate, customer.burst);
    }
    return report;
}

json::object read_report(const std::map<operation_kind, read_result>& reads) {
    constexpr std::pair<operation_kind, const char*> names[] = {
        {operation_kind::current_read, "current"},
        {operation_kind::stale_read, "staleness_allowed"},
        {operation_kind::session_read, "read_your_writes"},
        {operation_kind::roaming_read, "read_your_writes_elsewhere"}};
    json::object report;
    for (const auto& [kind, name] : names) {
        if (const auto found = reads.find(kind); found != reads.end()) {
            report[name] =
                json::object{{"done", found->second.done},
                             {"by_replica", found->second.by_replica},
                             {"share", ratio(found->second.by_replica, found->second.done)}};
        }
    }
    return report;
}

json::object write_gap_report(const std::map<std::string, std::vector<time_point>>& acknowledged) {
    json::object report;
    // Acknowledgements are recorded as they arrive, so the times rise.
    for (const auto& [route, times] : acknowledged) {
        duration longest{};
        for (std::size_t i = 1; i < times.size(); ++i) {
            longest = std::max(longest, times[i] - times[i - 1]);
        }
        report[route] = json::object{{"acknowledged", times.size()},
                                     {"longest_gap_ms", in_milliseconds(longest)}};
    }
    return report;
}

json::object refusal_report(const load_options& options, const run_result& result) {
    std::uint64_t offered = 0;
    std::uint64_t not_run = 0;
    for (const auto& [name, statistics] : result.customers) {
        if (name != options.heavy_customer) {
            offered += statistics.offered;
            not_run += statistics.not_run;
        }
    }
    return {{"offered", offered}, {"refused", not_run}, {"share", ratio(not_run, offered)}};
}

}  // namespace

json::object make_report(const load_options& options, const run_result& result,
                         const std::vector<std::string>& violations) {
    json::array customers;
    for (const auto& customer : options.customers) {
        const auto found = result.customers.find(customer.name);
        customers.push_back(customer_report(
            customer, found == result.customers.end() ? customer_result{} : found->second));
    }
    return {{"seed", options.seed},
            {"length_ms", in_milliseconds(result.length)},
            {"customers", std::move(customers)},
            {"reads", read_report(result.reads)},
            {"writes", write_gap_report(result.acknowledged)},
            {"refusals_inside_rate", refusal_report(options, result)},
            {"violations", json::value_from(violations)}};
}

std::string format_table(const json::object& report) {
    auto text = fmt::format("{:<14}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}\n",
                            "customer", "offered", "done", "not_run", "unknown", "rate-ref",
                            "success", "p50 ms", "p90 ms", "p99 ms", "max ms");
    const auto number = [](const json::value& row, const char* name) {
        return row.at(name).to_number<double>();
    };
    for (const auto& row : report.at("customers").as_array()) {
        text += fmt::format(
            "{:<14}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9.4f}{:>9.2f}{:>9.2f}{:>9.2f}{:>9.2f}\n",
            std::string_view(row.at("customer").as_string()), number(row, "offered"),
            number(row, "done"), number(row, "not_run"), number(row, "unknown"),
            number(row, "refused_by_rate"), number(row, "success"), number(row, "p50_ms"),
            number(row, "p90_ms"), number(row, "p99_ms"), number(row, "max_ms"));
    }
    for (const auto& row : report.at("customers").as_array()) {
        if (row.as_object().contains("excess_over_rate")) {
            text += fmt::format("admitted for {}: {}, at most {:.1f} above burst + rate x t\n",
                                std::string_view(row.at("customer").as_string()),
                                number(row, "admitted"), number(row, "excess_over_rate"));
        }
    }
    for (const auto& [name, row] : report.at("reads").as_object()) {
        text += fmt::format("reads {}: {} done, share served by replicas {:.3f}\n",
                            std::string_view(name), number(row, "done"), number(row, "share"));
    }
    for (const auto& [route, row] : report.at("writes").as_object()) {
        text += fmt::format("writes on {}: {} acknowledged, longest gap {:.0f} ms\n",
                            std::string_view(route), number(row, "acknowledged"),
                            number(row, "longest_gap_ms"));
    }
    text += fmt::format("refused inside the rate: {:.5f} of the operations\n",
                        number(report.at("refusals_inside_rate"), "share"));
    const auto& violations = report.at("violations").as_array();
    for (const auto& violation : violations) {
        text += fmt::format("VIOLATION: {}\n", std::string_view(violation.as_string()));
    }
    text += fmt::format("{} violations in {:.1f} s with seed {}\n", violations.size(),
                        report.at("length_ms").as_double() / 1000,
                        report.at("seed").to_number<std::uint64_t>());
    return text;
}

}  // namespace masticgrade::load
