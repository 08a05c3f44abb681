#include "test_fleet.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <openssl/sha.h>
#include <unistd.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <filesystem>
#include <thread>

#include "http_client.hpp"
#include "report.hpp"

namespace masticgrade::process_test {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;

namespace {

constexpr const char* group = "ledger";
constexpr const char* route = "bookings";
constexpr auto call_timeout = seconds{8};
// Polls that wait for a state are bounded by a number of attempts, generous for a busy machine.
constexpr int wait_attempts = 300;
constexpr auto wait_step = milliseconds{50};

std::string sha256(const std::string& text) {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    std::string hex;
    for (const auto byte : digest) {
        hex += fmt::format("{:02x}", byte);
    }
    return hex;
}

/// An address with a port that was free a moment ago. The ports lie below the range that the system
/// gives to outgoing connections, and none is returned twice.
std::string free_address() {
    constexpr unsigned first = 20000;
    constexpr unsigned count = 10000;
    static unsigned next = static_cast<unsigned>(::getpid()) % count;
    asio::io_context io(1);
    for (unsigned tried = 0; tried < count; ++tried) {
        const auto port = static_cast<std::uint16_t>(first + next++ % count);
        tcp::acceptor acceptor(io);
        acceptor.open(tcp::v4());
        boost::system::error_code in_use;
        acceptor.bind({asio::ip::address_v4::loopback(), port}, in_use);
        if (!in_use) {
            return fmt::format("127.0.0.1:{}", port);
        }
    }
    throw std::runtime_error("no free port");
}

std::string field(const std::string& line, const std::string& name) {
    const auto begin = line.find(name + '=');
    if (begin == std::string::npos) {
        throw std::runtime_error("no " + name + " in: " + line);
    }
    const auto value = begin + name.size() + 1;
    return line.substr(value, line.find(' ', value) - value);
}

json::value call_json(const std::string& address, const std::string& target,
                      const json::value& body) {
    const auto answer =
        load::call_once(address, {.target = target, .body = json::serialize(body)}, call_timeout);
    if (answer.status != 200) {
        throw std::runtime_error(
            fmt::format("{} answered {}: {}", target, answer.status, answer.body));
    }
    return json::parse(answer.body);
}

json::object fault_body(const char* fault, bool on, std::uint64_t value) {
    return {{"fault", fault}, {"on", on}, {"value", value}};
}

json::array strings(const std::vector<std::string>& texts) {
    return json::array(texts.begin(), texts.end());
}

}  // namespace

const std::string& test_fleet::clerk_key() {
    static const std::string key = "clerk-key-0123456789abcdef012345";
    return key;
}

test_fleet::test_fleet(fleet_shape shape)
    : shape_(std::move(shape)), logs_(std::string(MG_PROCESS_LOGS) + '/' + shape_.scenario) {
    std::filesystem::remove_all(logs_);
    std::filesystem::create_directories(logs_);
    child_process platform(MG_PLATFORM_STANDIN, {}, logs_ + "/platform.log");
    const auto line = platform.read_line();
    platform_.push_back({"platform", "127.0.0.1:" + field(line, "port"),
                         "127.0.0.1:" + field(line, "control"), std::move(platform)});
    start_instances();
    write_rows();
    for (std::size_t i = 0; i < shape_.proxies; ++i) {
        start_proxy();
    }
    for (std::size_t i = 0; i < shape_.proxies; ++i) {
        REQUIRE(wait_until_serving(i));
    }
}

void test_fleet::start_instances() {
    for (int i = 0; i < 3; ++i) {
        const auto id = fmt::format("{}-{}", group, i);
        std::vector<std::string> flags{"--instance",     id,
                                       "--initial-term", "1",
                                       "--apply-lag-ms", fmt::to_string(shape_.apply_lag.count())};
        if (i == 0) {
            flags.insert(flags.end(), {"--initial-role", "primary"});
        } else {
            flags.insert(flags.end(), {"--primary", instances_.front().address});
        }
        child_process process(MG_DATABASE_STANDIN, flags, fmt::format("{}/{}.log", logs_, id));
        const auto line = process.read_line();
        instances_.push_back({id, "127.0.0.1:" + field(line, "port"),
                              "127.0.0.1:" + field(line, "control"), std::move(process)});
    }
}

void test_fleet::write_rows() const {
    json::array instances;
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        instances.push_back(json::object{{"id", instances_[i].id},
                                         {"address", instances_[i].address},
                                         {"failure_domain", fmt::format("domain-{}", i)}});
    }
    const json::array keys{json::object{{"id", "clerk-key"}, {"sha256", sha256(clerk_key())}}};
    const json::array customers{json::object{{"name", "clerk"},
                                             {"rate", 2000},
                                             {"burst", 1000},
                                             {"routes", json::array{json::value(route)}},
                                             {"keys", keys}}};
    const json::array groups{json::object{
        {"name", group}, {"instances", instances}, {"max_connections", 20}, {"slots", 3}}};
    const json::array routes{json::object{{"name", route}, {"group", group}, {"open", false}}};
    const json::object document{{"customer", customers}, {"route", routes}, {"group", groups}};
    const json::object config{{"document", document}, {"operator", "test"}, {"mark", "config-1"}};
    const json::object record{{"term", 1},
                              {"primary", instances_.front().id},
                              {"start_position", 1},
                              {"phase", "active"},
                              {"coordinator", "test"},
                              {"mark", "group-1"}};
    json::array puts;
    puts.push_back(json::object{{"key", "fleet/config"}, {"value", config}});
    puts.push_back(json::object{{"key", fmt::format("fleet/groups/{}", group)}, {"value", record}});
    commit(std::move(puts));
    set_operations({}, {});
}

void test_fleet::commit(json::array puts) const {
    call_json(platform_.front().address, "/v1/commit",
              json::object{{"conditions", json::array{}}, {"puts", std::move(puts)}});
}

void test_fleet::set_operations(const std::vector<std::string>& drained_domains,
                                const std::vector<std::string>& revoked_keys) const {
    static int changes = 0;
    const json::object value{{"drained_domains", strings(drained_domains)},
                             {"drained_servers", json::array{}},
                             {"added_keys", json::array{}},
                             {"revoked_keys", strings(revoked_keys)},
                             {"mark", fmt::format("operations-{}", ++changes)}};
    json::array puts;
    puts.push_back(json::object{{"key", "fleet/operations"}, {"value", value}});
    commit(std::move(puts));
}

void test_fleet::start_proxy() {
    const auto index = proxies_.size();
    const auto id = fmt::format("proxy-{}", index);
    const auto address = free_address();
    child_process process(
        MG_PROXY,
        {"--host-id", id, "--failure-domain", fmt::format("domain-{}", index % 3), "--listen",
         address, "--admin-listen", free_address(), "--peer-listen", free_address(), "--platform",
         platform_.front().address, "--token-secrets", "a-secret-for-test-runs", "--threads", "2"},
        fmt::format("{}/{}.log", logs_, id));
    proxies_.push_back({id, address, {}, std::move(process)});
}

std::size_t test_fleet::add_proxy() {
    start_proxy();
    const auto index = proxies_.size() - 1;
    REQUIRE(wait_until_serving(index));
    return index;
}

bool test_fleet::wait_until_serving(std::size_t index) const {
    if (!wait_for_readiness(index, true)) {
        return false;
    }
    // A new host is ready before it has a share of the customer's rate.
    const auto seat = fmt::format("first-of-{}", proxies_[index].id);
    return book_until_done(index, seat).outcome == "done";
}

bool test_fleet::ready(std::size_t index) const {
    try {
        return load::call_once(proxies_[index].address, {.method = "GET", .target = "/readyz"},
                               seconds{1})
                   .status == 200;
    } catch (const load::call_failure&) {
        return false;
    }
}

bool test_fleet::wait_for_readiness(std::size_t index, bool wanted) const {
    for (int attempt = 0; attempt < wait_attempts; ++attempt) {
        if (ready(index) == wanted) {
            return true;
        }
        pause(wait_step);
    }
    return false;
}

void test_fleet::platform_fault(const char* fault, bool on, std::uint64_t value) const {
    call_json(platform_.front().control, "/control", fault_body(fault, on, value));
}

void test_fleet::instance_fault(std::size_t index, const char* fault, bool on,
                                std::uint64_t value) const {
    call_json(instances_[index].control, "/control", fault_body(fault, on, value));
}

void test_fleet::set_server_leaving(std::size_t index, bool leaving) const {
    const auto& server = instances_[index];
    const json::object host{{"id", server.id},
                            {"address", server.address},
                            {"failure_domain", "domain-" + std::to_string(index)},
                            {"kind", "backend"},
                            {"state", leaving ? "leaving" : "live"}};
    call_json(platform_.front().control, "/control", json::object{{"hosts", json::array{host}}});
}

json::value test_fleet::row(const std::string& key) const {
    const auto scan = call_json(platform_.front().address, "/v1/scan",
                                json::object{{"prefix", key}, {"modified_after", 0}});
    for (const auto& found : scan.at("rows").as_array()) {
        if (found.at("key") == json::value(key)) {
            return found.at("value");
        }
    }
    return nullptr;
}

json::object test_fleet::instance_state(std::size_t index) const {
    return call_json(instances_[index].address, "/v1/state", json::object{{"request_id", 1}})
        .as_object();
}

load::load_options test_fleet::load(milliseconds duration) const {
    load::load_options options;
    for (const auto& proxy : proxies_) {
        options.proxies.push_back(proxy.address);
    }
    options.customers.push_back(
        {.name = "clerk", .key = clerk_key(), .route = route, .offered = 80});
    options.duration = duration;
    options.run_id = shape_.scenario;
    for (const auto& instance : instances_) {
        options.logs.emplace_back(route, instance.control);
    }
    return options;
}

json::array test_fleet::log() const { return load::fetch_logs(load(seconds{1})).at(route); }

unsigned test_fleet::times_taken(const std::string& key) const {
    unsigned times = 0;
    for (const auto& entry : log()) {
        for (const auto& statement : entry.at("statements").as_array()) {
            if (statement.at("op") == "take" && statement.at("key") == json::value(key)) {
                ++times;
            }
        }
    }
    return times;
}

answer test_fleet::call(std::size_t proxy, const std::string& target, const json::value& body,
                        const std::string& idempotency_key) const {
    load::http_call request{.target = target,
                            .headers = {{"Authorization", "Bearer " + clerk_key()}},
                            .body = json::serialize(body)};
    if (!idempotency_key.empty()) {
        request.headers.emplace_back("Idempotency-Key", idempotency_key);
    }
    try {
        const auto raw = load::call_once(proxies_[proxy].address, std::move(request), call_timeout);
        answer parsed{.status = raw.status};
        parsed.body = json::parse(raw.body).as_object();
        if (const auto* outcome = parsed.body.if_contains("outcome")) {
            parsed.outcome = std::string(outcome->as_string());
        }
        return parsed;
    } catch (const load::call_failure&) {
        return {};
    }
}

answer test_fleet::book_until_done(std::size_t proxy, const std::string& seat) const {
    answer last;
    for (int attempt = 0; attempt < wait_attempts; ++attempt) {
        last = book(proxy, seat);
        if (last.outcome == "done") {
            break;
        }
        pause(wait_step);
    }
    return last;
}

answer test_fleet::book(std::size_t proxy, const std::string& seat) const {
    const json::value statement{{"op", "take"}, {"key", seat}};
    return call(proxy, fmt::format("/v1/routes/{}/statements", route),
                {{"kind", "write"}, {"statement", statement}}, "book-" + seat);
}

background_load::background_load(load::load_options options)
    : options_(std::move(options)),
      result_(std::async(std::launch::async, [this] { return load::run_load(options_); })) {}

load::run_result background_load::finish() {
    auto result = result_.get();
    auto violations = result.violations;
    const auto logs = load::fetch_logs(options_);
    for (auto& violation : load::check_writes(result.writes, logs, options_.run_id + '/')) {
        violations.push_back(std::move(violation));
    }
    const auto report = load::make_report(options_, result, violations);
    MESSAGE(load::format_table(report));
    CHECK(violations.empty());
    return result;
}

std::size_t acknowledged_after(const load::run_result& result, time_point moment) {
    std::size_t count = 0;
    for (const auto& [route_name, times] : result.acknowledged) {
        count += static_cast<std::size_t>(
            std::ranges::count_if(times, [&](time_point at) { return at > moment; }));
    }
    return count;
}

void pause(milliseconds length) { std::this_thread::sleep_for(length); }

}  // namespace masticgrade::process_test
