#include "masticgrade/request/session_token.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "masticgrade/base/base64url.hpp"
#include "masticgrade/base/error.hpp"
#include "masticgrade/base/invariant.hpp"

namespace masticgrade {

namespace json = boost::json;

namespace {

std::string sign(const std::string& secret, std::string_view payload) {
    std::string digest(EVP_MAX_MD_SIZE, '\0');
    unsigned length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(payload.data()), payload.size(),
         reinterpret_cast<unsigned char*>(digest.data()), &length);
    digest.resize(length);
    return digest;
}

bool equal_in_constant_time(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

session decode_payload(std::string_view payload) {
    const auto document = json::parse(payload).as_object();
    session value;
    value.customer = customer_id{std::string{document.at("customer").as_string()}};
    for (const auto& [group, position] : document.at("positions").as_object()) {
        const auto& pair = position.as_array();
        value.positions[group_id{std::string{group}}] = {
            term_number{pair.at(0).to_number<std::uint64_t>()},
            log_position{pair.at(1).to_number<std::uint64_t>()}};
    }
    return value;
}

}  // namespace

void session::advance(const group_id& group, session_position position) {
    auto& known = positions[group];
    known = std::max(known, position);
}

session_codec::session_codec(std::vector<std::string> secrets) : secrets_(std::move(secrets)) {
    MG_PRECONDITION(!secrets_.empty());
    MG_PRECONDITION(std::none_of(secrets_.begin(), secrets_.end(),
                                 [](const std::string& secret) { return secret.empty(); }));
}

std::string session_codec::encode(const session& value) const {
    json::object positions;
    for (const auto& [group, position] : value.positions) {
        positions[group.str()] = json::array{position.term.value(), position.position.value()};
    }
    const auto payload = json::serialize(
        json::object{{"customer", value.customer.str()}, {"positions", std::move(positions)}});
    return encode_base64url(payload) + "." + encode_base64url(sign(secrets_.front(), payload));
}

session session_codec::decode(std::string_view token, const customer_id& customer) const {
    const auto dot = token.find('.');
    const auto payload = decode_base64url(token.substr(0, dot));
    const auto signature = decode_base64url(dot == std::string_view::npos ? std::string_view{}
                                                                          : token.substr(dot + 1));
    if (dot == std::string_view::npos || !payload || !signature) {
        throw error("session", "", "the session token is malformed");
    }
    const bool valid =
        std::any_of(secrets_.begin(), secrets_.end(), [&](const std::string& secret) {
            return equal_in_constant_time(sign(secret, *payload), *signature);
        });
    if (!valid) {
        throw error("session", "", "the session token was not issued by this fleet");
    }
    auto value = decode_payload(*payload);
    if (value.customer != customer) {
        throw error("session", "", "the session token belongs to another customer");
    }
    return value;
}

}  // namespace masticgrade
