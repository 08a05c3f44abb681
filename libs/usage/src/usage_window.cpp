#include "masticgrade/usage/usage_window.hpp"

namespace masticgrade {

window_number window_at(wall_time moment, milliseconds length) {
    const auto elapsed = std::chrono::floor<milliseconds>(moment.time_since_epoch());
    return window_number{static_cast<std::uint64_t>(elapsed / length)};
}

wall_time end_of(window_number window, milliseconds length) {
    return wall_time{static_cast<milliseconds::rep>(window.next().value()) * length};
}

}  // namespace masticgrade
