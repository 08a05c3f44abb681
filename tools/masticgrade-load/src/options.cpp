#include "options.hpp"

#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <iostream>
#include <map>
#include <sstream>

namespace masticgrade::load {

namespace {

namespace program_options = boost::program_options;
using field_map = std::map<std::string, std::string>;

field_map parse_fields(const std::string& text) {
    field_map fields;
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');) {
        const auto equals = part.find('=');
        if (equals == std::string::npos) {
            throw std::invalid_argument(fmt::format("not a list of name=value: {}", text));
        }
        fields[part.substr(0, equals)] = part.substr(equals + 1);
    }
    return fields;
}

std::string required(field_map& fields, const char* name, const std::string& text) {
    auto node = fields.extract(name);
    if (node.empty()) {
        throw std::invalid_argument(fmt::format("{} is missing in: {}", name, text));
    }
    return node.mapped();
}

double number(field_map& fields, const char* name) {
    auto node = fields.extract(name);
    return node.empty() ? 0 : std::stod(node.mapped());
}

load_customer parse_customer(const std::string& text) {
    auto fields = parse_fields(text);
    load_customer customer{.name = required(fields, "name", text),
                           .key = required(fields, "key", text),
                           .route = required(fields, "route", text),
                           .offered = number(fields, "offered"),
                           .rate = number(fields, "rate"),
                           .burst = number(fields, "burst")};
    if (!fields.empty()) {
        throw std::invalid_argument(fmt::format("unknown field {}", fields.begin()->first));
    }
    if (customer.offered <= 0) {
        throw std::invalid_argument(fmt::format("offered must be above 0 in: {}", text));
    }
    return customer;
}

std::pair<std::string, std::string> parse_log(const std::string& text) {
    const auto equals = text.find('=');
    if (equals == std::string::npos) {
        throw std::invalid_argument(fmt::format("--log is not ROUTE=ip:port: {}", text));
    }
    return {text.substr(0, equals), text.substr(equals + 1)};
}

void check(const load_options& options) {
    const auto& mix = options.mix;
    for (const auto share : {mix.writes, mix.stale_reads, mix.session_reads, mix.roaming_reads,
                             mix.transactions, mix.unkeyed}) {
        if (share < 0 || share > 1) {
            throw std::invalid_argument("a share is outside 0 to 1");
        }
    }
    if (mix.writes + mix.stale_reads + mix.session_reads + mix.roaming_reads + mix.transactions >
        1.0001) {
        throw std::invalid_argument("the shares add up to more than 1");
    }
    constexpr auto longest_run = std::chrono::hours(1);
    if (options.duration <= milliseconds{0} || options.duration > longest_run) {
        throw std::invalid_argument("--duration-ms is outside 1 to 3600000");
    }
}

}  // namespace

std::optional<load_options> parse_options(int argc, const char* const* argv) {
    load_options options;
    std::vector<std::string> customers;
    std::vector<std::string> logs;
    milliseconds::rep duration_ms = options.duration.count();
    milliseconds::rep staleness_ms = options.max_staleness.count();
    milliseconds::rep deadline_ms = options.deadline.count();
    auto& mix = options.mix;
    const auto with_default = [](auto& target) {
        return program_options::value(&target)->default_value(target);
    };
    program_options::options_description flags(
        "masticgrade-load drives several proxies and checks every answer.\n"
        "Exit code 0: no violation; 1: a violation; 2: a wrong flag or a log that cannot be read");
    flags.add_options()("help", "print this text")(
        "proxy", program_options::value(&options.proxies)->required(),
        "ip:port of a proxy; may be repeated")(
        "customer", program_options::value(&customers)->required(),
        "name=..,key=..,route=..,offered=OPERATIONS/s[,rate=..,burst=..]; may be repeated; with "
        "rate and burst the admitted statements are checked against them")(
        "log", program_options::value(&logs),
        "ROUTE=ip:port of the control port of a database stand-in; name every instance, the log "
        "with the highest term counts")("heavy", with_default(options.heavy_customer),
                                        "customer that offers a multiple of its rate")(
        "heavy-factor", with_default(options.heavy_factor), "that multiple")(
        "duration-ms", with_default(duration_ms), "time over which operations start")(
        "writes", with_default(mix.writes), "share of writes")(
        "stale-reads", with_default(mix.stale_reads), "share of reads that may be stale")(
        "session-reads", with_default(mix.session_reads), "share of read-your-writes reads")(
        "roaming-reads", with_default(mix.roaming_reads),
        "share of writes that are read back through another proxy")(
        "transactions", with_default(mix.transactions), "share of transactions")(
        "unkeyed", with_default(mix.unkeyed), "share of the writes without idempotency key")(
        "max-staleness-ms", with_default(staleness_ms), "for the reads that may be stale")(
        "deadline-ms", with_default(deadline_ms), "deadline of each request")(
        "retries", with_default(options.retries),
        "further attempts with the same idempotency key after an unknown outcome")(
        "seed", with_default(options.seed), "seed of the random source")(
        "run-id", with_default(options.run_id), "prefix of all rows; default: the time")(
        "json", program_options::bool_switch(&options.json), "print the measures as JSON");
    program_options::variables_map values;
    program_options::store(program_options::parse_command_line(argc, argv, flags), values);
    if (values.contains("help")) {
        std::cout << flags << '\n';
        return std::nullopt;
    }
    program_options::notify(values);
    for (const auto& customer : customers) {
        options.customers.push_back(parse_customer(customer));
    }
    for (const auto& log : logs) {
        options.logs.push_back(parse_log(log));
    }
    options.duration = milliseconds{duration_ms};
    options.max_staleness = milliseconds{staleness_ms};
    options.deadline = milliseconds{deadline_ms};
    if (options.run_id.empty()) {
        options.run_id =
            fmt::format("r{}", std::chrono::system_clock::now().time_since_epoch().count());
    }
    check(options);
    return options;
}

}  // namespace masticgrade::load
