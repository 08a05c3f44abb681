#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "options.hpp"

namespace masticgrade::load {

enum class outcome { done, not_run, unknown };

/// One write or transaction with all its attempts.
struct write_record {
    std::uint64_t id = 0;
    std::string customer{};
    std::string route{};
    std::string idempotency_key{};
    /// In the order in which they were sent.
    boost::json::array statements{};
    /// done: an attempt was acknowledged; not_run: every attempt was refused as not run.
    outcome result = outcome::unknown;
};

/// What a read may return of a row that one session writes with rising numbers.
struct read_expectation {
    std::string key{};
    /// The last number that the session was told to be written, when the read began.
    std::uint64_t at_least = 0;
    /// The last number that the session had sent when the read ended.
    std::uint64_t at_most = 0;
};

/// Returns what is wrong with the result of a read; empty when nothing is.
std::string check_read(const read_expectation& expected, const boost::json::value& result);

/// Compares the history of writes with the dump of the log of each route; returns the violations.
/// Rows of other runs are left out: `row_prefix` begins every key of this run.
std::vector<std::string> check_writes(const std::vector<write_record>& history,
                                      const std::map<std::string, boost::json::array>& logs,
                                      const std::string& row_prefix);

/// A statement that the fleet admitted at some time between its sending and its answer.
struct admitted_statement {
    time_point sent{};
    time_point answered{};
};

/// Returns the largest excess of admitted statements over burst + rate x t that the intervals of
/// 0.5, 1, 5 and 10 s and the whole run prove; 0 or less when the bound holds.
double largest_excess(std::vector<admitted_statement> admitted, double rate, double burst);

}  // namespace masticgrade::load
