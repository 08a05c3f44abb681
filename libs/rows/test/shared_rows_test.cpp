#include "masticgrade/rows/shared_rows.hpp"

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
        result.rows.front().value += suffix;
        result.era = era;
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
    /// Appended to the rows' values.
    std::string suffix;
    store_era era{1};
};

/// A reader, with the answers that the queried hosts give, in order.
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
    bool reads_store = true;
    std::deque<std::optional<row_reply>> answers;
    std::vector<row_query> queries;
    shared_rows rows{store,
                     [this] {
                         return row_access{relays, reads_store};
                     },
                     [this](host_id /*host*/, row_query query,
                            time_point /*deadline*/) -> asio::awaitable<std::optional<row_reply>> {
                         queries.push_back(query);
                         auto answer = std::move(answers.front());
                         answers.pop_front();
                         co_return answer;
                     }};

private:
    asio::io_context context_;
};

row_reply reply_at(std::uint64_t version, milliseconds age) {
    return {true, digest_rows(rows_at(version)), age, rows_at(version)};
}

}  // namespace

// Two store reads per second from every host of a large fleet cost a fifth of a calm day's score on
// the grown lsf-lager site.
TEST_CASE("a host does not read the store while a relay answers") {
    reader host;
    host.answers.push_back(reply_at(7, milliseconds{400}));
    const auto before = boot_clock::now();
    const auto snapshot = host.read();
    REQUIRE(snapshot);
    CHECK(snapshot->rows.front().version == fleet_version{7});
    CHECK(snapshot->read_at >= before - milliseconds{400});
    CHECK(snapshot->read_at <= boot_clock::now() - milliseconds{400});
    CHECK(host.store.reads == 0);
}

// The read time of relayed rows must not be later than the relay's own read of the store.
TEST_CASE("outdated rows of a relay are rejected, then the next relay and the store are read") {
    reader host;
    host.store.version = 9;
    host.answers.push_back(reply_at(7, milliseconds{1500}));
    host.answers.push_back(std::nullopt);
    const auto snapshot = host.read();
    REQUIRE(snapshot);
    CHECK(snapshot->rows.front().version == fleet_version{9});
    CHECK(host.store.reads == 1);
    CHECK(host.queries.size() == 2);
    host.store.is_down = true;
    host.answers.push_back(std::nullopt);
    host.answers.push_back(row_reply{});
    CHECK_FALSE(host.read());
}

// Guards against resending all rows with every answer, and against mistaking an answer without rows
// for the removal of all rows.
TEST_CASE("unchanged rows are not resent") {
    reader relay;
    relay.relays.clear();
    REQUIRE(relay.read());
    const auto now = boot_clock::now();
    const auto first = relay.rows.answer({prefix, 0}, now);
    CHECK(first.known);
    CHECK(first.rows.size() == 1);
    const auto second = relay.rows.answer({prefix, first.digest}, now);
    CHECK(second.rows.empty());
    CHECK_FALSE(relay.rows.answer({"servers/", 0}, now).known);

    reader member;
    member.answers.push_back(first);
    REQUIRE(member.read());
    member.answers.push_back(second);
    const auto again = member.read();
    REQUIRE(again);
    CHECK(member.queries.back().digest == first.digest);
    CHECK(again->rows.size() == 1);
    // The answer omits the rows although their digest is unknown to the reader.
    member.answers.push_back(row_reply{true, first.digest + 1, milliseconds{1}, {}});
    member.answers.push_back(std::nullopt);
    REQUIRE(member.read());
    CHECK(member.store.reads == 1);
}

// While the store is down, each call costs as much as a successful one; with 295 hosts, a read by
// every host would be thousands of calls a second.
TEST_CASE("a host that leaves the reading to others seldom tries the store itself") {
    reader host;
    host.reads_store = false;
    host.store.is_down = true;
    for (int i = 0; i < 5; ++i) {
        host.answers.push_back(row_reply{});
        host.answers.push_back(row_reply{});
        CHECK_FALSE(host.read());
    }
    CHECK(host.store.reads == 1);
    // The other hosts ask on.
    CHECK(host.queries.size() == 10);
    host.answers.push_back(reply_at(7, milliseconds{400}));
    CHECK(host.read());
}

// The hosts behind a reader whose calls fail would otherwise wait until its rows are too old.
TEST_CASE("a host whose read has failed answers that it has no rows") {
    reader relay;
    relay.relays.clear();
    REQUIRE(relay.read());
    CHECK(relay.rows.answer({prefix, 0}, boot_clock::now()).known);
    relay.store.is_down = true;
    CHECK_FALSE(relay.read());
    CHECK_FALSE(relay.rows.answer({prefix, 0}, boot_clock::now()).known);
    relay.store.is_down = false;
    REQUIRE(relay.read());
    CHECK(relay.rows.answer({prefix, 0}, boot_clock::now()).known);
}

// A withdrawn key remained in use: the store was restored from a copy, and the rows written
// afterwards had the versions of the rows that were lost.
TEST_CASE("rows whose version was assigned again after a restore count as changed") {
    reader relay;
    relay.relays.clear();
    REQUIRE(relay.read());
    const auto before = relay.rows.answer({prefix, 0}, boot_clock::now());
    relay.store.suffix = " written again";
    relay.store.era = store_era{2};
    const auto read = relay.read();
    REQUIRE(read);
    CHECK(read->digest != before.digest);
    CHECK(read->era == store_era{2});

    const auto after = relay.rows.answer({prefix, before.digest}, boot_clock::now());
    REQUIRE(after.rows.size() == 1);
    reader member;
    member.answers.push_back(before);
    REQUIRE(member.read());
    member.answers.push_back(after);
    const auto relayed = member.read();
    REQUIRE(relayed);
    CHECK(relayed->rows.front().value == relay.store.suffix.insert(0, "value 1"));
    CHECK(relayed->era == store_era{2});
    CHECK(member.store.reads == 0);
}

// A host believed that it was registered until another host's list, up to 15 s old, showed that a
// restore of the store had lost its row.
TEST_CASE("rows that another host has read before a restore of the store are rejected") {
    reader host;
    host.relays.resize(1);
    auto reply = reply_at(7, milliseconds{1});
    reply.era = store_era{1};
    host.answers.push_back(reply);
    REQUIRE(host.read());
    host.store.era = store_era{2};
    host.answers.push_back(std::nullopt);
    REQUIRE(host.read());
    CHECK(host.rows.newest_era() == store_era{2});
    CHECK(host.store.reads == 1);
    host.answers.push_back(reply);
    const auto snapshot = host.read();
    REQUIRE(snapshot);
    CHECK(snapshot->era == store_era{2});
    CHECK(host.store.reads == 2);
}

namespace {

/// Rows whose compressed form takes several pieces.
std::vector<table_row> large_rows() {
    std::string value;
    std::uint64_t state = 1;
    while (value.size() < 10 * row_source::piece_bytes) {
        state = state * 6364136223846793005U + 1442695040888963407U;
        value += static_cast<char>(state >> 56U);
    }
    return {{prefix + "config", fleet_version{1}, value}};
}

}  // namespace

// A configuration of some hundred kilobytes did not arrive within the time limit of an answer over
// a link of 10 Mbit/s, and was requested again and again until the links were full.
TEST_CASE("a transfer that takes longer than one read goes on with the next one") {
    row_source relay;
    row_snapshot large{large_rows(), 0, boot_clock::now(), store_era{1}};
    large.digest = digest_rows(large.rows);
    relay.update(large);
    reader host;
    host.reads_store = false;
    host.relays.resize(1);
    std::optional<row_snapshot> result;
    unsigned reads = 0;
    while (!result) {
        REQUIRE(++reads < 10);
        // Each read gets three pieces; then the host does not answer in time.
        transfer_progress progress =
            host.queries.empty() ? transfer_progress{} : host.queries.back().progress;
        for (int i = 0; i < 3; ++i) {
            const auto reply = relay.answer({prefix, 0, true, progress}, boot_clock::now());
            progress = {reply.piece->frame, static_cast<std::uint32_t>(reply.piece->offset +
                                                                       reply.piece->bytes.size())};
            host.answers.push_back(reply);
            if (progress.received == reply.piece->frame_size) {
                break;
            }
        }
        host.answers.push_back(std::nullopt);
        result = host.read();
        host.answers.clear();
    }
    CHECK(result->digest == large.digest);
    CHECK(reads > 2);
    // A host that gets the rows slowly doesn't read them from the store over the same link.
    CHECK(host.store.reads == 0);
}

namespace {

/// Answers of a source that has the rows, for a host that has received `progress`.
std::deque<std::optional<row_reply>> answers_from(row_source& source, transfer_progress progress,
                                                  std::size_t count) {
    std::deque<std::optional<row_reply>> result;
    while (result.size() < count) {
        auto reply = source.answer({prefix, 0, true, progress}, boot_clock::now());
        progress = {reply.piece->frame,
                    static_cast<std::uint32_t>(reply.piece->offset + reply.piece->bytes.size())};
        const bool is_last = progress.received == reply.piece->frame_size;
        result.emplace_back(std::move(reply));
        if (is_last) {
            break;
        }
    }
    return result;
}

row_source source_of_large_rows() {
    row_snapshot large{large_rows(), 0, boot_clock::now(), store_era{1}};
    large.digest = digest_rows(large.rows);
    row_source result;
    result.update(large);
    return result;
}

}  // namespace

TEST_CASE("the next host continues a transfer whose first source has died") {
    auto first = source_of_large_rows();
    auto second = source_of_large_rows();
    reader host;
    host.reads_store = false;
    host.answers = answers_from(first, {}, 3);
    const auto progress = transfer_progress{
        host.answers.back()->piece->frame,
        static_cast<std::uint32_t>(host.answers.size() * row_source::piece_bytes)};
    host.answers.emplace_back(std::nullopt);
    for (auto& answer : answers_from(second, progress, 100)) {
        host.answers.push_back(std::move(answer));
    }
    const auto result = host.read();
    REQUIRE(result);
    CHECK(result->digest == second.current().digest);
    CHECK(host.store.reads == 0);
}

// Guards against a host that requests a frame which it cannot decode until its time is up, and
// never asks anyone else.
TEST_CASE("a damaged frame leads to the next source") {
    auto source = source_of_large_rows();
    reader host;
    host.relays.resize(1);
    host.answers = answers_from(source, {}, 100);
    host.answers[2]->piece->bytes[100] ^= 0x55;
    const auto pieces = host.answers.size();
    const auto result = host.read();
    REQUIRE(result);
    CHECK(host.queries.size() == pieces);
    CHECK(host.store.reads == 1);
}

// Guards against hosts at different versions that discard each other's pieces.
TEST_CASE("another version from the next host does not discard the transfer") {
    auto source = source_of_large_rows();
    row_source outdated;
    auto old_rows = large_rows();
    old_rows.front().value[0] ^= 1;
    row_snapshot old{old_rows, digest_rows(old_rows), boot_clock::now(), store_era{1}};
    outdated.update(old);
    reader host;
    host.reads_store = false;
    host.answers = answers_from(source, {}, 3);
    const auto progress = transfer_progress{
        host.answers.back()->piece->frame,
        static_cast<std::uint32_t>(host.answers.size() * row_source::piece_bytes)};
    host.answers.emplace_back(std::nullopt);
    host.answers.push_back(answers_from(outdated, {}, 1).front());
    CHECK_FALSE(host.read());
    host.answers = answers_from(source, progress, 100);
    const auto result = host.read();
    REQUIRE(result);
    CHECK(result->digest == source.current().digest);
}
