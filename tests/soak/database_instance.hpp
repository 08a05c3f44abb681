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

    /// A promotion enters its term into the log, and the number stays.
    [[nodiscard]] log_index position() const {
        return {term_number{term}, log.empty() ? log_position{0} : log.back().index.number};
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
    /// Whether the other log continues this one.
    [[nodiscard]] bool is_behind(const instance& other) const {
        const auto size = log.size();
        return size <= other.log.size() &&
               (size == 0 || log.back().statement == other.log[size - 1].statement);
    }
    /// Whether it is being rolled back.
    [[nodiscard]] bool is_busy() const { return steady_clock::now() < busy_until; }
    /// Whether commits of the primary reach it.
    [[nodiscard]] bool receives() const {
        return up && !primary && held == 0 && !deaf && !in_transfer && !is_busy();
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
    /// It leads on with an empty log.
    bool has_lost_log = false;
    time_point busy_until{};
    std::uint64_t term = 1;
    std::uint64_t held = 0;
    std::vector<commit> log;
    std::set<std::shared_ptr<boost::asio::ip::tcp::socket>> sockets;
    /// Faults of its surroundings.
    std::set<std::string> notes;
};

}  // namespace masticgrade::soak
