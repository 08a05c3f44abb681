#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>

#include "backend_group.hpp"

namespace masticgrade {

/// Sends control requests to the instances of a group and logs those that fail.
///
/// Lives as long as the process. Thread safety: none; one executor.
class instance_orders {
public:
    /// Precondition: `connector` outlives this object.
    instance_orders(std::shared_ptr<backend_group> group, instance_connector& connector);

    struct order_answer {
        /// Whether the instance has executed or refused the request. A refusal because of its id is
        /// no answer: the address belongs to another instance.
        bool answered = false;
        /// Its status, if it has executed the request.
        std::optional<instance_status> status;
    };
    /// Precondition: `request` is a status, hold, resume or step-down request.
    boost::asio::awaitable<order_answer> send_until(const instance_id& instance,
                                                    const backend_request& request,
                                                    time_point deadline);
    /// As `send_until` with a deadline that is earlier for a primary that is dead. Returns the
    /// status in the answer, or nullopt if the instance refuses or does not answer in time.
    boost::asio::awaitable<std::optional<instance_status>> send(const instance_id& instance,
                                                                const backend_request& request);

    struct unlisted_answer {
        /// Whether the instance accepts connections, or refuses them for another reason than its
        /// id.
        bool is_running = false;
        /// Another instance has the address.
        bool has_other_id = false;
        /// Its status, if it has executed the request.
        std::optional<instance_status> status;
    };
    /// As `send`, to an instance that is not in the directory; it may only be cut off from the
    /// store. With an empty id, to any instance of the group at the address.
    boost::asio::awaitable<unlisted_answer> send_unlisted(const instance_id& instance,
                                                          const endpoint_address& address,
                                                          const backend_request& request);

private:
    void note_log(const instance_id& instance, const std::optional<instance_status>& status);

    std::shared_ptr<backend_group> group_;
    instance_connector& connector_;
};

}  // namespace masticgrade
