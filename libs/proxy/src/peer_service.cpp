#include "peer_service.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "masticgrade/base/error.hpp"
#include "masticgrade/base/log.hpp"
#include "masticgrade/peer/codec.hpp"
#include "masticgrade/version/snapshot_builder.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

constexpr logger log{"peer"};

constexpr milliseconds message_timeout{1000};
constexpr milliseconds rows_timeout{1000};
/// Size limit for the rows of one reply; leaves room for the field names and the frame header.
constexpr std::size_t rows_reply_bytes = peer::max_payload_size / 2;

template <class... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

bool is_share_message(const peer::message_body& body) {
    return std::visit(
        [](const auto& value) { return std::is_constructible_v<share_message, decltype(value)>; },
        body);
}

share_message to_share_message(const peer::message_body& body) {
    return std::visit(
        [](const auto& value) -> share_message {
            if constexpr (std::is_constructible_v<share_message, decltype(value)>) {
                return value;
            } else {
                throw error("peer", "", "not a rate share message");
            }
        },
        body);
}

}  // namespace

peer_service::peer_service(asio::any_io_executor executor, peer::network_options options,
                           std::shared_ptr<fleet_state> fleet, handlers callbacks)
    : fleet_(std::move(fleet)),
      handlers_(std::move(callbacks)),
      self_(options.sender),
      network_(std::move(executor), std::move(options),
               [this](peer::envelope message) { return handle(std::move(message)); }) {}

void peer_service::set_identity(incarnation_number incarnation, fleet_version members_version) {
    network_.set_identity(incarnation, members_version);
}

asio::awaitable<peer::envelope> peer_service::request(endpoint_address address,
                                                      peer::message_body body,
                                                      time_point deadline) {
    return network_.request(std::move(address), std::move(body), deadline);
}

void peer_service::send(const host_id& recipient, peer::message_body body,
                        std::optional<peer::message_identity> identity) {
    const auto snapshot = fleet_->snapshot();
    const auto found = snapshot->hosts.hosts.find(recipient);
    if (found != snapshot->hosts.hosts.end()) {
        network_.send(found->second.peer_address, std::move(body),
                      steady_clock::now() + message_timeout, identity);
    }
}

void peer_service::send_share_message(share_envelope envelope) {
    auto body =
        std::visit([](auto& value) { return peer::message_body{std::move(value)}; }, envelope.body);
    send(envelope.recipient, std::move(body),
         peer::message_identity{envelope.sender_incarnation, envelope.members_version,
                                envelope.recipient_incarnation});
}

asio::awaitable<bool> peer_service::fetch_rows(endpoint_address address) {
    for (;;) {
        const auto known = fleet_->snapshot()->version;
        peer::envelope reply;
        try {
            reply = co_await network_.request(address, peer::rows_request{known},
                                              steady_clock::now() + rows_timeout);
        } catch (const error& failure) {
            log.debug("Fetching rows failed peer={} reason=\"{}\".", address, failure.what());
            co_return false;
        }
        const auto* rows = std::get_if<peer::rows_reply>(&reply.body);
        if (rows == nullptr || rows->rows.empty()) {
            co_return rows != nullptr;
        }
        std::vector<table_row> received;
        for (const auto& row : rows->rows) {
            received.push_back({row.key, row.version, row.value});
        }
        const auto applied = fleet_->apply(received);
        log.info("Applied rows received from a peer peer={} version={}.", reply.sender, applied);
        if (rows->complete || applied <= known) {
            co_return true;
        }
    }
}

asio::awaitable<std::optional<peer::message_body>> peer_service::handle(peer::envelope message) {
    handlers_.on_any_message(message);
    if (is_share_message(message.body)) {
        handlers_.on_share_message({message.sender, message.incarnation, self_,
                                    message.recipient_incarnation, message.members_version,
                                    to_share_message(message.body)});
        co_return std::nullopt;
    }
    if (std::holds_alternative<peer::exchange_request>(message.body)) {
        co_return handlers_.on_exchange(message);
    }
    if (const auto* request = std::get_if<peer::rows_request>(&message.body)) {
        co_return rows_after(request->modified_after);
    }
    if (const auto* report = std::get_if<peer::suspect_report>(&message.body)) {
        handlers_.on_suspicion(message.sender, *report);
    }
    co_return std::nullopt;
}

peer::rows_reply peer_service::rows_after(fleet_version version) const {
    const auto snapshot = fleet_->snapshot();
    auto rows = rows_modified_after(*snapshot, version);
    std::sort(rows.begin(), rows.end(), [](const table_row& left, const table_row& right) {
        return left.version < right.version;
    });
    peer::rows_reply reply;
    reply.version = snapshot->version;
    std::size_t bytes = 0;
    for (auto& row : rows) {
        bytes += row.key.size() + row.value.size();
        // Rows of one version are sent together, because the receiver next requests only rows with
        // a version above the last one.
        const bool same_version = !reply.rows.empty() && reply.rows.back().version == row.version;
        if (bytes > rows_reply_bytes && !reply.rows.empty() && !same_version) {
            reply.complete = false;
            reply.version = reply.rows.back().version;
            break;
        }
        reply.rows.push_back({std::move(row.key), row.version, std::move(row.value)});
    }
    return reply;
}

}  // namespace masticgrade
