#include "admin_api.hpp"

#include <boost/json.hpp>
#include <utility>

#include "masticgrade/base/invariant.hpp"

namespace masticgrade {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

http_response json_response(unsigned status, const json::value& body) {
    http_response response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}

json::object describe(const instance_view& view, const group_runtime& group) {
    json::object described{{"id", view.id.str()},
                           {"failure_domain", view.failure_domain.str()},
                           {"reachable", view.reachable},
                           {"draining", view.draining},
                           {"term", view.term.value()},
                           {"applied_position", view.applied.value()},
                           {"outstanding", view.outstanding},
                           {"connections", group.link(view.id).open_connections()}};
    if (view.staleness) {
        described["staleness_ms"] = view.staleness->count();
    }
    return described;
}

json::object describe(const group_runtime& group, time_point now) {
    const auto record = group.record();
    json::array instances;
    for (const auto& view : group.views(now)) {
        instances.push_back(describe(view, group));
    }
    return {{"name", group.config().name.str()},
            {"term", record.term.value()},
            {"primary", record.primary.str()},
            {"phase", record.phase == group_phase::active ? "active" : "sealing"},
            {"start_position", record.start_position.value()},
            {"coordinator", record.coordinator.str()},
            {"version", record.version.value()},
            {"instances", std::move(instances)}};
}

template <class Ids>
json::array names(const Ids& ids) {
    json::array texts;
    for (const auto& id : ids) {
        texts.push_back(json::string{id.str()});
    }
    return texts;
}

}  // namespace

asio::awaitable<http_response> admin_api::handle(const http_peer&, http_request request) {
    if (auto health = check_health(request)) {
        co_return std::move(*health);
    }
    if (request.method == "GET" && request.target == "/metrics") {
        co_return metrics();
    }
    if (request.method == "GET" && request.target == "/admin/v1/status") {
        co_return status();
    }
    co_return json_response(404, json::object{{"reason", "there is no such path for this method"}});
}

std::optional<http_response> admin_api::check_health(const http_request& request) const {
    if (request.method != "GET") {
        return std::nullopt;
    }
    if (request.target == "/healthz") {
        return json_response(200, json::object{{"status", "alive"}});
    }
    if (request.target != "/readyz") {
        return std::nullopt;
    }
    if (const auto reason = dependencies_.not_ready_reason()) {
        return json_response(503, json::object{{"status", "not ready"}, {"reason", *reason}});
    }
    return json_response(200, json::object{{"status", "ready"}});
}

http_response admin_api::status() const {
    const auto now = steady_clock::now();
    const auto snapshot = dependencies_.fleet->snapshot();
    json::array members;
    const auto versions = dependencies_.member_versions();
    for (const auto& [id, host] : snapshot->hosts.hosts) {
        const auto known = versions.find(id);
        members.push_back({{"id", id.str()},
                           {"failure_domain", host.failure_domain.str()},
                           {"incarnation", host.incarnation.value()},
                           {"version", known == versions.end() ? 0 : known->second.value()}});
    }
    json::array customers;
    for (const auto& [name, customer] : snapshot->config.customers) {
        const auto held = dependencies_.held_share(name);
        customers.push_back({{"name", name.str()},
                             {"rate", customer.rate},
                             {"burst", customer.burst},
                             {"held_rate", held.rate * customer.rate},
                             {"held_burst", held.burst * customer.burst}});
    }
    json::array groups;
    for (const auto& group : dependencies_.fleet->groups()) {
        groups.push_back(describe(*group, now));
    }
    const auto refusal = dependencies_.new_work_refusal();
    json::object body{{"host", dependencies_.host.str()},
                      {"failure_domain", dependencies_.failure_domain.str()},
                      {"version", snapshot->version.value()},
                      {"config_version", snapshot->config_version.value()},
                      {"members_version", snapshot->hosts.version.value()},
                      {"may_start_work", !refusal.has_value()},
                      {"reason", refusal.value_or("")},
                      {"members", std::move(members)},
                      {"customers", std::move(customers)},
                      {"groups", std::move(groups)},
                      {"drained_domains", names(snapshot->ops.drained_domains)},
                      {"drained_servers", names(dependencies_.fleet->draining())},
                      {"open_transactions", dependencies_.transactions->open()},
                      {"invariant_violations", invariant_violations()}};
    return json_response(200, body);
}

http_response admin_api::metrics() const {
    const auto snapshot = dependencies_.fleet->snapshot();
    auto& metrics = *dependencies_.metrics;
    metrics.set_gauge("masticgrade_fleet_version", "Fleet version in force on this host.",
                      static_cast<double>(snapshot->version.value()));
    metrics.set_gauge("masticgrade_config_version", "Configuration version in force on this host.",
                      static_cast<double>(snapshot->config_version.value()));
    metrics.set_gauge("masticgrade_invariant_violations",
                      "Invariant violations since the process started.",
                      static_cast<double>(invariant_violations()));
    metrics.set_gauge("masticgrade_open_transactions", "Open transactions of callers.",
                      static_cast<double>(dependencies_.transactions->open()));
    http_response response;
    response.content_type = "text/plain; version=0.0.4";
    response.body = metrics.scrape();
    return response;
}

}  // namespace masticgrade
