#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "masticgrade/base/time.hpp"

namespace masticgrade::load {

struct load_customer {
    std::string name;
    std::string key;
    std::string route;
    /// Operations offered per second.
    double offered = 0;
    /// What the fleet's configuration allows; 0 when the bound is not to be checked.
    double rate = 0;
    double burst = 0;
};

/// Shares of the operations; what remains are reads of current data.
struct load_mix {
    double writes = 0.25;
    double stale_reads = 0.3;
    double session_reads = 0.15;
    /// A write followed by a read-your-writes read through another proxy.
    double roaming_reads = 0.1;
    double transactions = 0.05;
    /// Of the writes: how many carry no idempotency key.
    double unkeyed = 0.1;
};

struct load_options {
    std::vector<std::string> proxies;
    std::vector<load_customer> customers;
    load_mix mix;
    std::string heavy_customer;
    double heavy_factor = 1;
    milliseconds duration{10000};
    milliseconds max_staleness{200};
    milliseconds deadline{5000};
    unsigned retries = 3;
    std::uint64_t seed = 1;
    /// Distinguishes the rows of runs against the same databases.
    std::string run_id;
    /// Route and "ip:port" of a control port that dumps the log of one of its instances.
    std::vector<std::pair<std::string, std::string>> logs;
    bool json = false;
};

/// Parses and validates the flags. Returns nothing after it has printed the help text; throws
/// std::invalid_argument or boost::program_options::error for a wrong flag.
std::optional<load_options> parse_options(int argc, const char* const* argv);

}  // namespace masticgrade::load
