#pragma once

#include <algorithm>

#include "database_cluster.hpp"

namespace masticgrade::soak {

inline std::string text_of(log_index index) {
    return std::to_string(index.term.value()) + "." + std::to_string(index.number.value());
}

/// One instance, and after its end what is left of it.
struct database_cluster::instance {
    instance(boost::asio::io_context& context, std::string id)
        : name(std::move(id)),
          acceptor(context, {boost::asio::ip::make_address_v4("127.0.0.1"), 0}) {}

    [[nodiscard]] log_index position() const {
        return log.empty() ? log_index{term_number{1}, log_position{0}} : log.back().index;
    }
    [[nodiscard]] std::string read(const std::string& item) const {
        const auto found = std::find_if(log.rbegin(), log.rend(),
                                        [&](const commit& entry) { return entry.item == item; });
        return found == log.rend() ? "none" : found->value;
    }

    [[nodiscard]] bool has(const std::string& statement) const {
        return std::any_of(log.rbegin(), log.rend(),
                           [&](const commit& entry) { return entry.statement == statement; });
    }
    /// Whether commits of the primary reach it.
    [[nodiscard]] bool receives() const {
        return up && !primary && held == 0 && !deaf && !in_transfer;
    }

    std::string name;
    boost::asio::ip::tcp::acceptor acceptor;
    std::uint64_t born = 0;
    bool up = true;
    bool primary = false;
    bool deaf = false;
    /// The log that it starts with has not arrived in full.
    bool in_transfer = false;
    std::vector<commit> incoming;
    std::uint64_t term = 1;
    std::uint64_t held = 0;
    std::vector<commit> log;
    std::set<std::shared_ptr<boost::asio::ip::tcp::socket>> sockets;
    /// Faults of its surroundings.
    std::set<std::string> notes;
};

}  // namespace masticgrade::soak
