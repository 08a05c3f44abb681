#include "soak_world.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <future>
#include <iostream>

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
/// Of the time until a late call takes effect, the part after it has been accepted.
constexpr milliseconds late_effect{300};
constexpr milliseconds empty_transfer{500};

}  // namespace

soak_world::soak_world(std::size_t hosts) {
    store_ = std::make_unique<http_server>(
        context_.get_executor(), endpoint_address{"127.0.0.1:0"}, http_server_limits{},
        [this](const http_peer&, http_request request) { return answer(std::move(request)); });
    store_->start();
    for (std::size_t i = 0; i < hosts; ++i) {
        store_links_.push_back(std::make_unique<fault_proxy>(context_, store_->port()));
    }
    for (const auto& name : databases_.names()) {
        auto& item = places_.emplace_back();
        item.name = name;
        item.link = std::make_unique<fault_proxy>(context_, databases_.port_of(name));
    }
    databases_.set_promotion_listener([this] { publish_all(); });
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

void soak_world::publish(std::size_t index) {
    auto& item = places_.at(index);
    const auto born = databases_.born(item.name);
    item.sequence = item.born == born ? item.sequence + 1 : 1;
    item.born = born;
    item.listed = true;
    item.last_seen = steady_clock::now();
    const json::object entry{{"service", service},
                             {"address", "127.0.0.1:" + std::to_string(item.link->port())},
                             {"zone", index == 0 ? "north" : "south"},
                             {"version", "v1"},
                             {"slots", 3},
                             {"state", item.draining ? "draining" : "ready"},
                             {"warmup-left-ms", 0},
                             {"db-role", databases_.is_primary(item.name) ? "primary" : "replica"},
                             {"sequence", item.sequence},
                             {"born", born}};
    rows_.put("servers", item.name, json::serialize(entry));
}

void soak_world::remove_entry(place& item) {
    item.listed = false;
    rows_.remove("servers", item.name);
}

bool soak_world::reports(const place& item) const {
    return databases_.is_up(item.name) && !item.cut_off &&
           steady_clock::now() >= item.unlisted_until;
}

asio::awaitable<void> soak_world::keep_entries() {
    for (;;) {
        if (!entries_frozen_) {
            update_entries();
        }
        asio::steady_timer pause{context_, entry_interval};
        co_await pause.async_wait(asio::use_awaitable);
    }
}

void soak_world::update_entries() {
    const auto now = steady_clock::now();
    std::erase_if(lapsing_entries_, [&](const auto& entry) {
        if (now > entry.second) {
            rows_.remove("servers", entry.first);
        }
        return now > entry.second;
    });
    for (std::size_t index = 0; index < places_.size(); ++index) {
        auto& item = places_[index];
        if (reports(item)) {
            publish(index);
        } else if (item.listed && now - item.last_seen > entry_lifetime) {
            remove_entry(item);
        }
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
    if (fault == store_fault::refuse_group_rows && request.target == "/rows-tx" &&
        request.body.find("failover") != std::string::npos) {
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
    for (std::size_t index = 0; index < places_.size(); ++index) {
        if (places_[index].name == target) {
            promotion_calls_.push_back(index);
            if (const auto planned = std::exchange(target_restart_, std::nullopt)) {
                asio::co_spawn(context_, restart_target(index, planned->crash, planned->restart),
                               asio::detached);
            }
        }
    }
    std::cout << "time_ms=" << unix_ms() << " promotion call for " << target << ", fence " << fence
              << std::endl;
    const auto fault = promotion_fault_;
    if (fault == promotion_fault::none) {
        const bool accepted = databases_.promote(target, fence);
        co_return make_json_response({}, accepted ? 200 : 409);
    }
    if (fault == promotion_fault::late) {
        asio::co_spawn(context_, promote_late(target, fence, promotion_delay_), asio::detached);
    }
    asio::steady_timer silence{context_, longer_than_any_deadline};
    co_await silence.async_wait(asio::use_awaitable);
    co_return make_json_response({}, 503);
}

asio::awaitable<void> soak_world::promote_late(std::string target, std::uint64_t fence,
                                               milliseconds delay) {
    ++late_calls_;
    asio::steady_timer pause{context_, std::max(delay - late_effect, milliseconds{0})};
    co_await pause.async_wait(asio::use_awaitable);
    --late_calls_;
    const bool accepted = databases_.promote(target, fence, late_effect);
    std::cout << "time_ms=" << unix_ms() << " late promotion call for " << target << ", fence "
              << fence << (accepted ? " accepted" : " refused") << std::endl;
}

asio::awaitable<void> soak_world::restart_target(std::size_t index, milliseconds crash,
                                                 milliseconds restart) {
    asio::steady_timer pause{context_, crash};
    co_await pause.async_wait(asio::use_awaitable);
    databases_.crash(places_.at(index).name);
    places_.at(index).link->set_fault(link_fault::refuse);
    pause.expires_after(restart);
    co_await pause.async_wait(asio::use_awaitable);
    std::cout << "time_ms=" << unix_ms() << " the target " << places_.at(index).name
              << " starts again empty" << std::endl;
    start_empty(index, empty_transfer, milliseconds{0});
}

void soak_world::publish_all() {
    for (std::size_t index = 0; index < places_.size(); ++index) {
        if (reports(places_[index]) && !entries_frozen_) {
            publish(index);
        }
    }
}

void soak_world::set_store_fault(store_fault fault) {
    run_in_world([&] { store_fault_ = fault; });
}

void soak_world::set_store_link(std::size_t host, link_fault fault) {
    run_in_world([&] { store_links_.at(host)->set_fault(fault); });
}

void soak_world::set_instance_link(std::size_t instance, link_fault fault) {
    run_in_world([&] {
        auto& item = places_.at(instance);
        if (!item.cut_off) {
            item.link->set_fault(fault);
        }
    });
}

void soak_world::set_up(place& item) {
    item.link->set_fault(item.cut_off ? link_fault::cut : link_fault::none);
}

void soak_world::crash_instance(std::size_t instance) {
    run_in_world([&] {
        databases_.crash(places_.at(instance).name);
        places_.at(instance).link->set_fault(link_fault::refuse);
    });
}

std::optional<std::size_t> soak_world::crash_primary() {
    std::optional<std::size_t> result;
    run_in_world([&] {
        for (std::size_t index = 0; index < places_.size() && !result; ++index) {
            auto& item = places_[index];
            if (databases_.is_primary(item.name) && databases_.is_up(item.name)) {
                databases_.crash(item.name);
                item.link->set_fault(link_fault::refuse);
                result = index;
            }
        }
    });
    return result;
}

void soak_world::restart_instance(std::size_t instance) {
    run_in_world([&] {
        auto& item = places_.at(instance);
        if (!databases_.is_up(item.name)) {
            databases_.restart(item.name);
            set_up(item);
        }
    });
}

void soak_world::restart_renamed(std::size_t instance) {
    run_in_world([&] {
        auto& item = places_.at(instance);
        if (!databases_.is_up(item.name)) {
            lapsing_entries_[item.name] = item.last_seen + entry_lifetime;
            follow(item, databases_.restart_renamed(item.name));
        }
    });
}

void soak_world::follow(place& item, std::string successor) {
    item.name = std::move(successor);
    databases_.note(item.name, "cut off from the store and the hosts", item.cut_off);
    item.listed = false;
    item.draining = false;
    item.link->set_target(databases_.port_of(item.name));
    set_up(item);
}

void soak_world::restart_instances() {
    for (std::size_t instance = 0; instance < places_.size(); ++instance) {
        restart_instance(instance);
    }
}

void soak_world::set_deaf(std::size_t instance, bool deaf) {
    run_in_world([&] { databases_.set_deaf(places_.at(instance).name, deaf); });
}

void soak_world::stop_receiving_after(std::size_t instance, std::size_t writes) {
    run_in_world([&] { databases_.stop_receiving_after(places_.at(instance).name, writes); });
}

bool soak_world::has_stopped_receiving() {
    bool result = false;
    run_in_world([&] { result = databases_.has_stopped_receiving(); });
    return result;
}

void soak_world::set_cut_off(std::size_t instance, bool cut_off) {
    run_in_world([&] {
        auto& item = places_.at(instance);
        item.cut_off = cut_off;
        databases_.note(item.name, "cut off from the store and the hosts", cut_off);
        if (databases_.is_up(item.name)) {
            set_up(item);
        }
    });
}

void soak_world::restart_empty(std::size_t instance, milliseconds transfer, milliseconds unlisted) {
    run_in_world([&] { start_empty(instance, transfer, unlisted); });
}

void soak_world::start_empty(std::size_t index, milliseconds transfer, milliseconds unlisted) {
    auto& item = places_.at(index);
    databases_.crash(item.name);
    if (databases_.is_primary(item.name) || !databases_.has_primary()) {
        databases_.restart(item.name);
    } else {
        databases_.restart_empty(item.name, transfer);
        item.unlisted_until = steady_clock::now() + unlisted;
    }
    set_up(item);
}

void soak_world::restart_primary_empty(std::size_t instance) {
    run_in_world([&] {
        auto& item = places_.at(instance);
        databases_.restart_empty_leading(item.name);
        set_up(item);
    });
}

std::size_t soak_world::join(milliseconds transfer, milliseconds unlisted) {
    std::size_t result = 0;
    run_in_world([&] {
        result = places_.size();
        auto& item = places_.emplace_back();
        item.name = databases_.join(transfer);
        item.link = std::make_unique<fault_proxy>(context_, databases_.port_of(item.name));
        item.unlisted_until = steady_clock::now() + unlisted;
    });
    return result;
}

void soak_world::set_entries_frozen(bool frozen) {
    run_in_world([&] { entries_frozen_ = frozen; });
}

void soak_world::restart_next_target_empty(milliseconds crash, milliseconds restart) {
    run_in_world([&] { target_restart_ = target_restart{crash, restart}; });
}

void soak_world::hold_back_resumes(std::size_t instance) {
    run_in_world([&] { databases_.hold_back_resumes(places_.at(instance).name); });
}

std::size_t soak_world::resumes_held_back() {
    std::size_t result = 0;
    run_in_world([&] { result = databases_.resumes_held_back(); });
    return result;
}

std::size_t soak_world::carry_out_resumes() {
    std::size_t result = 0;
    run_in_world([&] { result = databases_.carry_out_resumes(); });
    return result;
}

void soak_world::move(std::size_t instance) {
    run_in_world([&] {
        auto& item = places_.at(instance);
        item.link->set_fault(link_fault::refuse);
        former_links_.push_back(std::move(item.link));
        item.link = std::make_unique<fault_proxy>(context_, databases_.port_of(item.name));
        databases_.note(item.name, "moved", true);
        set_up(item);
    });
}

void soak_world::set_draining(std::size_t instance, bool draining) {
    run_in_world([&] {
        auto& item = places_.at(instance);
        item.draining = draining;
        databases_.note(item.name, "draining", draining);
    });
}

void soak_world::replace(std::size_t instance, milliseconds transfer, milliseconds unlisted) {
    run_in_world([&] {
        auto& item = places_.at(instance);
        remove_entry(item);
        item.unlisted_until = steady_clock::now() + unlisted;
        follow(item, databases_.replace(item.name, transfer));
    });
}

void soak_world::set_promotion_fault(promotion_fault fault, milliseconds delay) {
    run_in_world([&] {
        promotion_fault_ = fault;
        promotion_delay_ = delay;
    });
}

void soak_world::delay_orders(std::optional<milliseconds> delay) {
    run_in_world([&] { databases_.delay_orders(delay); });
}

void soak_world::end_all_faults() {
    run_in_world([&] {
        store_fault_ = store_fault::none;
        promotion_fault_ = promotion_fault::none;
        target_restart_.reset();
        entries_frozen_ = false;
        databases_.stop_holding_back();
        databases_.delay_orders(std::nullopt);
        for (const auto& link : store_links_) {
            link->set_fault(link_fault::none);
        }
        for (auto& item : places_) {
            item.cut_off = false;
            item.draining = false;
            item.unlisted_until = {};
            databases_.set_deaf(item.name, false);
            databases_.note(item.name, "cut off from the store and the hosts", false);
            databases_.note(item.name, "draining", false);
            if (databases_.is_up(item.name)) {
                set_up(item);
            }
        }
    });
    restart_instances();
}

std::optional<std::size_t> soak_world::primary() {
    std::optional<std::size_t> result;
    run_in_world([&] {
        for (std::size_t index = 0; index < places_.size(); ++index) {
            if (databases_.is_primary(places_[index].name)) {
                result = index;
            }
        }
    });
    return result;
}

bool soak_world::is_up(std::size_t instance) {
    bool result = false;
    run_in_world([&] { result = databases_.is_up(places_.at(instance).name); });
    return result;
}

bool soak_world::is_held(std::size_t instance) {
    bool result = false;
    run_in_world([&] { result = databases_.is_held(places_.at(instance).name); });
    return result;
}

bool soak_world::is_listed(std::size_t instance) {
    bool result = false;
    run_in_world([&] { result = places_.at(instance).listed; });
    return result;
}

std::size_t soak_world::missing_writes(std::size_t instance) {
    std::size_t result = 0;
    run_in_world([&] { result = databases_.missing_writes(places_.at(instance).name); });
    return result;
}

std::size_t soak_world::log_size(std::size_t instance) {
    std::size_t result = 0;
    run_in_world([&] { result = databases_.log_size(places_.at(instance).name); });
    return result;
}

std::vector<std::size_t> soak_world::promotion_calls() {
    std::vector<std::size_t> result;
    run_in_world([&] { result = promotion_calls_; });
    return result;
}

std::size_t soak_world::pending_promotions() {
    std::size_t result = 0;
    run_in_world([&] { result = late_calls_ + databases_.pending_promotions(); });
    return result;
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
