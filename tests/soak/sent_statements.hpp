#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "masticgrade/base/time.hpp"

namespace masticgrade::soak {

/// What callers have sent and what they were told, to be compared with what runs on instances.
/// Thread safety: any thread.
class sent_statements {
public:
    struct statement {
        std::string text;
        /// The value that the session has set, and the shape of its prepared statement; empty if
        /// the session has none.
        std::string context;
    };

    void add(const std::string& id, statement sent) {
        const std::scoped_lock lock{mutex_};
        statements_[id] = std::move(sent);
    }
    [[nodiscard]] std::optional<statement> find(const std::string& id) const {
        const std::scoped_lock lock{mutex_};
        const auto found = statements_.find(id);
        return found == statements_.end() ? std::nullopt : std::optional{found->second};
    }
    /// The host has told a caller that this write is kept.
    void acknowledge(const std::string& write, std::size_t host) {
        const std::scoped_lock lock{mutex_};
        acknowledged_.insert(write);
        acknowledged_at_[host] = steady_clock::now();
    }
    /// Hosts that have acknowledged a write since then.
    [[nodiscard]] std::set<std::size_t> acknowledging_hosts(time_point since) const {
        const std::scoped_lock lock{mutex_};
        std::set<std::size_t> result;
        for (const auto& [host, moment] : acknowledged_at_) {
            if (moment >= since) {
                result.insert(host);
            }
        }
        return result;
    }
    [[nodiscard]] std::set<std::string> acknowledged() const {
        const std::scoped_lock lock{mutex_};
        return acknowledged_;
    }

private:
    mutable std::mutex mutex_;
    std::map<std::string, statement> statements_;
    std::set<std::string> acknowledged_;
    std::map<std::size_t, time_point> acknowledged_at_;
};

/// Whether the id is that of a statement in a caller's transaction.
inline bool is_in_transaction(const std::string& id) { return id.find("-t") != std::string::npos; }
/// The part of an id that all statements of a transaction share; a single statement is one itself.
inline std::string transaction_of(const std::string& id) {
    return is_in_transaction(id) ? id.substr(0, id.rfind('-')) : id;
}

}  // namespace masticgrade::soak
