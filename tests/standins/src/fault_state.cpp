#include "fault_state.hpp"

#include <stdexcept>

namespace masticgrade::standins {

namespace json = boost::json;

namespace {

constexpr std::uint64_t largest_value = 1'000'000'000;

std::uint64_t value_of(const json::object& request, bool on) {
    const auto* value = request.if_contains("value");
    if (!on || value == nullptr) {
        return 0;
    }
    const auto number = value->to_number<std::uint64_t>();
    if (number > largest_value) {
        throw std::invalid_argument("the value is too large");
    }
    return number;
}

}  // namespace

void apply_fault(fault_state& faults, const json::object& request) {
    const std::string name(request.at("fault").as_string());
    const bool on = request.at("on").as_bool();
    const auto value = value_of(request, on);
    const milliseconds length{static_cast<milliseconds::rep>(value)};
    if (name == "down") {
        faults.down = on;
    } else if (name == "slow") {
        faults.slow = length;
    } else if (name == "lose_answers") {
        faults.lose_answers = value;
    } else if (name == "lose_failover_answers") {
        faults.lose_failover_answers = value;
    } else if (name == "isolated") {
        faults.isolated = on;
        faults.clients_pass = value != 0;
    } else if (name == "leaving") {
        faults.leaving = on;
    } else if (name == "receive_delay_ms") {
        faults.receive_delay = length;
    } else if (name == "apply_lag_ms") {
        faults.apply_lag = length;
    } else if (name == "host_list_lag_ms") {
        faults.host_list_lag = length;
    } else if (name != "silent") {
        throw std::invalid_argument("unknown fault " + name);
    }
}

bool consume(std::uint64_t& counter) {
    if (counter == 0) {
        return false;
    }
    --counter;
    return true;
}

}  // namespace masticgrade::standins
