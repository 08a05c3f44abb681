#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// The last entry of a group's log that a session depends on.
struct session_position {
    term_number term;
    log_position position;

    friend bool operator==(const session_position&, const session_position&) = default;
    friend auto operator<=>(const session_position&, const session_position&) = default;
};

/// The positions that a session's later reads must not be behind.
struct session {
    customer_id customer;
    std::map<group_id, session_position> positions;

    /// Raises the position of a group; a lower one changes nothing.
    void advance(const group_id& group, session_position position);
};

/// Turns sessions into tokens and back. A token is bound to its customer by a keyed hash, so that a
/// caller can neither alter it nor use another customer's.
/// Thread safety: immutable after construction.
class session_codec {
public:
    /// The first secret signs; all of them verify, so that secrets can be exchanged while tokens of
    /// the old one are in use. Precondition: at least one secret, none empty.
    explicit session_codec(std::vector<std::string> secrets);

    [[nodiscard]] std::string encode(const session& value) const;
    /// Throws masticgrade::error when the token is malformed, altered, or another customer's.
    [[nodiscard]] session decode(std::string_view token, const customer_id& customer) const;

private:
    std::vector<std::string> secrets_;
};

}  // namespace masticgrade
