#include "masticgrade/connection/backend_connection_state.hpp"

#include <boost/mp11.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace masticgrade {

namespace msm = boost::msm;

namespace {

struct open_event {};
struct opened_event {};
struct failed_event {};
struct acquire_event {};
struct release_event {};
struct discard_event {};
struct close_event {};

// Boost.MSM numbers the states by their first use as a source in the transition table, followed by
// those that are only targets: closed, opening, idle, busy. `connection_phase` has the same order.
struct connection_definition : msm::front::state_machine_def<connection_definition> {
    struct closed : msm::front::state<> {};
    struct opening : msm::front::state<> {};
    struct idle : msm::front::state<> {};
    struct busy : msm::front::state<> {};

    using initial_state = closed;

    template <class Source, class Event, class Target>
    using row = msm::front::Row<Source, Event, Target>;

    struct transition_table : boost::mpl::vector<row<closed, open_event, opening>,    //
                                                 row<opening, opened_event, idle>,    //
                                                 row<opening, failed_event, closed>,  //
                                                 row<idle, acquire_event, busy>,      //
                                                 row<idle, close_event, closed>,      //
                                                 row<busy, release_event, idle>,      //
                                                 row<busy, discard_event, closed>> {};

    // An event that is not allowed keeps the state; `process` returns false.
    template <class Machine, class Event>
    void no_transition(const Event&, Machine&, int) {}
};

using connection_machine = msm::back::state_machine<connection_definition>;

}  // namespace

class backend_connection_state::implementation {
public:
    implementation() { machine_.start(); }

    template <class Event>
    bool process(const Event& event) {
        return machine_.process_event(event) == msm::back::HANDLED_TRUE;
    }

    [[nodiscard]] connection_phase phase() const noexcept {
        return static_cast<connection_phase>(machine_.current_state()[0]);
    }

private:
    connection_machine machine_;
};

backend_connection_state::backend_connection_state()
    : implementation_(std::make_unique<implementation>()) {}
backend_connection_state::backend_connection_state(backend_connection_state&&) noexcept = default;
backend_connection_state& backend_connection_state::operator=(backend_connection_state&&) noexcept =
    default;
backend_connection_state::~backend_connection_state() = default;

bool backend_connection_state::open() { return implementation_->process(open_event{}); }
bool backend_connection_state::opened() { return implementation_->process(opened_event{}); }
bool backend_connection_state::failed() { return implementation_->process(failed_event{}); }
bool backend_connection_state::acquire() { return implementation_->process(acquire_event{}); }
bool backend_connection_state::release() { return implementation_->process(release_event{}); }
bool backend_connection_state::discard() { return implementation_->process(discard_event{}); }
bool backend_connection_state::close() { return implementation_->process(close_event{}); }

connection_phase backend_connection_state::phase() const noexcept {
    return implementation_->phase();
}

}  // namespace masticgrade
