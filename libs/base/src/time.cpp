#include "masticgrade/base/time.hpp"

#include <ctime>

namespace masticgrade {

boot_clock::time_point boot_clock::now() noexcept {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point{seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec}};
}

}  // namespace masticgrade
