#include "table_store.hpp"

#include <algorithm>

namespace masticgrade::standins {

namespace json = boost::json;

std::uint64_t table_store::version_of(const std::string& key) const {
    const auto found = rows_.find(key);
    return found == rows_.end() ? 0 : found->second.version;
}

table_store::commit_outcome table_store::commit(
    const row_versions& conditions, const std::vector<std::pair<std::string, json::value>>& puts) {
    commit_outcome outcome;
    for (const auto& [key, version] : conditions) {
        if (version_of(key) != version) {
            outcome.conflicts.emplace_back(key, version_of(key));
        }
    }
    if (!outcome.conflicts.empty()) {
        return outcome;
    }
    ++version_;
    json::array changed;
    for (const auto& [key, value] : puts) {
        rows_[key] = {version_, value};
        changed.push_back(json::object{{"key", key}, {"value", value}});
    }
    history_.push_back(json::object{{"version", version_}, {"puts", std::move(changed)}});
    outcome.committed = true;
    outcome.version = version_;
    return outcome;
}

json::object table_store::scan(const std::string& prefix, std::uint64_t modified_after) const {
    json::array rows;
    std::uint64_t highest = 0;
    for (auto row = rows_.lower_bound(prefix); row != rows_.end() && row->first.starts_with(prefix);
         ++row) {
        highest = std::max(highest, row->second.version);
        if (row->second.version > modified_after) {
            rows.push_back(json::object{{"key", row->first},
                                        {"version", row->second.version},
                                        {"value", row->second.value}});
        }
    }
    return {{"version", highest}, {"rows", std::move(rows)}};
}

void lagging_list::set(json::array list, time_point now) {
    lists_.emplace_back(now, std::move(list));
    if (lists_.size() > kept_lists) {
        lists_.pop_front();
    }
}

const json::array& lagging_list::at(time_point now, duration lag) const {
    const auto newest_visible = std::find_if(
        lists_.rbegin(), lists_.rend(), [&](const auto& list) { return list.first + lag <= now; });
    return newest_visible == lists_.rend() ? lists_.front().second : newest_visible->second;
}

const json::array& lagging_list::newest() const { return lists_.back().second; }

}  // namespace masticgrade::standins
