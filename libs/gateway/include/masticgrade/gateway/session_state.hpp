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

/// The session values and prepared statements that were acknowledged to the caller.
struct session_context {
    std::map<std::string, std::string> values;
    std::map<std::string, prepared_statement> prepared;
};

/// The values and prepared statements of one backend connection. The name of a prepared statement
/// on the connection depends on its shape only, so that all sessions of a customer share it
/// whatever names they chose.
class backend_context {
public:
    /// The requests that set exactly the session's values on the connection and prepare the needed
    /// statement, if any. They must succeed before the connection is used; call
    /// `on_setup_succeeded` then.
    [[nodiscard]] std::vector<backend_request> setup_requests(
        const session_context& session, const prepared_statement* needed) const;
    void on_setup_succeeded(const session_context& session, const prepared_statement* needed);

    /// The name of the statement on the connection.
    [[nodiscard]] static std::string name_of(const prepared_statement& statement);

private:
    [[nodiscard]] bool must_reset(const session_context& session) const;

    std::map<std::string, std::string> values_;
    std::map<prepared_statement, std::string> prepared_;
};

}  // namespace masticgrade
