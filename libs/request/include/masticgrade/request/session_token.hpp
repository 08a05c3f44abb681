#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// The last log entry of a group that a session depends on.
struct session_position {
    term_number term;
    log_position position;

    friend bool operator==(const session_position&, const session_position&) = default;
    friend auto operator<=>(const session_position&, const session_position&) = default;
};

/// The minimum positions for the reads of a session.
struct session {
    customer_id customer;
    std::map<group_id, session_position> positions;

    /// Raises the position of a group; a lower position is ignored.
    void advance(const group_id& group, session_position position);
};

/// Encodes sessions as tokens and decodes them. A token is authenticated with an HMAC and names its
/// customer, so that a caller can neither alter it nor use another customer's token.
/// Thread safety: immutable after construction.
class session_codec {
public:
    /// The first secret signs and all of them verify, so that secrets can be rotated while tokens
    /// of an older one are in use. Precondition: at least one secret, none empty.
    explicit session_codec(std::vector<std::string> secrets);

    [[nodiscard]] std::string encode(const session& value) const;
    /// Throws masticgrade::error when the token is malformed, altered or belongs to another
    /// customer.
    [[nodiscard]] session decode(std::string_view token, const customer_id& customer) const;

private:
    std::vector<std::string> secrets_;
};

}  // namespace masticgrade
