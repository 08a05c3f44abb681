#include "shared_rows.hpp"

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <utility>

#include "masticgrade/base/error.hpp"

using namespace masticgrade;
namespace asio = boost::asio;

namespace {

const std::string prefix = "op/";

std::vector<table_row> rows_at(std::uint64_t version) {
    return {{prefix + "config", fleet_version{version}, "value " + std::to_string(version)}};
}

/// A store that counts its reads.
class counting_store final : public table_service {
public:
    asio::awaitable<scan_result> scan(std::string /*prefix*/, fleet_version /*modified_after*/,
                                      time_point /*deadline*/) override {
        ++reads;
        if (is_down) {
            throw error("read rows", "store", "down");
        }
        scan_result result;
        result.rows = rows_at(version);
        co_return result;
    }
    asio::awaitable<commit_result> commit(table_commit /*change*/,
                                          time_point /*deadline*/) override {
        co_return commit_result{};
    }
    asio::awaitable<std::vector<platform_host>> list_hosts(time_point /*deadline*/) override {
        co_return std::vector<platform_host>{};
    }

    int reads = 0;
    bool is_down = false;
    std::uint64_t version = 1;
};

/// One reader and the answers that the hosts it asks give, in order.
class reader {
public:
    std::optional<row_snapshot> read(milliseconds max_age = milliseconds{1000}) {
        std::optional<row_snapshot> result;
        asio::co_spawn(
            context_,
            [&]() -> asio::awaitable<void> {
                try {
                    auto name = prefix;
                    result = co_await rows.read(std::move(name), max_age,
                                                steady_clock::now() + seconds{1});
                } catch (const error&) {
                    result.reset();
                }
            },
            asio::detached);
        context_.restart();
        context_.run();
        return result;
    }

    counting_store store;
    std::vector<host_id> relays{host_id{"relay-1"}, host_id{"relay-2"}};
    std::deque<std::optional<row_reply>> answers;
    std::vector<row_query> questions;
    shared_rows rows{store, [this] { return relays; },
                     [this](host_id /*host*/, row_query question,
                            time_point /*deadline*/) -> asio::awaitable<std::optional<row_reply>> {
                         questions.push_back(question);
                         auto answer = std::move(answers.front());
                         answers.pop_front();
                         co_return answer;
                     }};

private:
    asio::io_context context_;
};

row_reply told_at(std::uint64_t version, milliseconds age) {
    return {true, digest_rows(rows_at(version)), age, rows_at(version)};
}

}  // namespace

// Guards against two reads of the store a second from every host of a large fleet (grown lsf-lager:
// a fifth of the calm day's worth).
TEST_CASE("a host that has relays to ask does not call the store") {
    reader host;
    host.answers.push_back(told_at(7, milliseconds{400}));
    const auto before = boot_clock::now();
    const auto reading = host.read();
    REQUIRE(reading);
    CHECK(reading->rows.front().version == fleet_version{7});
    CHECK(reading->read_at >= before - milliseconds{400});
    CHECK(reading->read_at <= boot_clock::now() - milliseconds{400});
    CHECK(host.store.reads == 0);
}

// Guards against a proof of currency that is younger than the relay's own reading.
TEST_CASE("a relay's old reading is not taken, the next relay and then the store are asked") {
    reader host;
    host.store.version = 9;
    host.answers.push_back(told_at(7, milliseconds{1500}));
    host.answers.push_back(std::nullopt);
    const auto reading = host.read();
    REQUIRE(reading);
    CHECK(reading->rows.front().version == fleet_version{9});
    CHECK(host.store.reads == 1);
    CHECK(host.questions.size() == 2);
    host.store.is_down = true;
    host.answers.push_back(std::nullopt);
    host.answers.push_back(row_reply{});
    CHECK_FALSE(host.read());
}

// Guards against rows that are sent again with every question, and against an empty answer that is
// taken for rows that were removed.
TEST_CASE("unchanged rows are not sent again") {
    reader relay;
    relay.relays.clear();
    REQUIRE(relay.read());
    const auto now = boot_clock::now();
    const auto first = relay.rows.tell({prefix, 0}, now);
    CHECK(first.known);
    CHECK(first.rows.size() == 1);
    const auto second = relay.rows.tell({prefix, first.digest}, now);
    CHECK(second.rows.empty());
    CHECK_FALSE(relay.rows.tell({"servers/", 0}, now).known);

    reader member;
    member.answers.push_back(first);
    REQUIRE(member.read());
    member.answers.push_back(second);
    const auto again = member.read();
    REQUIRE(again);
    CHECK(member.questions.back().digest == first.digest);
    CHECK(again->rows.size() == 1);
    // An answer without the rows that it names.
    member.answers.push_back(row_reply{true, first.digest + 1, milliseconds{1}, {}});
    member.answers.push_back(std::nullopt);
    REQUIRE(member.read());
    CHECK(member.store.reads == 1);
}
