#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

#include "masticgrade/gateway/session_state.hpp"

using namespace masticgrade;

namespace {

/// What an instance would hold after the requests.
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

// Guards against a session that runs with the values or prepared statements of another.
TEST_CASE("an aligned connection holds exactly the session's values and the needed statement") {
    CHECK(rc::check([](const std::vector<std::map<std::uint8_t, std::uint8_t>>& sessions) {
        backend_context context;
        connection_model model;
        for (const auto& chosen : sessions) {
            session_context session;
            for (const auto& [name, value] : chosen) {
                session.values["v" + std::to_string(name % 4)] = std::to_string(value % 3);
            }
            prepared_statement shape{
                chosen.size() % 2 == 0 ? access_kind::read : access_kind::write,
                "q" + std::to_string(chosen.size())};
            const auto* needed = chosen.size() % 3 == 0 ? nullptr : &shape;
            model.run(context.setup_requests(session, needed));
            context.applied(session, needed);
            RC_ASSERT(model.values == session.values);
            if (needed != nullptr) {
                const auto name = backend_context::name_of(shape);
                RC_ASSERT(model.prepared.contains(name));
                RC_ASSERT(model.prepared.at(name) == shape);
            }
        }
    }));
}

// Guards against a round trip for each statement of a session that keeps its connection.
TEST_CASE("a connection that is aligned already needs nothing") {
    backend_context context;
    session_context session;
    session.values["zone"] = "north";
    const prepared_statement shape{access_kind::write, "q1"};
    CHECK(context.setup_requests(session, &shape).size() == 2);
    context.applied(session, &shape);
    CHECK(context.setup_requests(session, &shape).empty());
    CHECK(context.setup_requests(session, nullptr).empty());
}
