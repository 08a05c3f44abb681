#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

#include "masticgrade/base/error.hpp"
#include "masticgrade/rows/row_download.hpp"
#include "masticgrade/rows/row_source.hpp"

using namespace masticgrade;

namespace {

const std::string prefix = "op/";

/// A configuration in one row, with routes whose names cannot be compressed.
std::vector<table_row> configuration(unsigned routes, std::uint64_t version) {
    std::mt19937 random{routes == 0 ? 0U : 7U};
    std::string value = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (unsigned i = 0; i < routes; ++i) {
        value += "{\"name\":\"" + std::to_string(random()) + "\",\"database\":\"" +
                 std::to_string(random()) +
                 "\",\"type\":\"read_own\",\"service\":\"ledger\",\"timeout-ms\":2000,"
                 "\"target-latency-ms\":250,\"max-staleness-ms\":2500,\"priority\":1},";
    }
    return {{prefix + "config", fleet_version{version}, value + "]}"}};
}

row_snapshot snapshot_of(std::vector<table_row> rows, boot_time read_at = boot_time{seconds{100}}) {
    row_snapshot result{std::move(rows), 0, read_at, store_era{1}};
    result.digest = digest_rows(result.rows);
    return result;
}

/// A host that asks sources for rows, without a network.
class asking_host {
public:
    /// Asks for one piece. Returns the bytes that it holds.
    std::size_t ask(row_source& source) {
        const auto reply =
            source.answer({prefix, digest(), true, download.progress()}, boot_time{seconds{101}});
        if (!reply.piece) {
            return 0;
        }
        const auto size = reply.piece->bytes.size();
        largest_piece = std::max(largest_piece, size);
        download.add(*reply.piece);
        ++asked;
        received += size;
        if (download.is_complete()) {
            rows = download.take(rows);
            CHECK(digest() == reply.digest);
        }
        return size;
    }
    void fetch(row_source& source) {
        while (ask(source) > 0) {
        }
    }
    [[nodiscard]] std::uint64_t digest() const { return rows.empty() ? 0 : digest_rows(rows); }

    row_download download;
    std::vector<table_row> rows;
    std::size_t asked = 0;
    std::size_t received = 0;
    std::size_t largest_piece = 0;
};

}  // namespace

// Guards against a change of one route that sends some hundred kilobytes to every host.
TEST_CASE("a small change of a large configuration travels in one piece") {
    row_source source;
    asking_host host;
    source.update(snapshot_of(configuration(1600, 1)));
    host.fetch(source);
    CHECK(host.largest_piece <= row_source::piece_bytes);
    CHECK(host.received < source.current().rows.front().value.size() / 4);
    host.received = 0;
    host.asked = 0;
    source.update(snapshot_of(configuration(1600, 2)));
    host.fetch(source);
    CHECK(host.asked == 1);
    CHECK(host.received < 200);
    CHECK(host.digest() == source.current().digest);
}

// Guards against a transfer that starts over whenever its source fails or its time is up.
TEST_CASE("a transfer continues at another source where it stopped") {
    row_source first;
    row_source second;
    first.update(snapshot_of(configuration(1600, 1)));
    second.update(snapshot_of(configuration(1600, 1)));
    asking_host host;
    host.ask(first);
    host.ask(first);
    const auto before = host.download.progress().received;
    host.fetch(second);
    CHECK(host.digest() == second.current().digest);
    CHECK(before == 2 * row_source::piece_bytes);
    asking_host undisturbed;
    undisturbed.fetch(first);
    CHECK(host.received == undisturbed.received);
}

// Guards against a slow host that never has a whole configuration while changes come in a row.
TEST_CASE("a change during a transfer does not restart it") {
    row_source source;
    source.update(snapshot_of(configuration(1600, 1)));
    asking_host host;
    std::uint64_t version = 1;
    while (host.rows.empty()) {
        host.ask(source);
        source.update(snapshot_of(configuration(1600, ++version)));
        REQUIRE(version < 30);
    }
    host.fetch(source);
    CHECK(host.digest() == source.current().digest);
}

TEST_CASE("a transfer of older rows counts with the time at which these were current") {
    row_source source;
    source.update(snapshot_of(configuration(400, 1), boot_time{seconds{100}}));
    const auto first = source.answer({prefix, 0, true, {}}, boot_time{seconds{101}});
    REQUIRE(first.piece);
    source.update(snapshot_of(configuration(400, 2), boot_time{seconds{102}}));
    const transfer_progress begun{first.piece->frame, 10};
    const auto next = source.answer({prefix, 0, true, begun}, boot_time{seconds{103}});
    CHECK(next.digest == first.digest);
    CHECK(next.age == seconds{3});
    const auto restarted = source.answer({prefix, 0, true, {}}, boot_time{seconds{103}});
    CHECK(restarted.digest == source.current().digest);
    CHECK(restarted.age == seconds{1});
}

TEST_CASE("a host of an earlier release gets the rows whole") {
    row_source source;
    source.update(snapshot_of(configuration(10, 1)));
    const auto reply = source.answer({prefix, 0, false, {}}, boot_time{seconds{101}});
    CHECK_FALSE(reply.piece);
    CHECK(digest_rows(reply.rows) == source.current().digest);
}

TEST_CASE("damaged frames and differences from other rows are rejected") {
    row_source source;
    source.update(snapshot_of(configuration(1, 1)));
    source.update(snapshot_of(configuration(1, 2)));
    const auto base = digest_rows(configuration(1, 1));
    const auto reply = source.answer({prefix, base, true, {}}, boot_time{seconds{101}});
    REQUIRE(reply.piece);
    CHECK(reply.piece->base == base);
    row_download download;
    for (std::size_t i = 0; i < reply.piece->bytes.size(); ++i) {
        auto damaged = *reply.piece;
        damaged.bytes[i] = static_cast<char>(damaged.bytes[i] ^ 0x55);
        download.add(damaged);
        REQUIRE(download.is_complete());
        std::uint64_t digest = 0;
        try {
            digest = digest_rows(download.take(configuration(1, 1)));
        } catch (const error&) {
            CHECK(download.progress() == transfer_progress{});
        }
        CHECK(digest != reply.digest);
    }
    download.add(*reply.piece);
    std::uint64_t other_base = 0;
    try {
        other_base = digest_rows(download.take(configuration(3, 1)));
    } catch (const error&) {
        CHECK(download.progress() == transfer_progress{});
    }
    CHECK(other_base != reply.digest);
    auto huge = *reply.piece;
    huge.frame_size = 0xFFFFFFFF;
    download.add(huge);
    CHECK(download.progress() == transfer_progress{});
}

// Guards against rows that differ between hosts after any series of changes, lost pieces and
// changes of the source.
TEST_CASE("every host ends with the newest rows") {
    rc::check([] {
        std::vector<row_source> sources(2);
        asking_host host;
        std::uint64_t version = 0;
        const auto steps = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 8U));
        const auto change = [&](row_source& source) {
            source.update(snapshot_of(configuration(version % 3 == 0 ? 90U : 60U, version),
                                      boot_time{seconds{100 + version}}));
        };
        for (const auto step : steps) {
            if (step < 2) {
                ++version;
                change(sources[step]);
            } else if (sources[step % 2].has_rows()) {
                host.ask(sources[step % 2]);
            }
        }
        ++version;
        for (auto& source : sources) {
            change(source);
        }
        host.fetch(sources[0]);
        RC_ASSERT(host.digest() == sources[1].current().digest);
    });
}
