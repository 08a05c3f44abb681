#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

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
    /// A caller was told that this write is kept.
    void acknowledge(const std::string& write) {
        const std::scoped_lock lock{mutex_};
        acknowledged_.insert(write);
    }
    [[nodiscard]] std::set<std::string> acknowledged() const {
        const std::scoped_lock lock{mutex_};
        return acknowledged_;
    }

private:
    mutable std::mutex mutex_;
    std::map<std::string, statement> statements_;
    std::set<std::string> acknowledged_;
};

/// Whether the id is that of a statement in a caller's transaction.
inline bool is_in_transaction(const std::string& id) { return id.find("-t") != std::string::npos; }
/// The part of an id that all statements of a transaction share; a single statement is one itself.
inline std::string transaction_of(const std::string& id) {
    return is_in_transaction(id) ? id.substr(0, id.rfind('-')) : id;
}

}  // namespace masticgrade::soak
