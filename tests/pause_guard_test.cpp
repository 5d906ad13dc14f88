// Detection of a paused process, so that stale openings aren't forwarded to targets.
#include "steering/pause_guard.h"

#include <gtest/gtest.h>

namespace bramleytrack {
namespace {

constexpr clock::time_point start = to_time_point(1'000'000);

clock::time_point at(std::int64_t milliseconds) {
    return start + clock::duration{milliseconds};
}

TEST(pause_guard, openings_that_waited_are_distinguished_from_new_ones) {
    // The instance is frozen for four seconds. Openings wait in its socket, and the copies that
    // their callers sent have long been answered through other instances.
    steering::pause_guard guard;
    guard.on_event(at(0));
    guard.on_event(at(100));
    EXPECT_FALSE(guard.is_catching_up(at(100)));
    guard.on_event(at(4'100));
    EXPECT_TRUE(guard.is_catching_up(at(4'110)));
    guard.on_event(at(4'140));
    EXPECT_FALSE(guard.is_catching_up(at(4'140)));
}

TEST(pause_guard, a_pause_is_reported_once_whichever_event_comes_first) {
    // After the freeze a packet is read before the timer runs. The pause must still be reported to
    // the timer, since the watch of the store may have been lost meanwhile.
    steering::pause_guard guard;
    guard.on_event(at(0));
    guard.on_event(at(4'000));
    guard.on_event(at(4'001));
    EXPECT_EQ(guard.take_pause(), clock::duration{4'000});
    EXPECT_EQ(guard.take_pause(), clock::duration{0});
}

TEST(pause_guard, a_short_gap_is_no_pause) {
    steering::pause_guard guard;
    guard.on_event(at(0));
    guard.on_event(at(200));
    EXPECT_EQ(guard.take_pause(), clock::duration{0});
    EXPECT_FALSE(guard.is_catching_up(at(200)));
}

}  // namespace
}  // namespace bramleytrack
