#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "masticgrade/gateway/statement.hpp"

namespace masticgrade {

struct prepared_statement {
    access_kind access = access_kind::read;
    std::string shape;

    friend auto operator<=>(const prepared_statement&, const prepared_statement&) = default;
};

/// The values and prepared statements that a caller was told it has.
struct session_context {
    std::map<std::string, std::string> values;
    std::map<std::string, prepared_statement> prepared;
};

/// What one backend connection holds. Every caller's prepared statement gets the same name for the
/// same shape, so that sessions of a customer share it whatever names they chose.
class backend_context {
public:
    /// The requests that give the connection exactly the session's values and, if it is to execute
    /// one, the prepared statement. They must be answered with success before the connection is
    /// used; call `applied` then.
    [[nodiscard]] std::vector<backend_request> setup_requests(
        const session_context& session, const prepared_statement* needed) const;
    void applied(const session_context& session, const prepared_statement* needed);

    /// The connection's name for a shape.
    [[nodiscard]] static std::string name_of(const prepared_statement& shape);

private:
    [[nodiscard]] bool must_reset(const session_context& session) const;

    std::map<std::string, std::string> values_;
    std::map<prepared_statement, std::string> prepared_;
};

}  // namespace masticgrade
