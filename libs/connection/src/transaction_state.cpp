#include "masticgrade/connection/transaction_state.hpp"

#include <fmt/format.h>

#include <boost/mp11.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <utility>

#include "masticgrade/base/invariant.hpp"

namespace masticgrade {

namespace msm = boost::msm;

namespace {

struct begun_event {};
struct commit_event {};
struct rollback_event {};
struct acknowledged_event {};
/// The transaction was rolled back; none of its statements has taken effect.
struct rolled_back_event {};
/// The commit may have taken effect.
struct commit_unconfirmed_event {};
struct resolved_event {
    transaction_outcome outcome;
};

// Boost.MSM numbers the states by their first use as a source in the transition table, followed by
// those that are only targets: idle, open, committing, failed, finished. `phases` has the same
// order.
struct transaction_definition : msm::front::state_machine_def<transaction_definition> {
    struct idle : msm::front::state<> {};
    struct open : msm::front::state<> {};
    struct committing : msm::front::state<> {};
    struct failed : msm::front::state<> {};
    struct finished : msm::front::state<> {};

    using initial_state = idle;

    template <transaction_outcome Outcome>
    struct set_outcome {
        template <class Event, class Machine, class Source, class Target>
        void operator()(const Event&, Machine& machine, Source&, Target&) const {
            machine.outcome = Outcome;
        }
    };
    using set_done = set_outcome<transaction_outcome::done>;
    using set_not_run = set_outcome<transaction_outcome::not_run>;
    struct set_unconfirmed {
        template <class Event, class Machine, class Source, class Target>
        void operator()(const Event&, Machine& machine, Source&, Target&) const {
            machine.outcome = machine.commit_key.empty() ? transaction_outcome::unknown
                                                         : transaction_outcome::resolvable;
        }
    };
    struct set_resolved {
        template <class Machine, class Source, class Target>
        void operator()(const resolved_event& event, Machine& machine, Source&, Target&) const {
            machine.outcome = event.outcome;
        }
    };
    struct is_resolvable {
        template <class Event, class Machine, class Source, class Target>
        bool operator()(const Event&, Machine& machine, Source&, Target&) const {
            return machine.outcome == transaction_outcome::resolvable;
        }
    };

    template <class Source, class Event, class Target, class Action = msm::front::none,
              class Guard = msm::front::none>
    using row = msm::front::Row<Source, Event, Target, Action, Guard>;

    struct transition_table
        : boost::mpl::vector<row<idle, begun_event, open>,                                        //
                             row<idle, rolled_back_event, failed, set_not_run>,                   //
                             row<open, commit_event, committing>,                                 //
                             row<open, rollback_event, finished, set_not_run>,                    //
                             row<open, rolled_back_event, failed, set_not_run>,                   //
                             row<committing, acknowledged_event, finished, set_done>,             //
                             row<committing, rolled_back_event, failed, set_not_run>,             //
                             row<committing, commit_unconfirmed_event, failed, set_unconfirmed>,  //
                             row<failed, resolved_event, failed, set_resolved, is_resolvable>> {};

    template <class Machine, class Event>
    void no_transition(const Event&, Machine&, int) {}

    transaction_outcome outcome = transaction_outcome::open;
    idempotency_key commit_key;
};

using transaction_machine = msm::back::state_machine<transaction_definition>;

constexpr transaction_phase phases[] = {transaction_phase::idle, transaction_phase::open,
                                        transaction_phase::committing, transaction_phase::failed,
                                        transaction_phase::finished};

}  // namespace

std::string_view describe(statement_permission permission) noexcept {
    switch (permission) {
        case statement_permission::allowed:
            return "allowed";
        case statement_permission::wrong_customer:
            return "the transaction belongs to another customer";
        case statement_permission::wrong_connection:
            return "the transaction belongs to another connection";
        case statement_permission::busy:
            return "another statement of the transaction is not answered yet";
        case statement_permission::closed:
            return "the transaction takes no more statements";
        case statement_permission::past_deadline:
            return "the deadline of the transaction has passed";
    }
    return "unknown";
}

class transaction_state::implementation {
public:
    implementation(transaction_id id, customer_id customer, connection_number connection,
                   time_point deadline)
        : id_(std::move(id)),
          customer_(std::move(customer)),
          connection_(connection),
          deadline_(deadline) {
        machine_.start();
    }

    statement_permission permission(const customer_id& customer, connection_number connection,
                                    time_point now) const {
        // Checks the customer first, so that a refusal reveals nothing to other customers.
        if (customer != customer_) {
            return statement_permission::wrong_customer;
        }
        if (connection != connection_) {
            return statement_permission::wrong_connection;
        }
        const auto current = phase();
        if (current != transaction_phase::idle && current != transaction_phase::open) {
            return statement_permission::closed;
        }
        if (in_flight_) {
            return statement_permission::busy;
        }
        return now > deadline_ ? statement_permission::past_deadline
                               : statement_permission::allowed;
    }

    void send(transaction_statement statement, const std::optional<idempotency_key>& key) {
        in_flight_ = true;
        if (statement == transaction_statement::commit) {
            machine_.commit_key = key.value_or(idempotency_key{});
            process(commit_event{});
        }
        rolling_back_ = statement == transaction_statement::rollback;
    }

    bool answered(connection_number connection) {
        if (!in_flight_ || !is_own(connection)) {
            return false;
        }
        if (phase() == transaction_phase::idle) {
            return false;
        }
        in_flight_ = false;
        return !rolling_back_ || process(rollback_event{});
    }

    bool begun(connection_number connection) {
        if (!is_own(connection) || !process(begun_event{})) {
            return false;
        }
        in_flight_ = false;
        return true;
    }

    bool refused(connection_number connection) {
        if (!in_flight_ || !is_own(connection)) {
            return false;
        }
        in_flight_ = false;
        return process(rolled_back_event{});
    }

    bool acknowledged() { return !in_flight_ && process(acknowledged_event{}); }

    bool not_acknowledged() {
        in_flight_ = false;
        return process(commit_unconfirmed_event{});
    }

    bool connection_lost() {
        // Before the commit is sent, the database rolls back when the connection closes.
        const bool committing = phase() == transaction_phase::committing;
        in_flight_ = false;
        return committing ? process(commit_unconfirmed_event{}) : process(rolled_back_event{});
    }

    bool resolved(transaction_outcome outcome) { return process(resolved_event{outcome}); }

    [[nodiscard]] transaction_phase phase() const noexcept {
        return phases[machine_.current_state()[0]];
    }
    [[nodiscard]] const transaction_machine& machine() const noexcept { return machine_; }
    [[nodiscard]] const transaction_id& id() const noexcept { return id_; }
    [[nodiscard]] connection_number connection() const noexcept { return connection_; }

private:
    template <class Event>
    bool process(const Event& event) {
        return machine_.process_event(event) == msm::back::HANDLED_TRUE;
    }

    /// Rejects an answer from a connection that the transaction does not own: it belongs to another
    /// statement.
    [[nodiscard]] bool is_own(connection_number connection) const {
        MG_INVARIANT("answer_of_own_connection", connection == connection_,
                     fmt::format("transaction={} connection={} answered_by={}", id_, connection_,
                                 connection));
        return connection == connection_;
    }

    transaction_id id_;
    customer_id customer_;
    connection_number connection_;
    time_point deadline_;
    /// True from the start, because `begin` is in flight.
    bool in_flight_ = true;
    bool rolling_back_ = false;
    transaction_machine machine_;
};

transaction_state::transaction_state(transaction_id id, customer_id customer,
                                     connection_number connection, time_point deadline)
    : implementation_(std::make_unique<implementation>(std::move(id), std::move(customer),
                                                       connection, deadline)) {}

transaction_state::transaction_state(transaction_state&&) noexcept = default;
transaction_state& transaction_state::operator=(transaction_state&&) noexcept = default;
transaction_state::~transaction_state() = default;

statement_permission transaction_state::send(transaction_statement statement,
                                             const customer_id& customer,
                                             connection_number connection,
                                             const std::optional<idempotency_key>& key,
                                             time_point now) {
    const auto permission = implementation_->permission(customer, connection, now);
    if (permission == statement_permission::allowed) {
        implementation_->send(statement, key);
    }
    return permission;
}

bool transaction_state::begun(connection_number connection) {
    return implementation_->begun(connection);
}
bool transaction_state::answered(connection_number connection) {
    return implementation_->answered(connection);
}
bool transaction_state::refused(connection_number connection) {
    return implementation_->refused(connection);
}
bool transaction_state::acknowledged() { return implementation_->acknowledged(); }
bool transaction_state::not_acknowledged() { return implementation_->not_acknowledged(); }
bool transaction_state::connection_lost() { return implementation_->connection_lost(); }

bool transaction_state::resolved(transaction_outcome outcome) {
    MG_PRECONDITION(outcome == transaction_outcome::done ||
                    outcome == transaction_outcome::not_run ||
                    outcome == transaction_outcome::unknown);
    return implementation_->resolved(outcome);
}

transaction_phase transaction_state::phase() const noexcept { return implementation_->phase(); }

transaction_outcome transaction_state::outcome() const noexcept {
    return implementation_->machine().outcome;
}

const transaction_id& transaction_state::id() const noexcept { return implementation_->id(); }

connection_number transaction_state::connection() const noexcept {
    return implementation_->connection();
}

const idempotency_key& transaction_state::commit_key() const noexcept {
    return implementation_->machine().commit_key;
}

}  // namespace masticgrade
