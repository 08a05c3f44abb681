// The transition table has more rows than the preprocessed vectors of Boost.MPL support.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 50
#define BOOST_MPL_LIMIT_LIST_SIZE 50

#include "masticgrade/failover/promotion.hpp"

#include <algorithm>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <type_traits>
#include <utility>

#include "masticgrade/base/invariant.hpp"
#include "promotion_attempt.hpp"

namespace masticgrade {

namespace {

namespace front = boost::msm::front;
using boost::mpl::vector;
using front::none;
using front::Row;

// Events of the state machine. Responses are first recorded in the attempt. `progress` then makes
// the machine evaluate the guards again.
struct begin {};
struct progress {};
/// The outcome of the commit is unknown, or its condition failed. Reading the row shows whether it
/// was committed.
struct commit_in_doubt {};

// A state defines its request, the retry interval, the timeout, and the failure that a timeout
// causes unless the attempt then continues in another state.

struct preparing_step {
    static constexpr auto failure = promotion_failure::no_candidate;
    static duration retry_interval(const promotion_settings& settings) {
        return settings.prepare_poll_interval;
    }
    static duration timeout(const promotion_attempt& attempt) {
        return attempt.settings().prepare_timeout;
    }
    static void request(promotion_attempt& attempt) { attempt.query_states(); }
};

struct commit_step {
    static constexpr auto failure = promotion_failure::store_unavailable;
    static duration retry_interval(const promotion_settings& settings) {
        return settings.store_retry_interval;
    }
    static duration timeout(const promotion_attempt& attempt) { return attempt.commit_time_left(); }
};
struct committing_step : commit_step {
    static void request(promotion_attempt& attempt) { attempt.request_commit(); }
};
struct resolving_step : commit_step {
    static void request(promotion_attempt& attempt) { attempt.request_read(); }
};

struct sealing_primary_step {
    static duration retry_interval(const promotion_settings& settings) {
        return settings.instance_retry_interval;
    }
    static duration timeout(const promotion_attempt& attempt) {
        return attempt.settings().catch_up_timeout;
    }
    static void request(promotion_attempt& attempt) { attempt.request_seal_of_primary(); }
};
struct catching_up_step {
    static duration retry_interval(const promotion_settings& settings) {
        return settings.catch_up_poll_interval;
    }
    static duration timeout(const promotion_attempt& attempt) {
        return attempt.settings().catch_up_timeout;
    }
    static void request(promotion_attempt& attempt) { attempt.query_states(); }
};
struct sealing_step {
    static constexpr auto failure = promotion_failure::no_majority;
    static duration retry_interval(const promotion_settings& settings) {
        return settings.instance_retry_interval;
    }
    static duration timeout(const promotion_attempt& attempt) {
        return attempt.settings().seal_timeout;
    }
    static void request(promotion_attempt& attempt) { attempt.request_seals(); }
};
struct promoting_step {
    static constexpr auto failure = promotion_failure::promote_unanswered;
    static duration retry_interval(const promotion_settings& settings) {
        return settings.instance_retry_interval;
    }
    static duration timeout(const promotion_attempt& attempt) {
        return attempt.settings().promote_timeout;
    }
    static void request(promotion_attempt& attempt) { attempt.request_promote(); }
};
struct following_step {
    static duration retry_interval(const promotion_settings& settings) {
        return settings.instance_retry_interval;
    }
    static duration timeout(const promotion_attempt& attempt) {
        return attempt.settings().follow_timeout;
    }
    static void request(promotion_attempt& attempt) { attempt.request_follows(); }
};

template <class Step>
struct step_state : front::state<> {
    template <class Event, class Machine>
    void on_entry(const Event&, Machine& machine) {
        auto& attempt = *machine.attempt;
        attempt.enter_state(Step::retry_interval(attempt.settings()), Step::timeout(attempt));
    }
    static void request(promotion_attempt& attempt) {
        attempt.schedule_retry(Step::retry_interval(attempt.settings()));
        Step::request(attempt);
    }
    using step = Step;
};

struct idle : front::state<> {};
struct preparing : step_state<preparing_step> {};
struct committing_sealing : step_state<committing_step> {};
struct resolving_sealing : step_state<resolving_step> {};
struct sealing_primary : step_state<sealing_primary_step> {};
struct catching_up : step_state<catching_up_step> {};
struct sealing : step_state<sealing_step> {};
struct promoting : step_state<promoting_step> {};
struct committing_active : step_state<committing_step> {};
struct resolving_active : step_state<resolving_step> {};
struct following : step_state<following_step> {};
struct finished_state : front::state<> {};

// Guards and actions are stateless function objects that read or change the attempt.
template <bool (promotion_attempt::*Condition)() const>
struct when {
    template <class Event, class Machine, class Source, class Target>
    bool operator()(const Event&, Machine& machine, Source&, Target&) const {
        return (machine.attempt.get()->*Condition)();
    }
};
using when_planned = when<&promotion_attempt::planned>;
using when_timed_out = when<&promotion_attempt::timed_out>;
using when_retry_due = when<&promotion_attempt::retry_due>;
using when_retry_commit = when<&promotion_attempt::commit_retry_due>;
using when_committed = when<&promotion_attempt::committed>;

struct when_failed {
    template <class Event, class Machine, class Source, class Target>
    bool operator()(const Event&, Machine& machine, Source&, Target&) const {
        return machine.attempt->superseded() || machine.attempt->timed_out();
    }
};
struct when_stopped_following {
    template <class Event, class Machine, class Source, class Target>
    bool operator()(const Event&, Machine& machine, Source&, Target&) const {
        const auto& attempt = *machine.attempt;
        return attempt.superseded() || attempt.timed_out() || attempt.all_follow();
    }
};

template <void (promotion_attempt::*... Steps)()>
struct perform {
    template <class Event, class Machine, class Source, class Target>
    void operator()(const Event&, Machine& machine, Source&, Target&) const {
        ((machine.attempt.get()->*Steps)(), ...);
    }
};
struct repeat_request {
    template <class Event, class Machine, class Source, class Target>
    void operator()(const Event&, Machine& machine, Source& source, Target&) const {
        source.request(*machine.attempt);
    }
};
struct fail {
    template <class Event, class Machine, class Source, class Target>
    void operator()(const Event&, Machine& machine, Source&, Target&) const {
        machine.attempt->report_failure(Source::step::failure);
    }
};

using start_preparing = perform<&promotion_attempt::query_states>;
using start_commit =
    perform<&promotion_attempt::prepare_sealing_commit, &promotion_attempt::request_commit>;
using start_active_commit =
    perform<&promotion_attempt::prepare_active_commit, &promotion_attempt::request_commit>;
using retry_commit = perform<&promotion_attempt::request_commit>;
using read_row = perform<&promotion_attempt::request_read>;
using seal_primary = perform<&promotion_attempt::request_seal_of_primary>;
using query_all = perform<&promotion_attempt::query_states>;
using seal_all = perform<&promotion_attempt::request_seals>;
using promote_best = perform<&promotion_attempt::choose_and_promote>;
using succeed = perform<&promotion_attempt::report_success, &promotion_attempt::request_follows>;

using when_replica_near = when<&promotion_attempt::replica_near_primary>;
using when_primary_sealed = when<&promotion_attempt::primary_sealed>;
using when_caught_up = when<&promotion_attempt::replica_has_complete_log>;
using when_can_choose_candidate = when<&promotion_attempt::can_choose_candidate>;
using when_promoted = when<&promotion_attempt::promoted>;
struct when_committed_planned {
    template <class Event, class Machine, class Source, class Target>
    bool operator()(const Event&, Machine& machine, Source&, Target&) const {
        return machine.attempt->committed() && machine.attempt->planned();
    }
};

struct machine_definition : front::state_machine_def<machine_definition> {
    using initial_state = idle;
    using no_exception_thrown = int;
    using no_message_queue = int;

    // Rows with the same source and event are evaluated from last to first. The first one whose
    // guard is true is taken.
    // clang-format off
    struct transition_table : vector<
        Row<idle,               begin,           committing_sealing, start_commit,        none>,
        Row<idle,               begin,           preparing,          start_preparing,     when_planned>,

        Row<preparing,          progress,        none,               repeat_request,      when_retry_due>,
        Row<preparing,          progress,        committing_sealing, start_commit,        when_replica_near>,
        Row<preparing,          progress,        finished_state,     fail,                when_failed>,

        Row<committing_sealing, commit_in_doubt, resolving_sealing,  read_row,            none>,
        Row<committing_sealing, progress,        resolving_sealing,  read_row,            when_retry_due>,
        Row<committing_sealing, progress,        finished_state,     fail,                when_failed>,
        Row<committing_sealing, progress,        sealing,            seal_all,            when_committed>,
        Row<committing_sealing, progress,        sealing_primary,    seal_primary,        when_committed_planned>,

        Row<resolving_sealing,  progress,        none,               repeat_request,      when_retry_due>,
        Row<resolving_sealing,  progress,        committing_sealing, retry_commit,        when_retry_commit>,
        Row<resolving_sealing,  progress,        finished_state,     fail,                when_failed>,
        Row<resolving_sealing,  progress,        sealing,            seal_all,            when_committed>,
        Row<resolving_sealing,  progress,        sealing_primary,    seal_primary,        when_committed_planned>,

        Row<sealing_primary,    progress,        none,               repeat_request,      when_retry_due>,
        Row<sealing_primary,    progress,        sealing,            seal_all,            when_failed>,
        Row<sealing_primary,    progress,        catching_up,        query_all,           when_primary_sealed>,

        Row<catching_up,        progress,        none,               repeat_request,      when_retry_due>,
        Row<catching_up,        progress,        sealing,            seal_all,            when_failed>,
        Row<catching_up,        progress,        sealing,            seal_all,            when_caught_up>,

        Row<sealing,            progress,        none,               repeat_request,      when_retry_due>,
        Row<sealing,            progress,        promoting,          promote_best,        when_can_choose_candidate>,
        Row<sealing,            progress,        finished_state,     fail,                when_failed>,

        Row<promoting,          progress,        none,               repeat_request,      when_retry_due>,
        Row<promoting,          progress,        finished_state,     fail,                when_failed>,
        Row<promoting,          progress,        committing_active,  start_active_commit, when_promoted>,

        Row<committing_active,  commit_in_doubt, resolving_active,   read_row,            none>,
        Row<committing_active,  progress,        resolving_active,   read_row,            when_retry_due>,
        Row<committing_active,  progress,        finished_state,     fail,                when_failed>,
        Row<committing_active,  progress,        following,          succeed,             when_committed>,

        Row<resolving_active,   progress,        none,               repeat_request,      when_retry_due>,
        Row<resolving_active,   progress,        committing_active,  retry_commit,        when_retry_commit>,
        Row<resolving_active,   progress,        finished_state,     fail,                when_failed>,
        Row<resolving_active,   progress,        following,          succeed,             when_committed>,

        Row<following,          progress,        none,               repeat_request,      when_retry_due>,
        Row<following,          progress,        finished_state,     none,                when_stopped_following>
    > {};
    // clang-format on

    /// Delayed and duplicate responses may arrive in states that no longer expect them.
    template <class Event, class Machine>
    void no_transition(const Event&, Machine&, int) {}

    std::unique_ptr<promotion_attempt> attempt;
};

using machine = boost::msm::back::state_machine<machine_definition>;

}  // namespace

class promotion::implementation {
public:
    implementation(promotion_request request, promotion_settings settings, time_point now) {
        machine_.attempt = std::make_unique<promotion_attempt>(std::move(request), settings, now);
        machine_.start();
    }

    promotion_actions start(time_point now) {
        attempt().set_now(now);
        machine_.process_event(begin{});
        return attempt().take_actions();
    }

    promotion_actions handle(const promotion_event& event, time_point now) {
        attempt().set_now(now);
        if (!finished()) {
            std::visit([this](const auto& response) { receive(response); }, event);
            advance();
        }
        return attempt().take_actions();
    }

    [[nodiscard]] bool finished() const { return machine_.current_state()[0] == finished_id; }
    promotion_attempt& attempt() { return *machine_.attempt; }
    [[nodiscard]] const promotion_attempt& attempt() const { return *machine_.attempt; }

private:
    static constexpr int finished_id = boost::msm::back::get_state_id<
        boost::msm::back::recursive_get_transition_table<machine>::type, finished_state>::value;

    /// One response may complete several states, for example when all seal responses have arrived.
    void advance() {
        for (int before = -1; before != machine_.current_state()[0];) {
            before = machine_.current_state()[0];
            machine_.process_event(progress{});
        }
    }

    void receive(const commit_response& response) {
        if (!attempt().awaits_commit(response.mark)) {
            return;
        }
        if (response.outcome == commit_outcome::committed) {
            attempt().record_committed(response.version);
        } else {
            // A conflict of a repeated commit may mean that the first request was applied.
            machine_.process_event(commit_in_doubt{});
        }
    }

    void receive(const record_read& response) {
        if (const auto version = attempt().record_row(response.record)) {
            attempt().record_committed(*version);
        } else if (!attempt().superseded()) {
            attempt().record_row_unchanged();
        }
    }

    void receive(const record_observed& seen) {
        if (const auto version = attempt().record_row(seen.record)) {
            attempt().record_committed(*version);
        }
    }

    void receive(const read_failed&) {}
    void receive(const time_passed&) {}
    void receive(const instance_state& state) { attempt().record_state(state); }
    void receive(const seal_response& response) { attempt().record_seal(response); }
    void receive(const promote_response& response) { attempt().record_promote(response); }
    void receive(const follow_response& response) { attempt().record_follow(response); }

    machine machine_;
};

promotion::promotion(promotion_request request, promotion_settings settings, time_point now)
    : implementation_(std::make_unique<implementation>(std::move(request), settings, now)) {}

promotion::promotion(promotion&&) noexcept = default;
promotion& promotion::operator=(promotion&&) noexcept = default;
promotion::~promotion() = default;

promotion_actions promotion::start(time_point now) { return implementation_->start(now); }

promotion_actions promotion::handle(const promotion_event& event, time_point now) {
    return implementation_->handle(event, now);
}

time_point promotion::next_wakeup() const { return implementation_->attempt().next_wakeup(); }

bool promotion::finished() const { return implementation_->finished(); }

term_number promotion::term() const { return implementation_->attempt().term(); }

}  // namespace masticgrade
