#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>

#include "masticgrade/gateway/session_state.hpp"

using namespace masticgrade;

namespace {

/// Models the values and prepared statements of a connection on the instance.
struct connection_model {
    std::map<std::string, std::string> values;
    std::map<std::string, prepared_statement> prepared;

    void run(const std::vector<backend_request>& requests) {
        for (const auto& request : requests) {
            if (std::holds_alternative<backend_reset>(request)) {
                values.clear();
                prepared.clear();
            } else if (const auto* set = std::get_if<backend_set>(&request)) {
                values[set->name] = set->value;
            } else if (const auto* prepare = std::get_if<backend_prepare>(&request)) {
                prepared[prepare->name] = {prepare->access, prepare->shape};
            }
        }
    }
};

}  // namespace

// A session must not run with values or prepared statements of another session that
// used the same connection before.
TEST_CASE("after setup a connection has exactly the session's values and the required statement") {
    CHECK(rc::check([](const std::vector<std::map<std::uint8_t, std::uint8_t>>& sessions) {
        backend_context context;
        connection_model model;
        for (const auto& session_values : sessions) {
            session_context session;
            for (const auto& [name, value] : session_values) {
                session.values["v" + std::to_string(name % 4)] = std::to_string(value % 3);
            }
            prepared_statement shape{
                session_values.size() % 2 == 0 ? access_kind::read : access_kind::write,
                "q" + std::to_string(session_values.size())};
            const auto* needed = session_values.size() % 3 == 0 ? nullptr : &shape;
            model.run(context.setup_requests(session, needed));
            context.on_setup_succeeded(session, needed);
            RC_ASSERT(model.values == session.values);
            if (needed != nullptr) {
                const auto name = backend_context::name_of(shape);
                RC_ASSERT(model.prepared.contains(name));
                RC_ASSERT(model.prepared.at(name) == shape);
            }
        }
    }));
}

// A session that reuses its connection must not cause an additional round trip per statement.
TEST_CASE("repeating the setup of a connection sends no request") {
    backend_context context;
    session_context session;
    session.values["zone"] = "north";
    const prepared_statement shape{access_kind::write, "q1"};
    CHECK(context.setup_requests(session, &shape).size() == 2);
    context.on_setup_succeeded(session, &shape);
    CHECK(context.setup_requests(session, &shape).empty());
    CHECK(context.setup_requests(session, nullptr).empty());
}

// A shape with blanks, which may end the caller's message, moved the fields of the instance's
// messages: another shape was prepared, and the rest of the name ran as an argument.
TEST_CASE("the name of a prepared statement is one field of a message") {
    const auto name_of = [](const std::string& shape) {
        return backend_context::name_of({access_kind::read, shape});
    };
    CHECK(name_of("q1") == "r_q1");
    CHECK(name_of("x READ y").find(' ') == std::string::npos);
    std::set<std::string> names;
    for (const char* shape : {"a b", "a  b", "a%20b", "a%b", "a%25b", "ab", "a_b"}) {
        names.insert(name_of(shape));
    }
    CHECK(names.size() == 7);
}
