#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "masticgrade/base/time.hpp"

namespace masticgrade::standins {

/// The rows of the table service. Thread safety: one thread.
class table_store {
public:
    using row_versions = std::vector<std::pair<std::string, std::uint64_t>>;
    struct commit_outcome {
        bool committed = false;
        std::uint64_t version = 0;
        row_versions conflicts;
    };

    /// Puts all rows at one new version when every condition holds, otherwise none.
    commit_outcome commit(const row_versions& conditions,
                          const std::vector<std::pair<std::string, boost::json::value>>& puts);

    /// The rows below the prefix that changed after a version. The version of the answer is the
    /// highest of all rows below the prefix, changed or not.
    [[nodiscard]] boost::json::object scan(const std::string& prefix,
                                           std::uint64_t modified_after) const;
    /// All commits in order, for a checker.
    [[nodiscard]] const boost::json::array& history() const noexcept { return history_; }

private:
    struct row {
        std::uint64_t version = 0;
        boost::json::value value;
    };
    [[nodiscard]] std::uint64_t version_of(const std::string& key) const;

    std::uint64_t version_ = 0;
    std::map<std::string, row> rows_;
    boost::json::array history_;
};

/// A list that readers see some time after it was set. Thread safety: one thread.
class lagging_list {
public:
    void set(boost::json::array list, time_point now);
    /// The newest list that was set at least `lag` ago, or the first one.
    [[nodiscard]] const boost::json::array& at(time_point now, duration lag) const;
    [[nodiscard]] const boost::json::array& newest() const;

private:
    static constexpr std::size_t kept_lists = 1000;
    std::deque<std::pair<time_point, boost::json::array>> lists_;
};

}  // namespace masticgrade::standins
