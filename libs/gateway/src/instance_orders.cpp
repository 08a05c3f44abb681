#include "instance_orders.hpp"

#include <utility>

#include "masticgrade/base/error.hpp"
#include "masticgrade/base/event_log.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

constexpr milliseconds request_timeout{500};
/// Shorter, since a dead primary has already been silent for longer than this.
constexpr milliseconds dead_primary_request_timeout{150};
/// An instance that is not in the directory is most likely gone.
constexpr milliseconds unlisted_request_timeout{300};

}  // namespace

instance_orders::instance_orders(std::shared_ptr<backend_group> group,
                                 instance_connector& connector)
    : group_(std::move(group)), connector_(connector) {}

void instance_orders::note_log(const instance_id& instance,
                               const std::optional<instance_status>& status) {
    if (status && !status->is_primary && !instance.empty()) {
        group_->on_log_seen(instance, status->received);
    }
}

asio::awaitable<std::optional<instance_status>> instance_orders::send(
    const instance_id& instance, const backend_request& request) {
    const auto now = steady_clock::now();
    const bool is_dead = group_->primary() == instance && group_->primary_is_dead(now);
    const auto deadline = now + (is_dead ? dead_primary_request_timeout : request_timeout);
    const auto result = co_await send_until(instance, request, deadline);
    co_return result.status;
}

asio::awaitable<instance_orders::order_answer> instance_orders::send_until(
    const instance_id& instance, const backend_request& request, time_point deadline) {
    order_answer result;
    try {
        const auto answer = co_await group_->run_control_request(instance, request, deadline);
        result.status = connector_.read_status(answer);
        result.answered = answer.code != answer_code::wrong_instance;
        note_log(instance, result.status);
        if (!result.status) {
            if (result.answered) {
                group_->on_order_refused(instance);
            }
            event_line{"order_refused"}
                .field("group", group_->name())
                .field("instance", instance)
                .field("code", to_string(answer.code))
                .write();
        }
    } catch (const connection_refused_error& failure) {
        // An instance at its connection limit is alive.
        result.answered = failure.code() != answer_code::wrong_instance;
        if (result.answered) {
            group_->on_order_refused(instance);
        }
        event_line{"order_refused"}
            .field("group", group_->name())
            .field("instance", instance)
            .field("code", to_string(failure.code()))
            .write();
    } catch (const answer_mismatch_error& failure) {
        result.answered = true;
        group_->on_order_refused(instance);
        event_line{"order_failed"}
            .field("group", group_->name())
            .field("instance", instance)
            .field("reason", failure.what())
            .write();
    } catch (const error& failure) {
        event_line{"order_failed"}
            .field("group", group_->name())
            .field("instance", instance)
            .field("reason", failure.what())
            .write();
    }
    co_return result;
}

asio::awaitable<instance_orders::unlisted_answer> instance_orders::send_unlisted(
    const instance_id& instance, const endpoint_address& address, const backend_request& request) {
    unlisted_answer result;
    instance_entry entry;
    entry.id = instance;
    entry.group = group_->name();
    entry.address = address;
    try {
        const auto deadline = steady_clock::now() + unlisted_request_timeout;
        const customer_id nobody{"-"};
        const auto link = co_await connector_.connect(entry, nobody, deadline);
        result.is_running = true;
        std::vector<backend_request> requests{request};
        const auto answers = co_await link->run(std::move(requests), deadline);
        link->close();
        result.status = connector_.read_status(answers.front());
        note_log(instance, result.status);
    } catch (const connection_refused_error& failure) {
        result.has_other_id = failure.code() == answer_code::wrong_instance;
        result.is_running = !result.has_other_id;
    } catch (const error& failure) {
        event_line{"unlisted_instance_silent"}
            .field("group", group_->name())
            .field("instance", instance)
            .field("address", address)
            .field("reason", failure.what())
            .write();
    }
    co_return result;
}

}  // namespace masticgrade
