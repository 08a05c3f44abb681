#include "fleet_state.hpp"

#include <algorithm>
#include <utility>

#include "masticgrade/base/invariant.hpp"
#include "masticgrade/base/log.hpp"
#include "masticgrade/version/snapshot_builder.hpp"

namespace masticgrade {

namespace {

constexpr logger log{"fleet"};

bool same_instances(const group_config& left, const group_config& right) {
    const auto equal = [](const instance_config& a, const instance_config& b) {
        return a.id == b.id && a.address == b.address && a.failure_domain == b.failure_domain;
    };
    return left.max_connections == right.max_connections && left.slots == right.slots &&
           std::equal(left.instances.begin(), left.instances.end(), right.instances.begin(),
                      right.instances.end(), equal);
}

}  // namespace

fleet_state::fleet_state(boost::asio::any_io_executor executor)
    : executor_(std::move(executor)), snapshot_(finalize_snapshot({})) {}

fleet_version fleet_state::apply(const std::vector<table_row>& rows) {
    const std::scoped_lock change_lock{change_mutex_};
    const auto current = snapshot();
    auto update = apply_rows(current, rows);
    for (const auto& rejected : update.rejected) {
        log.error("Rejected a row and kept the previous one key={} version={} reason=\"{}\".",
                  rejected.key, rejected.version, rejected.reason);
    }
    // The first answer of the store is applied even if it holds no rows: this host then creates
    // them.
    if (update.snapshot == current && applied_once_) {
        return current->version;
    }
    applied_once_ = true;
    MG_INVARIANT("fleet version never falls", update.snapshot->version >= current->version,
                 fmt::format("from={} to={}", current->version, update.snapshot->version));
    update_groups(update.snapshot);
    {
        const std::scoped_lock lock{mutex_};
        snapshot_ = update.snapshot;
    }
    log.info("Applied version={} config_version={} members={} groups={}.", update.snapshot->version,
             update.snapshot->config_version, update.snapshot->hosts.hosts.size(),
             update.snapshot->config.groups.size());
    if (on_change_) {
        on_change_(update.snapshot);
    }
    return update.snapshot->version;
}

void fleet_state::set_leaving(std::set<instance_id> leaving) {
    const std::scoped_lock change_lock{change_mutex_};
    {
        const std::scoped_lock lock{mutex_};
        if (leaving_ == leaving) {
            return;
        }
        leaving_ = std::move(leaving);
    }
    const auto all = draining();
    for (const auto& group : groups()) {
        group->set_draining(all);
    }
}

fleet_snapshot_ptr fleet_state::snapshot() const {
    const std::scoped_lock lock{mutex_};
    return snapshot_;
}

std::shared_ptr<group_runtime> fleet_state::group(const group_id& group) const {
    const std::scoped_lock lock{mutex_};
    const auto found = groups_.find(group);
    return found == groups_.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<group_runtime>> fleet_state::groups() const {
    std::vector<std::shared_ptr<group_runtime>> all;
    const std::scoped_lock lock{mutex_};
    for (const auto& [id, group] : groups_) {
        all.push_back(group);
    }
    return all;
}

std::set<instance_id> fleet_state::draining() const {
    const std::scoped_lock lock{mutex_};
    auto all = leaving_;
    all.insert(snapshot_->drained_instances.begin(), snapshot_->drained_instances.end());
    return all;
}

/// Creates the runtimes of new groups, removes those of deleted groups and updates the others.
/// A group whose instances changed gets a new runtime; statements in progress keep the old one.
void fleet_state::update_groups(const fleet_snapshot_ptr& snapshot) {
    std::map<group_id, std::shared_ptr<group_runtime>> next;
    const auto members = snapshot->hosts.hosts.size();
    for (const auto& [id, config] : snapshot->config.groups) {
        auto existing = group(id);
        const bool keep = existing && same_instances(existing->config(), config);
        next[id] = keep ? existing : make_group(config, members);
    }
    std::set<instance_id> draining = snapshot->drained_instances;
    {
        const std::scoped_lock lock{mutex_};
        groups_.swap(next);
        draining.insert(leaving_.begin(), leaving_.end());
    }
    for (const auto& group : groups()) {
        group->on_members(members);
        group->set_draining(draining);
        const auto record = snapshot->groups.find(group->config().name);
        if (record != snapshot->groups.end()) {
            group->on_record(record->second);
        }
    }
}

std::shared_ptr<group_runtime> fleet_state::make_group(const group_config& config,
                                                       std::size_t members) {
    auto group = std::make_shared<group_runtime>(executor_, config, members);
    if (on_reply_) {
        group->set_reply_observer(
            [on_reply = on_reply_, id = config.name](
                const instance_id& instance, const database_reply& reply, time_point sent_at) {
                on_reply(id, instance, reply, sent_at);
            });
    }
    return group;
}

}  // namespace masticgrade
