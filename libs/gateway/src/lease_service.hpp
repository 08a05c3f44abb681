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
#include "message_delay_estimator.hpp"

namespace masticgrade {

/// Dependencies of the lease service.
struct lease_environment {
    boost::asio::any_io_executor executor;
    peer::peer_network& peers;
    std::function<std::shared_ptr<backend_group>(const group_id&)> find_group;
    std::function<std::optional<endpoint_address>(const host_id&)> address_of;
    /// Whether this host grants leases now.
    std::function<bool()> accepts_leases;
    /// Answers a query from the rows that this host has read from the store.
    std::function<row_reply(const row_query&)> answer_row_query;
    /// Uptime of this process.
    std::function<milliseconds()> uptime;
    /// Reads the failover rows again, since another host has changed one.
    std::function<void()> refresh_failovers;
    /// Differs from that of every earlier process of this host.
    incarnation_number incarnation;
    /// Stores the usage totals of another host's process; absent if usage is not accounted for.
    std::function<usage_acknowledgement(const host_id&, incarnation_number, const usage_update&)>
        receive_usage = {};
};

struct group_position_proof {
    group_id group;
    position_proof proof;
};

/// Leases connections to instances to other hosts and from other hosts.
///
/// An instance accepts fewer connections than there are pairs of host and customer, and each
/// connection belongs to one customer. Therefore one host, the instance's pool owner, holds the
/// connections to the instance on behalf of all hosts: operations reach the instance through the
/// pool owner, where they wait in one queue. A host that cannot reach the pool owner opens a few
/// connections of its own.
///
/// Lives as long as the process. Thread safety: none; one executor.
class lease_service : public std::enable_shared_from_this<lease_service> {
public:
    explicit lease_service(lease_environment environment);

    /// Leases a connection to `instance` from its pool owner.
    boost::asio::awaitable<remote_acquire_result> acquire_remote(host_id owner,
                                                                 instance_id instance,
                                                                 group_id group,
                                                                 acquire_request request);
    /// Queries the owner of the primary's pool for a proof of the group's position. The time of the
    /// proof is on this host's clock and counts from before the query was sent. Returns nullopt if
    /// the pool owner has no proof.
    boost::asio::awaitable<std::optional<position_proof>> query_position(host_id owner,
                                                                         group_id group,
                                                                         customer_id customer,
                                                                         time_point deadline);
    /// Queries another host for the newest position proofs that it has of several groups. The times
    /// of the proofs are on this host's clock. Returns nullopt if the host does not answer.
    boost::asio::awaitable<std::optional<std::vector<group_position_proof>>> query_positions(
        host_id host, positions_query query, time_point deadline);
    /// Queries another host for rows that it has read. Returns nullopt if it does not answer.
    boost::asio::awaitable<std::optional<row_reply>> query_rows(host_id host, row_query query,
                                                                time_point deadline);
    /// Tells the host that this host has acquired the failover lock of the group. Returns what the
    /// host has acknowledged if it has confirmed that it stopped using the group's primary.
    boost::asio::awaitable<std::optional<host_acknowledgements>> announce_failover(
        host_id host, failover_begun announcement, time_point deadline);
    /// Asks the host whether it finds the group's primary alive. Returns nullopt if it does not
    /// answer.
    boost::asio::awaitable<std::optional<primary_reply>> query_primary(host_id host,
                                                                       primary_query query,
                                                                       time_point deadline);
    /// Sends usage totals to a collector. Returns nullopt if it does not acknowledge them.
    boost::asio::awaitable<std::optional<usage_acknowledgement>> send_usage(host_id host,
                                                                            usage_update update,
                                                                            time_point deadline);
    /// Tells the host that the outcome of a failover is in the store.
    void announce_recorded(const host_id& host, failover_recorded announcement);
    /// Whether a recent call to the host failed or was refused.
    [[nodiscard]] bool is_unusable(const host_id& host) const;

    void on_report(const host_id& sender, incarnation_number incarnation);
    boost::asio::awaitable<std::optional<peer::message_body>> on_message(peer::envelope message);
    /// Ends leases whose holder is gone. Call at least once a second.
    void tick(time_point now);
    [[nodiscard]] std::size_t active_leases() const { return leases_.size(); }
    [[nodiscard]] std::vector<lease_id> active_lease_ids() const;

    // ---- Used by leased connections ----
    boost::asio::awaitable<run_reply> run(const host_id& owner, run_request steps,
                                          time_point deadline);
    void close(const host_id& owner, lease_id lease);

private:
    struct granted_lease {
        host_id holder;
        incarnation_number incarnation;
        std::optional<connection_lease> connection;
        session_context context;
        time_point last_used;
        bool busy = false;
    };

    boost::asio::awaitable<lease_reply> grant(const peer::envelope& message, lease_request call);
    boost::asio::awaitable<run_reply> run_on_lease(const peer::envelope& message, run_request call);
    /// An id that no other process of this host has granted. Borrowers are not told when a pool
    /// owner restarts, so their next call may carry an id of the earlier process.
    lease_id next_lease_id();
    /// The lease, if the process that sent the message holds it.
    granted_lease* find_lease(lease_id lease, const peer::envelope& message);
    failover_confirmed confirm_failover(const failover_begun& call);
    boost::asio::awaitable<position_reply> answer_position_query(position_query call);
    positions_reply answer_positions_query(const positions_query& call);
    /// Measures the offset between the clocks of the sender and this host.
    boost::asio::awaitable<void> measure_delay(host_id sender, incarnation_number incarnation);
    boost::asio::awaitable<lease_message> exchange(const host_id& host, lease_payload request,
                                                   time_point deadline);
    /// As `exchange`, returns the payload of the reply.
    boost::asio::awaitable<lease_payload> call(const host_id& host, lease_payload request,
                                               time_point deadline);
    [[nodiscard]] peer::service_message make_message(lease_payload call) const;

    lease_environment environment_;
    message_delay_estimator delays_;
    std::map<lease_id, granted_lease> leases_;
    std::uint64_t granted_leases_ = 0;
    std::map<host_id, time_point> unusable_until_;
    std::map<host_id, incarnation_number> measuring_;
    /// The last reported process of each host.
    std::map<host_id, incarnation_number> incarnations_;
};

}  // namespace masticgrade
