#include <doctest/doctest.h>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <thread>

#include "child_process.hpp"
#include "free_port.hpp"
#include "line_client.hpp"
#include "platform_world.hpp"

using namespace masticgrade;
using namespace masticgrade::edge_test;

namespace {

const std::string key = "key-of-the-parish";

/// Waits for at most 30 s, far longer than anything here takes.
bool wait_until(const std::function<bool()>& condition) {
    const auto give_up = steady_clock::now() + seconds{30};
    while (steady_clock::now() < give_up) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds{50});
    }
    return false;
}

/// The stand-ins and two edge processes.
class edge_fleet {
public:
    explicit edge_fleet(const std::string& scenario)
        : logs_(std::string{MG_EDGE_LOGS} + "/" + scenario) {
        std::filesystem::create_directories(logs_);
        world.configure({key});
        for (int i = 0; i < 2; ++i) {
            start();
        }
        for (const auto port : ports) {
            REQUIRE(wait_until([&] { return serves(port); }));
        }
    }

    [[nodiscard]] bool serves(unsigned short port) const {
        try {
            line_client client{port};
            return client.start("db-primary", key).rfind("READY", 0) == 0 &&
                   is_done(client.query("probe", "READ x"));
        } catch (const boost::system::system_error&) {
            return false;
        }
    }

    platform_world world;
    std::vector<unsigned short> ports;
    std::deque<process_test::child_process> processes;

private:
    void start() {
        const auto name = "host-" + std::to_string(ports.size());
        const auto port = free_port();
        const auto path = logs_ + "/" + name + ".conf";
        std::ofstream settings{path};
        settings << "node=" << name << "\nzone=north\nip=127.0.0.1\n"
                 << "listen-addrs.front=127.0.0.1:" << port << "\n"
                 << "listen-addrs.readiness=127.0.0.1:" << free_port() << "\n"
                 << "internal-ports=" << free_port() << ",65535\n"
                 << "platform.address=" << world.store_address() << "\n"
                 << "cloud.address=" << world.store_address() << "\n"
                 << "limits.max-fds=4300\nbounds.grace-s=6\n";
        settings.close();
        processes.emplace_back(MG_EDGE, std::vector<std::string>{"--settings", path},
                               logs_ + "/" + name + ".log");
        ports.push_back(port);
    }

    std::string logs_;
};

}  // namespace

TEST_CASE("calm_path: statements, transactions, values and prepared statements") {
    edge_fleet fleet{"calm_path"};
    line_client client{fleet.ports[0]};
    REQUIRE(client.start("db-read_own", key) == "READY I -");
    CHECK(is_done(client.query("w1", "WRITE pole-1 reserved")));
    const auto answer = client.query("r1", "READ pole-1");
    REQUIRE(answer.size() == 3);
    CHECK(answer[0] == "DATAROW reserved");
    CHECK(answer[1] == "COMPLETE signature-r1");
    CHECK(answer[2] == "READY I -");
    CHECK(is_done(client.query("s1", "SET zone north")));
    CHECK(is_done(client.query("p1", "PREPARE s WRITE q2c")));
    CHECK(is_done(client.query("e1", "EXECUTE s pole-2 free")));
    CHECK(client.query("b1", "BEGIN").back() == "READY T -");
    CHECK(is_done(client.query("w2", "WRITE pole-3 reserved")));
    const auto committed = client.query("c1", "COMMIT");
    CHECK(is_done(committed));
    CHECK(committed.back() == "READY I -");
    for (const auto* id : {"w1", "e1", "w2", "c1"}) {
        CHECK(fleet.world.runs_of(id) == 1);
    }
}

// Guards against a session that misses a write which was made through another host.
TEST_CASE("write_seen_through_another_host: current data is current on every host") {
    edge_fleet fleet{"write_seen_through_another_host"};
    line_client writer{fleet.ports[0]};
    line_client reader{fleet.ports[1]};
    REQUIRE(writer.start("db-primary", key) == "READY I -");
    REQUIRE(reader.start("db-primary", key) == "READY I -");
    for (int i = 0; i < 20; ++i) {
        const auto value = std::to_string(i);
        REQUIRE(is_done(writer.query("w" + value, "WRITE pole " + value)));
        CHECK(reader.query("r" + value, "READ pole").front() == "DATAROW " + value);
    }
}

// Guards against a group that stays without a primary, a lost commit, and a second promotion after
// a lost answer of the store.
TEST_CASE("primary_killed: another instance takes over with every acknowledged commit") {
    edge_fleet fleet{"primary_killed"};
    line_client client{fleet.ports[0]};
    REQUIRE(client.start("db-primary", key) == "READY I -");
    REQUIRE(is_done(client.query("w1", "WRITE pole reserved")));
    const auto log_before = fleet.world.longest_log();
    fleet.world.lose_next_commit_answer();
    fleet.world.kill_instance(fleet.world.primary());
    int attempt = 0;
    CHECK(wait_until([&] {
        line_client retry{fleet.ports[attempt % 2]};
        const auto id = "again-" + std::to_string(++attempt);
        return retry.start("db-primary", key) == "READY I -" &&
               is_done(retry.query(id, "WRITE pole taken"));
    }));
    CHECK(fleet.world.promotions() == 1);
    CHECK(fleet.world.longest_log() > log_before);
    line_client reader{fleet.ports[1]};
    REQUIRE(reader.start("db-primary", key) == "READY I -");
    CHECK(reader.query("r1", "READ pole").front() == "DATAROW taken");
}

namespace {

/// An instance's entry with one field replaced.
std::string entry_with(const std::string& field, const std::string& value) {
    std::map<std::string, std::string> fields{{"service", "\"ledger\""},
                                              {"address", "\"127.0.0.1:1\""},
                                              {"zone", "\"north\""},
                                              {"version", "\"v1\""},
                                              {"slots", "3"},
                                              {"state", "\"ready\""},
                                              {"warmup-left-ms", "0"},
                                              {"db-role", "\"replica\""},
                                              {"sequence", "1"},
                                              {"born", "1"}};
    fields[field] = value;
    std::string result;
    for (const auto& [name, text] : fields) {
        result.append(result.empty() ? "{\"" : ",\"").append(name).append("\":").append(text);
    }
    result.append("}");
    return result;
}

}  // namespace

// Guards against processes that end, or stop following the list of instances, because of one entry
// of another writer; such an entry must not count as an instance either, since a replica that does
// not answer delays the replacement of a primary.
TEST_CASE("odd_entries: unusable entries among the instances are ignored") {
    edge_fleet fleet{"odd_entries"};
    constexpr std::size_t depth = 10000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    const std::vector<std::string> entries{
        nested,
        entry_with("born", nested),
        entry_with("extra", nested),
        entry_with("slots", "1e999"),
        entry_with("sequence", "18446744073709551616"),
        entry_with("born", "99999999999999999999999999"),
        entry_with("warmup-left-ms", "1e308"),
        entry_with("slots", "-1"),
        entry_with("address", "\"127.0.0.1:0\""),
        entry_with("address", "\"127.0.0.1:65536\""),
        entry_with("address", "\"127.0.0.1:99999999999999999999\""),
        entry_with("address", "\"127.0.0.1:-1\""),
        entry_with("address", "{\"port\":1}"),
        entry_with("zone", "\"\xff\xfe\""),
        std::string{"\x00\xff\x80{", 4},
        ""};
    for (std::size_t i = 0; i < entries.size(); ++i) {
        fleet.world.put_entry("i-odd-" + std::to_string(i), entries[i]);
    }
    fleet.world.put_entry("i-\r\nQUERY", entry_with("slots", "3"));
    std::this_thread::sleep_for(seconds{3});
    for (const auto port : fleet.ports) {
        CHECK(fleet.serves(port));
    }
    fleet.world.kill_instance(fleet.world.primary());
    int attempt = 0;
    CHECK(wait_until([&] {
        line_client retry{fleet.ports[attempt % 2]};
        const auto id = "after-" + std::to_string(++attempt);
        return retry.start("db-primary", key) == "READY I -" &&
               is_done(retry.query(id, "WRITE pole taken"));
    }));
    CHECK(fleet.world.promotions() == 1);
    for (const auto port : fleet.ports) {
        CHECK(wait_until([&] { return fleet.serves(port); }));
    }
}

// Guards against a withdrawn key that works on an open connection.
TEST_CASE("key_revoked: an open session is refused, and so is a new one") {
    edge_fleet fleet{"key_revoked"};
    line_client client{fleet.ports[0]};
    REQUIRE(client.start("db-primary", key) == "READY I -");
    REQUIRE(is_done(client.query("w0", "WRITE pole 0")));
    fleet.world.configure({"another-key"});
    int statements = 0;
    std::vector<std::string> answer;
    CHECK(wait_until([&] {
        answer = client.query("w" + std::to_string(++statements), "WRITE pole again");
        return !is_done(answer);
    }));
    REQUIRE_FALSE(answer.empty());
    CHECK(answer.front().rfind("ERROR UNAUTH", 0) == 0);
    CHECK(fleet.world.runs_of("w" + std::to_string(statements)) == 0);
    line_client late{fleet.ports[0]};
    CHECK(late.start("db-primary", key).rfind("ERROR UNAUTH", 0) == 0);
    line_client other{fleet.ports[0]};
    CHECK(other.start("db-primary", "another-key") == "READY I -");
}

// A key withdrawn while the store was restored from a copy remained in use: the new configuration
// row had the version of the one that was lost.
TEST_CASE("store_restored: a key withdrawn during a restore of the store is refused") {
    edge_fleet fleet{"store_restored"};
    fleet.world.copy_store();
    fleet.world.configure({key, "another-key"});
    for (const auto port : fleet.ports) {
        CHECK(wait_until([&] {
            line_client other{port};
            return other.start("db-primary", "another-key") == "READY I -";
        }));
    }
    fleet.world.restore_store({"another-key"});
    for (const auto port : fleet.ports) {
        CHECK(wait_until([&] {
            line_client late{port};
            return late.start("db-primary", key).rfind("ERROR UNAUTH", 0) == 0;
        }));
        line_client other{port};
        CHECK(other.start("db-primary", "another-key") == "READY I -");
    }
}

// Guards against a planned stop that cuts a statement.
TEST_CASE("planned_stop: no statement is cut, and the process ends by itself") {
    edge_fleet fleet{"planned_stop"};
    line_client client{fleet.ports[0]};
    REQUIRE(client.start("db-primary", key) == "READY I -");
    REQUIRE(is_done(client.query("b", "BEGIN")));
    REQUIRE(is_done(client.query("w", "WRITE pole 1")));
    fleet.processes[0].signal(SIGTERM);
    REQUIRE(is_done(client.query("c", "COMMIT")));
    int done = 0;
    for (;;) {
        const auto answer = client.query("r" + std::to_string(done), "READ pole");
        if (answer.empty()) {
            break;
        }
        CHECK(is_done(answer));
        ++done;
        std::this_thread::sleep_for(milliseconds{20});
    }
    CHECK(done > 0);
    CHECK(fleet.processes[0].wait() == 0);
    CHECK(fleet.serves(fleet.ports[1]));
}

// A host that was about to end took new sessions and passed their statements on, and ended before
// it had the answers.
TEST_CASE("planned_stop_arrivals: sessions that arrive until the end are answered or refused") {
    edge_fleet fleet{"planned_stop_arrivals"};
    fleet.world.set_work(milliseconds{30});
    const auto port = fleet.ports[0];
    std::mutex mutex;
    std::vector<std::string> not_run;
    std::vector<std::string> unanswered;
    std::atomic<unsigned> answered{0};
    const auto call_until_refused = [&](const std::string& name) {
        for (unsigned sent = 0;; ++sent) {
            const auto id = name + "-" + std::to_string(sent);
            try {
                line_client client{port};
                if (client.start("db-read_own", key).rfind("READY", 0) != 0) {
                    continue;
                }
                const auto answer = client.query(id, "READ pole");
                if (!answer.empty() && answer.back().rfind("READY", 0) == 0) {
                    ++answered;
                    if (answer.front().rfind("ERROR BUSY", 0) == 0) {
                        const std::lock_guard lock{mutex};
                        not_run.push_back(id);
                    }
                    continue;
                }
            } catch (const boost::system::system_error&) {
                return;
            }
            const std::lock_guard lock{mutex};
            unanswered.push_back(id);
        }
    };
    {
        std::vector<std::jthread> callers;
        for (const auto* name : {"a", "b", "c", "d", "e", "f"}) {
            callers.emplace_back(call_until_refused, name);
        }
        std::this_thread::sleep_for(milliseconds{500});
        fleet.processes[0].signal(SIGTERM);
    }
    CHECK(fleet.processes[0].wait() == 0);
    CHECK(answered > 0);
    for (const auto* ids : {&unanswered, &not_run}) {
        for (const auto& id : *ids) {
            CAPTURE(id);
            CHECK(fleet.world.runs_of(id) == 0);
        }
    }
}

// Callers got the answers to other callers' statements, and transactions contained them.
TEST_CASE("answers_sent_twice: callers get their own answers, and transactions stay apart") {
    edge_fleet fleet{"answers_sent_twice"};
    fleet.world.repeat_answers();
    const std::vector<std::string> names{"anna", "bertil", "cecilia", "david"};
    std::deque<line_client> clients;
    for (std::size_t i = 0; i < names.size(); ++i) {
        auto& client = clients.emplace_back(fleet.ports[i % fleet.ports.size()]);
        REQUIRE(client.start(i < 2 ? "db-primary" : "db-read_own", key) == "READY I -");
    }
    std::size_t sent = 0;
    bool is_mixed = false;
    const auto run = [&](std::size_t caller, const std::string& text, const std::string& state,
                         const std::string& row = "") {
        const auto id = names[caller] + "-" + std::to_string(++sent);
        const bool has_signature = text != "BEGIN" && text != "ROLLBACK";
        const auto expected = (row.empty() ? "" : "DATAROW " + row + "|") + "COMPLETE " +
                              (has_signature ? "signature-" + id : "-") + "|READY " + state + " -|";
        std::string received;
        for (const auto& line : clients[caller].query(id, text)) {
            received += line + "|";
        }
        CAPTURE(text);
        CHECK(received == expected);
        is_mixed = is_mixed || received != expected;
        if (has_signature && row.empty()) {
            CHECK(fleet.world.runs_of(id) == 1);
        }
    };
    for (int round = 0; round < 10 && !is_mixed; ++round) {
        const auto value = std::to_string(round);
        run(0, "BEGIN", "T");
        run(0, "WRITE pole-0 " + value, "T");
        run(2, "WRITE pole-2 " + value, "I");
        run(1, "BEGIN", "T");
        run(3, "WRITE pole-3 " + value, "I");
        run(1, "WRITE pole-1 " + value, "T");
        run(2, "READ pole-2", "I", value);
        run(0, "COMMIT", "I");
        run(3, "READ pole-3", "I", value);
        run(1, round % 2 == 0 ? "COMMIT" : "ROLLBACK", "I");
        run(0, "READ pole-0", "I", value);
    }
    const auto caller_of = [](const std::string& id) { return id.substr(0, id.find('-')); };
    const auto transactions = fleet.world.transactions();
    CHECK_FALSE(transactions.empty());
    for (const auto& transaction : transactions) {
        for (const auto& id : transaction) {
            CAPTURE(id);
            CHECK(caller_of(id) == caller_of(transaction.front()));
        }
    }
}

// Guards against input that takes other sessions with it.
TEST_CASE("unreadable_input: one error, and the others are served") {
    edge_fleet fleet{"unreadable_input"};
    line_client other{fleet.ports[0]};
    REQUIRE(other.start("db-primary", key) == "READY I -");
    for (const std::string bytes :
         {"GET / HTTP/1.1\r\n\r\n", "QUERY a READ x\r\n", "START db-primary\r\n", "\r\n",
          "START db-primary bad\x01key\r\n"}) {
        CAPTURE(bytes);
        line_client client{fleet.ports[0]};
        client.send(bytes);
        CHECK(client.read_line().rfind("ERROR", 0) == 0);
        CHECK(client.read_line().empty());
    }
    line_client flood{fleet.ports[0]};
    REQUIRE(flood.start("db-primary", key) == "READY I -");
    flood.send(std::string((std::size_t{1} << 20U) + 10, 'x'));
    CHECK(flood.read_line().rfind("ERROR TOOLARGE", 0) == 0);
    line_client status{fleet.ports[0]};
    REQUIRE(status.start("db-primary", key) == "READY I -");
    CHECK(status.query("a", "STEPDOWN 99").front().rfind("ERROR MALFORMED", 0) == 0);
    line_client smuggler{fleet.ports[0]};
    REQUIRE(smuggler.start("db-primary", key) == "READY I -");
    smuggler.send("QUERY b1 WRITE x a\nQUERY b2 WRITE x b\r\nQUERY b3 WRITE x c\r\n");
    CHECK(smuggler.read_line().rfind("ERROR MALFORMED", 0) == 0);
    line_client leaver{fleet.ports[0]};
    REQUIRE(leaver.start("db-primary", key) == "READY I -");
    leaver.send("BYE\r\nQUERY b4 WRITE x d\r\n");
    CHECK(leaver.read_line().empty());
    CHECK(is_done(other.query("r", "READ x")));
    for (const auto* id : {"b1", "b2", "b3", "b4"}) {
        CHECK(fleet.world.runs_of(id) == 0);
    }
}
