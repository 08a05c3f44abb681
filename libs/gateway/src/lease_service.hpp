#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "backend_group.hpp"
#include "lease_messages.hpp"
#include "masticgrade/peer/peer_network.hpp"
#include "message_delays.hpp"

namespace masticgrade {

/// What the lending of connections needs from the process.
struct lease_environment {
    boost::asio::any_io_executor executor;
    peer::peer_network& peers;
    std::function<std::shared_ptr<backend_group>(const group_id&)> find_group;
    std::function<std::optional<endpoint_address>(const host_id&)> address_of;
    /// Whether this host lends connections now.
    std::function<bool()> accepts;
    /// What this host has read of the store.
    std::function<rows_told(const ask_rows&)> tell_rows;
    /// The age of this process.
    std::function<milliseconds()> uptime;
};

/// Lends connections to instances to other hosts, and borrows theirs.
///
/// An instance accepts fewer connections than there are pairs of host and customer, and each
/// connection belongs to one customer. So one host, the instance's home, uses its connections for
/// all: an operation reaches the instance through the home, where all operations for the instance
/// wait in one queue. A host that cannot reach the home uses a few connections of its own.
///
/// Lives as long as the process. Thread safety: none; one executor.
class lease_service : public std::enable_shared_from_this<lease_service> {
public:
    explicit lease_service(lease_environment environment);

    /// Borrows a connection to `instance` from `home`.
    boost::asio::awaitable<remote_acquire_result> borrow(host_id home, instance_id instance,
                                                         group_id group, acquire_request request);
    /// Asks `home` for a proof of the group's position. The proof's time is this host's own,
    /// counted from before the question was sent. Nothing when the home has none.
    boost::asio::awaitable<std::optional<position_proof>> request_position(host_id home,
                                                                           group_id group,
                                                                           customer_id customer,
                                                                           time_point deadline);
    /// Asks another host for rows that it has read; nothing when it does not answer.
    boost::asio::awaitable<std::optional<rows_told>> ask_for_rows(host_id host, ask_rows question,
                                                                  time_point deadline);
    /// Whether the host failed to answer of late.
    [[nodiscard]] bool is_unusable(const host_id& home) const;

    void on_report(const host_id& sender, incarnation_number incarnation);
    boost::asio::awaitable<std::optional<peer::message_body>> on_message(peer::envelope message);
    /// Ends leases whose borrower is gone. Call about once a second or more often.
    void tick(time_point now);
    [[nodiscard]] std::size_t lent() const { return leases_.size(); }

    // ---- what borrowed connections need ----
    boost::asio::awaitable<steps_run> run(const host_id& home, run_steps steps,
                                          time_point deadline);
    void close(const host_id& home, lease_number lease);

private:
    struct lent_connection {
        host_id borrower;
        incarnation_number incarnation;
        std::optional<connection_lease> connection;
        session_context context;
        time_point last_used;
        bool busy = false;
    };

    boost::asio::awaitable<lease_opened> lend(const peer::envelope& message, open_lease call);
    boost::asio::awaitable<steps_run> run_lent(run_steps call);
    boost::asio::awaitable<position_told> tell_position(ask_position call);
    /// Learns the difference between the clocks of two hosts.
    boost::asio::awaitable<void> learn_delay(host_id sender, incarnation_number incarnation);
    boost::asio::awaitable<lease_call> call(const host_id& home, lease_call request,
                                            time_point deadline);
    [[nodiscard]] peer::service_message pack(lease_call call) const;

    lease_environment environment_;
    message_delays delays_;
    std::map<lease_number, lent_connection> leases_;
    std::uint64_t last_lease_ = 0;
    std::map<host_id, time_point> unusable_until_;
    std::map<host_id, incarnation_number> learning_;
};

}  // namespace masticgrade
