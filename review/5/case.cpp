// The operator moves a key to another tenant while its caller has a transaction open.
#include <cstdlib>
#include <iostream>

#include "../standins/client.hpp"
#include "../standins/database.hpp"
#include "../standins/fleet.hpp"
#include "../standins/platform.hpp"

using namespace review;

namespace {

constexpr milliseconds ready_limit{20000};
/// `config-apply-ms` of the deployment: within it, either version may apply.
constexpr milliseconds apply_limit{3000};
/// Far less than the 3 s after which an idle transaction may be terminated.
constexpr milliseconds statement_interval{500};
constexpr unsigned statements_after_the_limit = 6;

int run_case(const std::string& program, const std::string& record, bool trouble) {
    ledger notes{record};
    database instances{notes, {}};
    platform world{notes, {&instances}};
    world.configure({{"parish", {"key-moved", "key-parish"}}, {"harbour", {"key-harbour"}}});
    fleet hosts{notes, program, world.port()};
    hosts.add_deployment();
    const std::size_t host = hosts.size() - 1;
    client caller{notes, "caller", "parish"};
    const bool serves = wait_until(ready_limit, [&] {
        return hosts.is_ready(host) && caller.start(hosts.port(host), "db-primary", "key-moved") &&
               caller.query("READ pole-0").done();
    });
    if (!serves || !caller.query("BEGIN").done() || !caller.query("WRITE pole-1 first").done()) {
        return 2;
    }
    if (trouble) {
        world.configure({{"parish", {"key-parish"}}, {"harbour", {"key-harbour", "key-moved"}}});
    }
    const auto acknowledged_at = steady::now();
    while (steady::now() < acknowledged_at + apply_limit + statement_interval) {
        pause(statement_interval);
        caller.query("READ pole-1");
    }
    if (trouble) {
        notes.write("from here on the key is that of harbour");
        notes.add_client("caller", "harbour");
    }
    for (unsigned i = 0; i < statements_after_the_limit; ++i) {
        caller.query("READ pole-1");
        pause(statement_interval);
    }
    caller.query("WRITE pole-2 second");
    const auto committed = caller.query("COMMIT");
    std::cout << "COMMIT: " << committed.code << '\n';
    notes.check_log("ledger", instances.logged_writes());
    std::cout << notes.violations() << " violations\n";
    return notes.violations() > 0 ? 1 : 0;
}

}  // namespace

int main(int count, char** arguments) {
    if (count != 3) {
        std::cerr << "case PROGRAM RECORD\n";
        return 2;
    }
    const char* trouble = std::getenv("TROUBLE");
    try {
        return run_case(arguments[1], arguments[2],
                        trouble == nullptr || std::string{trouble} != "0");
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n';
        return 2;
    }
}
