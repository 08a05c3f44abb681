#pragma once

#include <boost/json.hpp>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>

namespace masticgrade::standins {

/// A statement that cannot run; nothing was changed.
class statement_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

using row_map = std::map<std::string, boost::json::value>;

/// The rows of a database with the changes of one transaction on top of them.
/// Precondition: the base outlives the view. Thread safety: one thread.
class transaction_view {
public:
    explicit transaction_view(const row_map& base) : base_(&base) {}

    /// Runs one statement and returns its result. Throws statement_error.
    boost::json::value run(const boost::json::value& statement, const std::string& customer);

    [[nodiscard]] const row_map& changes() const noexcept { return changes_; }

private:
    [[nodiscard]] const boost::json::value* find(const std::string& key) const;
    boost::json::object append(const std::string& key, const boost::json::object& statement);
    boost::json::object take(const std::string& key, const std::string& customer);
    [[nodiscard]] boost::json::object scan(const std::string& prefix) const;

    const row_map* base_;
    row_map changes_;
};

/// Whether the statement changes rows. Throws statement_error for an unknown operation.
bool is_write_statement(const boost::json::value& statement);

/// How long the statement holds its slot; 0 when not stated.
unsigned statement_cost_ms(const boost::json::value& statement);

}  // namespace masticgrade::standins
