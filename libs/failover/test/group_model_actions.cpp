#include <fmt/format.h>

#include <algorithm>

#include "group_model.hpp"

namespace masticgrade::test {

namespace {

const group_id group{"ledger"};

template <class... Cases>
struct overloaded : Cases... {
    using Cases::operator()...;
};
template <class... Cases>
overloaded(Cases...) -> overloaded<Cases...>;

}  // namespace

template <class Request, class Handler>
void group_model::call(int number, int target, Request request, Handler on_response) {
    const auto epoch = hosts_[index(number)].epoch;
    const auto reachable = [this, number, target] {
        const auto& receiver = instances_[index(target)];
        return !receiver.down && hosts_[index(number)].cut_links.count(target) == 0;
    };
    deliver(reachable, [=, this] {
        auto reply = request(instances_[index(target)]);
        deliver(reachable, [=, this] { run_on_host(number, epoch, [=] { on_response(reply); }); });
    });
}

template <class Handler>
void group_model::store_call(int number, const std::function<void()>& effect, Handler on_response) {
    const auto epoch = hosts_[index(number)].epoch;
    const auto reachable = [this, number] {
        return store_mode_ != store_mode::down && !hosts_[index(number)].isolated;
    };
    const auto extra = [this] {
        const int limit = store_mode_ == store_mode::slow ? 2000 : 5;
        return milliseconds{std::uniform_int_distribution<>{0, limit}(random_)};
    };
    schedule(extra(), [=, this] {
        deliver(reachable, [=, this] {
            effect();
            if (store_mode_ == store_mode::loses_responses && chance(0.5)) {
                return;
            }
            schedule(extra(), [=, this] {
                deliver(reachable, [=, this] { run_on_host(number, epoch, on_response); });
            });
        });
    });
}

void group_model::read_store(int number) {
    const auto read = std::make_shared<group_record>();
    store_call(
        number, [this, read] { *read = row_; }, [this, number, read] { on_record(number, *read); });
}

void group_model::write(int number) {
    auto& writer = hosts_[index(number)];
    if (writer.paused) {
        return;
    }
    operation op;
    op.key = fmt::format("k{}", next_key_++);
    run_operation(number, writer.operations.emplace(op.key, op).first->second);
}

void group_model::run_operation(int number, operation& op) {
    auto& runner = hosts_[index(number)];
    if (++op.tries > 60) {
        op.finished = true;
        return;
    }
    op.retry_at = now_ + milliseconds{300};
    if (runner.known_record.phase != group_phase::active || runner.known_record.primary.empty()) {
        return;
    }
    // After an unknown outcome, the same key is executed again or cancelled.
    op.cancelling = op.cancelling || (op.tries > 1 && chance(0.7));
    op.term = runner.known_record.term;
    const auto key = op.key;
    const auto term = op.term;
    const bool cancel = op.cancelling;
    call(
        number, index_of(runner.known_record.primary),
        [=, this](instance& at) { return execute(at, term, key, cancel); },
        [=, this](const execute_reply& reply) { on_reply(number, key, reply); });
}

group_model::execute_reply group_model::execute(instance& at, term_number term,
                                                const std::string& key, bool cancel) {
    if (term != at.term || at.role != instance_role::primary) {
        return {execute_reply::rejected, at.term, {}, at.received()};
    }
    const auto known = std::find_if(at.log.begin(), at.log.end(),
                                    [&](const auto& entry) { return entry.key == key; });
    if (known == at.log.end()) {
        at.log.push_back({term, cancel ? entry_kind::cancellation : entry_kind::execution, key});
        return {cancel ? execute_reply::cancelled : execute_reply::ok, term, at.received(),
                at.received()};
    }
    const log_position position{static_cast<std::uint64_t>(known - at.log.begin()) + 1};
    if (known->kind == entry_kind::cancellation) {
        return {execute_reply::cancelled, term, position, at.received()};
    }
    return {cancel ? execute_reply::already_executed : execute_reply::ok, term, position,
            at.received()};
}

void group_model::on_reply(int number, const std::string& key, const execute_reply& reply) {
    auto& receiver = hosts_[index(number)];
    auto& op = receiver.operations.at(key);
    if (op.awaiting_confirmation || op.finished || reply.status == execute_reply::rejected ||
        (op.cancelling && reply.status == execute_reply::ok)) {
        return;
    }
    op.awaiting_confirmation = true;
    op.executed = reply.status != execute_reply::cancelled;
    op.term = reply.term;
    const write_number write{next_sequence_++};
    receiver.pending[write] = key;
    perform(number, receiver.writes->on_write({write, reply.term, reply.position, reply.received,
                                               now_ + milliseconds{1000}},
                                              now_));
}

void group_model::resolve(int number, const write_resolved& resolved) {
    auto& owner = hosts_[index(number)];
    auto& op = owner.operations.at(owner.pending.at(resolved.number));
    owner.pending.erase(resolved.number);
    op.awaiting_confirmation = false;
    if (resolved.outcome != write_outcome::acknowledged) {
        return;
    }
    op.finished = true;
    (op.executed ? acknowledged_ : cancelled_).insert(op.key);
    check_held_by_majority(op);
    auto& last = last_acknowledged_[index(number)];
    longest_gap_[index(number)] = std::max(longest_gap_[index(number)], now_ - last);
    last = now_;
    const auto author = promoted_at_[op.term];
    if (!acknowledged_at_.emplace(op.term, author).second && acknowledged_at_[op.term] != author) {
        add_violation(fmt::format("two instances acknowledged at term {}", op.term));
    }
    check();
}

void group_model::probe(int number, int target, bool for_detector) {
    const auto sent = now_;
    call(
        number, target,
        [sent](instance& at) {
            return instance_state{{at.id, at.term, at.received(), at.received(), sent},
                                  at.role,
                                  at.last_term(),
                                  milliseconds{0}};
        },
        [=, this](const instance_state& state) {
            if (for_detector) {
                perform(number, hosts_[index(number)].detector->on_state(state, now_));
            } else {
                handle_promotion_event(number, state);
            }
        });
}

void group_model::perform(int number, const detector_actions& actions) {
    const auto follow = [=, this](const repair_follower& action) {
        call(
            number, index_of(action.instance),
            [action, this](instance& at) {
                if (action.term >= at.term && at.id != action.primary) {
                    const milliseconds connecting{chance(10 * fault_rate_) ? 200 : 1};
                    at.replication_start =
                        now_ + (at.leader == action.primary ? milliseconds{0} : connecting);
                    at.term = action.term;
                    at.role = instance_role::replica;
                    at.leader = action.primary;
                }
                return 0;
            },
            [](int) {});
    };
    const auto report = [=, this](const report_suspicion& action) {
        for (int to = 0; to < host_count; ++to) {
            const auto epoch = hosts_[index(to)].epoch;
            if (to == number) {
                continue;
            }
            deliver(
                [=, this] {
                    return !hosts_[index(to)].isolated && !hosts_[index(number)].isolated;
                },
                [=, this] {
                    run_on_host(to, epoch, [=, this] {
                        perform(to,
                                hosts_[index(to)].detector->on_suspicion(
                                    hosts_[index(number)].id, action.term, action.suspected, now_));
                    });
                });
        }
    };
    for (const auto& action : actions) {
        std::visit(
            overloaded{[&](const probe_instance& a) { probe(number, index_of(a.instance), true); },
                       report, follow,
                       [&](const start_promotion& a) { start_attempt(number, a.observed, false); }},
            action);
    }
}

void group_model::start_attempt(int number, const group_record& observed, bool planned) {
    auto& coordinator = hosts_[index(number)];
    promotion_request request;
    request.group = group;
    request.coordinator = coordinator.id;
    request.observed = observed;
    for (const auto& known : instances_) {
        request.instances.push_back(known.id);
    }
    request.planned = planned;
    request.mark = fmt::format("m{}", next_sequence_++);
    coordinator.attempt =
        std::make_unique<promotion>(std::move(request), promotion_settings{}, now_);
    perform(number, coordinator.attempt->start(now_));
}

void group_model::start_switchover_at(int number) {
    const auto& coordinator = hosts_[index(number)];
    if (!coordinator.paused && !coordinator.attempt && !coordinator.known_record.primary.empty()) {
        start_attempt(number, coordinator.known_record, true);
    }
}

void group_model::handle_promotion_event(int number, const promotion_event& event) {
    auto& coordinator = hosts_[index(number)];
    if (!coordinator.attempt) {
        return;
    }
    const auto actions = coordinator.attempt->handle(event, now_);
    const bool finished = coordinator.attempt->finished();
    if (finished) {
        coordinator.attempt.reset();
    }
    perform(number, actions);
    if (finished) {
        perform(number, coordinator.detector->on_attempt_ended(now_));
    }
}

void group_model::perform(int number, const promotion_actions& actions) {
    const auto commit = [=, this](const commit_record& action) {
        const auto response = std::make_shared<commit_response>();
        response->mark = action.record.mark;
        store_call(
            number,
            [=, this] {
                response->outcome = commit_outcome::conflict;
                if (row_.version == action.expected) {
                    const auto version = row_.version.next();
                    row_ = action.record;
                    row_.version = version;
                    response->outcome = commit_outcome::committed;
                    response->version = version;
                    check();
                }
            },
            [=, this] { handle_promotion_event(number, *response); });
    };
    const auto read = [=, this](const read_record&) {
        const auto row = std::make_shared<group_record>();
        store_call(
            number, [=, this] { *row = row_; },
            [=, this] { handle_promotion_event(number, record_read{*row}); });
    };
    const auto seal = [=, this](const seal_instance& action) {
        call(
            number, index_of(action.instance),
            [action](instance& at) {
                const bool active = at.term == action.term && at.role != instance_role::sealed;
                if (action.term > at.term) {
                    at.term = action.term;
                    at.role = instance_role::sealed;
                }
                return seal_response{at.id,   action.term,    !active && at.term == action.term,
                                     at.term, at.last_term(), at.received()};
            },
            [=, this](const seal_response& response) { handle_promotion_event(number, response); });
    };
    const auto promote = [=, this](const promote_instance& action) {
        call(
            number, index_of(action.instance),
            [=, this](instance& at) {
                if (action.term == at.term && at.role == instance_role::sealed) {
                    at.role = instance_role::primary;
                    at.log.push_back({at.term, entry_kind::start, ""});
                    at.start = at.received();
                    // A duplicate message may promote a restarted primary again, which is safe
                    // because its log is still the only one of the term.
                    if (promoted_at_.emplace(at.term, at.id).first->second != at.id) {
                        add_violation(fmt::format("second promotion at term {}", at.term));
                    }
                }
                return promote_response{at.id, action.term,
                                        action.term == at.term && at.role == instance_role::primary,
                                        at.term, at.start};
            },
            [=, this](const promote_response& response) {
                handle_promotion_event(number, response);
            });
    };
    const auto follow = [=, this](const follow_primary& action) {
        perform(number,
                detector_actions{repair_follower{action.instance, action.primary, action.term}});
        handle_promotion_event(number, follow_response{action.instance, action.term});
    };
    for (const auto& action : actions) {
        std::visit(
            overloaded{commit, read, seal, promote, follow,
                       [&](const query_state& a) { probe(number, index_of(a.instance), false); },
                       [&](const promotion_succeeded& a) { on_record(number, a.record); },
                       [](const promotion_failed&) {}},
            action);
    }
}

void group_model::perform(int number, const acknowledgement_actions& actions) {
    const auto confirm = [=, this](const send_confirm& action) {
        call(
            number, index_of(action.instance),
            [](instance& at) {
                return confirm_response{at.id, at.term, at.last_term(), at.received()};
            },
            [=, this](const confirm_response& response) {
                perform(number, hosts_[index(number)].writes->on_confirm(response, now_));
            });
    };
    for (const auto& action : actions) {
        std::visit(overloaded{confirm, [&](const write_resolved& a) { resolve(number, a); }},
                   action);
    }
}

}  // namespace masticgrade::test
