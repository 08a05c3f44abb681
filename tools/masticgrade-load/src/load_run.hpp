#pragma once

#include <map>
#include <string>
#include <vector>

#include "history.hpp"
#include "options.hpp"
#include "workload.hpp"

namespace masticgrade::load {

struct customer_result {
    std::uint64_t offered = 0;
    std::uint64_t done = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    /// Of not_run: refused because of the rate.
    std::uint64_t refused_by_rate = 0;
    /// From the planned start to the last answer, of operations that were done.
    std::vector<microseconds> latencies{};
    std::vector<admitted_statement> admitted{};
};

struct read_result {
    std::uint64_t done = 0;
    std::uint64_t by_replica = 0;
};

struct run_result {
    std::map<std::string, customer_result> customers;
    std::map<operation_kind, read_result> reads;
    /// Times at which a write was acknowledged, per route.
    std::map<std::string, std::vector<time_point>> acknowledged;
    std::vector<write_record> writes;
    std::vector<std::string> violations;
    duration length{};
};

/// Drives the fleet over the whole plan and waits for the answers. Violations that single answers
/// show are in the result; the logs of the databases are not looked at.
run_result run_load(const load_options& options);

/// Fetches the log dump of each route from the instance with the highest last term. Throws
/// std::runtime_error when no instance of a route can be read.
std::map<std::string, boost::json::array> fetch_logs(const load_options& options);

}  // namespace masticgrade::load
