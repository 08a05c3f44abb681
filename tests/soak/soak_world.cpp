#include "soak_world.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <future>

namespace masticgrade::soak {

namespace asio = boost::asio;
namespace json = boost::json;
using edge_test::make_json_response;

namespace {

const std::string service = "ledger";
constexpr milliseconds entry_interval{400};
/// An entry ends after this time of silence, as on the platform.
constexpr milliseconds entry_lifetime{1200};
constexpr milliseconds slow_answer{600};
constexpr seconds longer_than_any_deadline{5};

}  // namespace

soak_world::soak_world(std::size_t hosts) : names_(databases_.names()) {
    store_ = std::make_unique<http_server>(
        context_.get_executor(), endpoint_address{"127.0.0.1:0"}, http_server_limits{},
        [this](const http_peer&, http_request request) { return answer(std::move(request)); });
    store_->start();
    for (std::size_t i = 0; i < hosts; ++i) {
        store_links_.push_back(std::make_unique<fault_proxy>(context_, store_->port()));
    }
    for (const auto& name : names_) {
        instance_links_.push_back(
            std::make_unique<fault_proxy>(context_, databases_.port_of(name)));
    }
    asio::co_spawn(context_, keep_entries(), asio::detached);
    thread_ = std::thread{[this] { context_.run(); }};
}

soak_world::~soak_world() {
    context_.stop();
    thread_.join();
}

unsigned short soak_world::store_port(std::size_t index) const {
    return store_links_.at(index)->port();
}

void soak_world::run_in_world(const std::function<void()>& action) {
    std::promise<void> done;
    asio::post(context_, [&] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

void soak_world::configure(std::vector<soak_customer> customers) {
    run_in_world([&] {
        json::array routes;
        for (const auto* type : {"primary", "bounded", "read_own"}) {
            routes.push_back(json::object{{"name", type},
                                          {"database", std::string{"db-"} + type},
                                          {"type", type},
                                          {"service", service},
                                          {"timeout-ms", 1500},
                                          {"target-latency-ms", 400},
                                          {"max-staleness-ms", 2500},
                                          {"priority", 1},
                                          {"public", false}});
        }
        json::array tenants;
        const auto now = steady_clock::now();
        for (const auto& customer : customers) {
            json::array keys;
            if (!customer.withdrawn) {
                keys.emplace_back(customer.key);
            }
            tenants.push_back(json::object{{"name", customer.name},
                                           {"api-keys", keys},
                                           {"rate-per-s", customer.rate},
                                           {"burst", customer.burst}});
            databases_.set_limit(customer.name, customer.rate, customer.burst);
            databases_.withdraw(customer.name,
                                customer.withdrawn ? now + revocation_bound : time_point::max());
        }
        const json::object document{
            {"version", ++configuration_version_},
            {"routes", routes},
            {"services", json::array{json::object{{"name", service}, {"max-connections", 20}}}},
            {"limits", json::object{{"tx-idle-ms", 3000}}},
            {"tenants", tenants}};
        rows_.put("op", "config", json::serialize(document));
    });
}

void soak_world::publish(const std::string& name) {
    const auto index =
        static_cast<std::size_t>(std::find(names_.begin(), names_.end(), name) - names_.begin());
    const json::object entry{
        {"service", service},
        {"address", "127.0.0.1:" + std::to_string(instance_links_.at(index)->port())},
        {"zone", index == 0 ? "north" : "south"},
        {"version", "v1"},
        {"slots", 3},
        {"state", "ready"},
        {"warmup-left-ms", 0},
        {"db-role", databases_.is_primary(name) ? "primary" : "replica"},
        {"sequence", rows_.version()},
        {"born", 1}};
    rows_.put("servers", name, json::serialize(entry));
}

asio::awaitable<void> soak_world::keep_entries() {
    for (;;) {
        const auto now = steady_clock::now();
        for (const auto& name : names_) {
            if (databases_.is_up(name)) {
                publish(name);
                last_seen_[name] = now;
            } else if (now - last_seen_[name] > entry_lifetime) {
                rows_.remove("servers", name);
            }
        }
        asio::steady_timer pause{context_, entry_interval};
        co_await pause.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<http_response> soak_world::answer(http_request request) {
    if (request.target == "/promote") {
        co_return co_await promote(std::move(request));
    }
    const auto pause_for = [&](duration length) -> asio::awaitable<void> {
        asio::steady_timer pause{context_, length};
        co_await pause.async_wait(asio::use_awaitable);
    };
    const auto fault = store_fault_;
    if (fault == store_fault::refuse) {
        co_return make_json_response({}, 503);
    }
    if (fault == store_fault::silent) {
        co_await pause_for(longer_than_any_deadline);
        co_return make_json_response({}, 503);
    }
    if (fault == store_fault::slow) {
        co_await pause_for(slow_answer);
    }
    auto response = rows_.answer(request);
    if (fault == store_fault::lose_answers && request.target == "/rows-tx") {
        co_await pause_for(longer_than_any_deadline);
    }
    co_return response;
}

asio::awaitable<http_response> soak_world::promote(http_request request) {
    const auto order = json::parse(request.body).as_object();
    const auto fence_field = request.headers.find("X-Masticgrade-Fence-Token");
    const std::uint64_t fence = fence_field ? std::stoull(std::string{*fence_field}) : 0;
    const std::string target{order.at("id").as_string()};
    const bool done = co_await databases_.promote(target, fence);
    for (const auto& name : names_) {
        if (databases_.is_up(name)) {
            publish(name);
        }
    }
    co_return make_json_response({}, done ? 200 : 409);
}

void soak_world::set_store_fault(store_fault fault) {
    run_in_world([&] { store_fault_ = fault; });
}

void soak_world::set_store_link(std::size_t host, link_fault fault) {
    run_in_world([&] { store_links_.at(host)->set_fault(fault); });
}

void soak_world::set_instance_link(std::size_t instance, link_fault fault) {
    run_in_world([&] { instance_links_.at(instance)->set_fault(fault); });
}

void soak_world::crash_instance(std::size_t instance) {
    run_in_world([&] {
        databases_.crash(names_.at(instance));
        instance_links_.at(instance)->set_fault(link_fault::refuse);
    });
}

void soak_world::crash_primary() {
    run_in_world([&] {
        for (std::size_t i = 0; i < names_.size(); ++i) {
            if (databases_.is_primary(names_[i]) && databases_.is_up(names_[i])) {
                databases_.crash(names_[i]);
                instance_links_[i]->set_fault(link_fault::refuse);
                return;
            }
        }
    });
}

void soak_world::restart_instances() {
    run_in_world([&] {
        for (std::size_t i = 0; i < names_.size(); ++i) {
            if (!databases_.is_up(names_[i])) {
                databases_.restart(names_[i]);
                instance_links_[i]->set_fault(link_fault::none);
            }
        }
    });
}

void soak_world::end_all_faults() {
    restart_instances();
    run_in_world([&] {
        store_fault_ = store_fault::none;
        for (const auto& link : store_links_) {
            link->set_fault(link_fault::none);
        }
        for (const auto& link : instance_links_) {
            link->set_fault(link_fault::none);
        }
    });
}

void soak_world::repeat_answers(double share, std::uint64_t seed) {
    run_in_world([&] { databases_.repeat_answers(share, seed); });
}

void soak_world::check_acknowledged() {
    run_in_world([&] { databases_.check_acknowledged(); });
}

std::size_t soak_world::repeated() {
    std::size_t result = 0;
    run_in_world([&] { result = databases_.repeated(); });
    return result;
}

std::vector<std::string> soak_world::violations() {
    std::vector<std::string> result;
    run_in_world([&] { result = databases_.violations(); });
    return result;
}

std::size_t soak_world::promotions() {
    std::size_t result = 0;
    run_in_world([&] { result = databases_.promotions(); });
    return result;
}

std::size_t soak_world::statements() {
    std::size_t result = 0;
    run_in_world([&] { result = databases_.statements(); });
    return result;
}

}  // namespace masticgrade::soak
