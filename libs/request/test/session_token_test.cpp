#include "masticgrade/request/session_token.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "masticgrade/base/base64url.hpp"
#include "masticgrade/base/error.hpp"

using namespace masticgrade;

namespace {

const session_codec codec{{"secret-one", "secret-zero"}};

session make_session() {
    session value;
    value.customer = customer_id{"parish"};
    value.advance(group_id{"ledger"}, {term_number{3}, log_position{17}});
    return value;
}

}  // namespace

// Guards against losing a session's positions when the caller switches proxies.
TEST_CASE("a token carries its positions to another proxy with the same secret") {
    const session_codec other{{"secret-two", "secret-one"}};
    const auto decoded = other.decode(codec.encode(make_session()), customer_id{"parish"});
    CHECK(decoded.positions == make_session().positions);
}

// Guards against one customer using another customer's token.
TEST_CASE("another customer's token is rejected") {
    CHECK_THROWS_WITH_AS((void)codec.decode(codec.encode(make_session()), customer_id{"council"}),
                         doctest::Contains("another customer"), error);
}

// Guards against a caller that forges a position.
TEST_CASE("an altered token is rejected") {
    auto token = codec.encode(make_session());
    token[3] = token[3] == 'A' ? 'B' : 'A';
    CHECK_THROWS_AS((void)codec.decode(token, customer_id{"parish"}), error);
}

// Guards against a decoder that crashes on random input or accepts it.
TEST_CASE("random text is never accepted as a token") {
    CHECK(rc::check([](const std::string& text) {
        RC_ASSERT_THROWS_AS((void)codec.decode(text, customer_id{"parish"}), error);
    }));
}

TEST_CASE("base64url decoding reverses encoding") {
    CHECK(rc::check([](const std::string& bytes) {
        RC_ASSERT(decode_base64url(encode_base64url(bytes)) == bytes);
    }));
}
