// Detection of a paused process, which then reads the store again.
#include "steering/pause_detector.h"

#include <gtest/gtest.h>

namespace bramleytrack {
namespace {

constexpr clock::time_point start = to_time_point(1'000'000);

clock::time_point at(std::int64_t milliseconds) {
    return start + clock::duration{milliseconds};
}

TEST(pause_detector, a_pause_is_reported_once_whichever_event_comes_first) {
    // After the freeze a packet is read before the timer runs. The pause must still be reported to
    // the timer, since the watch of the store may have been lost meanwhile.
    steering::pause_detector detector;
    detector.on_event(at(0));
    detector.on_event(at(4'000));
    detector.on_event(at(4'001));
    EXPECT_EQ(detector.take_pause(), clock::duration{4'000});
    EXPECT_EQ(detector.take_pause(), clock::duration{0});
}

TEST(pause_detector, a_short_gap_is_no_pause) {
    steering::pause_detector detector;
    detector.on_event(at(0));
    detector.on_event(at(200));
    EXPECT_EQ(detector.take_pause(), clock::duration{0});
}

}  // namespace
}  // namespace bramleytrack
