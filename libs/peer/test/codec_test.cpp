#include "masticgrade/peer/codec.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <limits>
#include <string>

#include "masticgrade/base/error.hpp"

using namespace masticgrade;
using namespace masticgrade::peer;

namespace {

using bytes = std::vector<std::uint8_t>;

host_report make_host_report(const customer_id& customer, std::uint64_t number) {
    const auto small = static_cast<std::uint32_t>(number % 1000000);
    usage_report report;
    report.uptime = milliseconds{small};
    report.age = milliseconds{small % 500};
    report.is_relay = number % 3 == 0;
    report.leaving = number % 5 == 0;
    report.accepts_leases = number % 2 == 0;
    report.usage = {{customer, small, small / 8.0, small / 4.0}, {}};
    return {host_id{customer.str() + "h"}, incarnation_number{number}, report};
}

/// Returns at least one message of every type.
std::vector<message_body> make_bodies(std::uint64_t number, const std::string& text,
                                      const bytes& opaque) {
    const fleet_version version{number};
    const customer_id customer{text};
    const double amount = static_cast<double>(number) / 8;
    return {
        exchange_request{version},
        exchange_reply{
            version, milliseconds{number % 65535}, opaque, {1, 2}, true, opaque, version},
        exchange_reply{version, std::nullopt, {}, {}, false, {}},
        rows_request{version},
        rows_reply{version, number % 2 == 0, {{text, version, text}, {}}},
        suspect_report{group_id{text}, term_number{number}, true},
        share_query{version, {customer, customer_id{}}},
        share_report{{{customer, version, {0.25, 0.5}, amount}, {}}},
        share_assignment{{{customer, version, share_sequence{number}, {1, 0}, amount}}},
        share_ack{{{customer, version, share_sequence{number}, amount}}},
        share_handover{customer,
                       version,
                       {{host_id{text}, incarnation_number{number}, {0.5, 1}}},
                       true,
                       amount,
                       2},
        token_request{customer, request_number{number}, amount},
        token_grant{customer, version, request_number{number}, amount},
        token_receipt{customer, version, request_number{number}},
        usage_reports{{make_host_report(customer, number), make_host_report(customer, number + 1)}},
        service_message{opaque},
    };
}

envelope make_envelope(message_body body) {
    return {request_number{7},     true,
            host_id{"host-1"},     incarnation_number{42},
            fleet_version{9},      std::move(body),
            incarnation_number{43}};
}

bytes payload_of(const bytes& frame) { return {frame.begin() + frame_prefix_size, frame.end()}; }

void decode_or_reject(const bytes& payload) {
    try {
        static_cast<void>(decode(payload));
    } catch (const error&) {
    }
}

}  // namespace

// Guards against fields that are lost or swapped by the codec.
TEST_CASE("every message type round-trips through the codec") {
    CHECK(rc::check([](std::uint64_t number, const std::string& text, const bytes& opaque) {
        for (const auto& body : make_bodies(number, text, opaque)) {
            const auto message = make_envelope(body);
            RC_ASSERT(decode(payload_of(encode(message))) == message);
        }
    }));
}

// Guards against a peer that crashes this process with a crafted payload.
TEST_CASE("random payloads are decoded or rejected with an error") {
    CHECK(rc::check([](const bytes& payload) { decode_or_reject(payload); }));
}

TEST_CASE("corrupted messages are decoded or rejected with an error") {
    CHECK(rc::check([](std::uint64_t number, const std::string& text, const bytes& opaque) {
        for (const auto& body : make_bodies(number, text, opaque)) {
            auto payload = payload_of(encode(make_envelope(body)));
            for (int change = 0; change < 4; ++change) {
                payload[*rc::gen::inRange<std::size_t>(0, payload.size())] =
                    *rc::gen::arbitrary<std::uint8_t>();
            }
            payload.resize(*rc::gen::inRange<std::size_t>(1, payload.size() + 1));
            decode_or_reject(payload);
        }
    }));
}

// Guards against frames that are lost or merged when TCP splits the stream at arbitrary offsets.
TEST_CASE("the frame decoder returns the same payloads for chunks of any size") {
    CHECK(rc::check([](const std::vector<bytes>& sent, bool byte_at_a_time) {
        bytes stream;
        std::vector<bytes> expected;
        for (const auto& body : make_bodies(sent.size(), "x", {1, 2, 3})) {
            const auto frame = encode(make_envelope(body));
            stream.insert(stream.end(), frame.begin(), frame.end());
            expected.push_back(payload_of(frame));
        }
        frame_decoder decoder;
        std::vector<bytes> received;
        std::size_t position = 0;
        while (position < stream.size()) {
            const auto rest = stream.size() - position;
            const auto size =
                byte_at_a_time ? 1 : *rc::gen::inRange<std::size_t>(1, std::min(rest, 300UL) + 1);
            decoder.feed({stream.data() + position, size});
            position += size;
            while (auto payload = decoder.next()) {
                received.push_back(std::move(*payload));
            }
        }
        RC_ASSERT(received == expected);
    }));
}

// Guards against an invalid length that makes this process allocate memory without bound.
TEST_CASE("a frame length of zero or above the limit is rejected before the payload arrives") {
    const bytes zero{0, 0, 0, 0};
    const bytes above{1, 0, 16, 0};
    const bytes largest{0, 0, 16, 0};
    CHECK_THROWS_AS(frame_decoder{}.feed(zero), error);
    CHECK_THROWS_AS(frame_decoder{}.feed(above), error);
    CHECK_NOTHROW(frame_decoder{}.feed(largest));
}

TEST_CASE("an invalid length after a valid frame is rejected") {
    auto stream = encode(make_envelope(rows_request{fleet_version{1}}));
    stream.insert(stream.end(), {255, 255, 255, 255});
    frame_decoder decoder;
    decoder.feed(stream);
    CHECK_THROWS_AS(decoder.next(), error);
}

// Guards against infinite token amounts from a faulty or malicious peer.
TEST_CASE("negative or non-finite amounts and share fractions above 1 are rejected") {
    const customer_id customer{"c"};
    for (const double tokens : {-1.0, std::numeric_limits<double>::infinity(),
                                std::numeric_limits<double>::quiet_NaN()}) {
        const auto frame = encode(make_envelope(token_grant{customer, {}, {}, tokens}));
        CHECK_THROWS_AS(decode(payload_of(frame)), error);
    }
    const auto frame = encode(make_envelope(share_report{{{customer, {}, {1.5, 0}, 0}}}));
    CHECK_THROWS_AS(decode(payload_of(frame)), error);
}

// Guards against sending a message for which the receiver would close the connection.
TEST_CASE("encoding a message above the size limit fails") {
    rows_reply reply;
    reply.rows.push_back({"key", fleet_version{1}, std::string(max_payload_size, 'x')});
    CHECK_THROWS_AS(encode(make_envelope(reply)), error);
}
