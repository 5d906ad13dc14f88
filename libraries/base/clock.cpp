#include "base/clock.h"

#include <ctime>

namespace bramleytrack {
namespace {

constexpr std::int64_t milliseconds_per_second = 1000;
constexpr std::int64_t nanoseconds_per_millisecond = 1000000;

std::int64_t read_milliseconds(clockid_t clock_id) {
    timespec time{};
    clock_gettime(clock_id, &time);
    return time.tv_sec * milliseconds_per_second + time.tv_nsec / nanoseconds_per_millisecond;
}

}  // namespace

clock::time_point clock::now() {
    static const std::int64_t offset =
        read_milliseconds(CLOCK_REALTIME) - read_milliseconds(CLOCK_BOOTTIME);
    return to_time_point(read_milliseconds(CLOCK_BOOTTIME) + offset);
}

}  // namespace bramleytrack
