// How long datagrams may have waited in a socket before they were read.
#include "net/receive_backlog.h"

#include <gtest/gtest.h>

#include <array>
#include <string>

namespace bramleytrack {
namespace {

constexpr clock::time_point start = to_time_point(1'000'000);
constexpr std::size_t ample = 1'000'000;

clock::time_point at(std::int64_t milliseconds) {
    return start + clock::duration{milliseconds};
}

// One read of the socket, which returned these datagrams and may have left others in the socket.
void read(net::receive_backlog& backlog, clock::time_point now, std::span<const std::string> data,
          bool is_socket_empty) {
    backlog.begin_read(now);
    for (const auto& each : data) {
        backlog.add({reinterpret_cast<const std::uint8_t*>(each.data()), each.size()});
    }
    if (is_socket_empty) {
        backlog.on_socket_empty();
    }
}

clock::time_point earliest_arrival_of_next(net::receive_backlog& backlog) {
    const auto next = backlog.take();
    return next ? next->earliest_arrival : clock::time_point{};
}

TEST(receive_backlog, a_datagram_may_have_arrived_since_the_socket_was_last_empty) {
    net::receive_backlog backlog{ample, at(0)};
    read(backlog, at(50), std::array<std::string, 1>{"a"}, true);
    read(backlog, at(60), std::array<std::string, 1>{"b"}, true);
    EXPECT_EQ(earliest_arrival_of_next(backlog), at(0));
    EXPECT_EQ(earliest_arrival_of_next(backlog), at(50));
    EXPECT_TRUE(backlog.is_empty());
}

TEST(receive_backlog, datagrams_of_a_pause_stay_old_however_long_reading_them_takes) {
    // Guards against a limit on the time that reading may take: on a small share of a core,
    // openings of a freeze are read long after it has ended, and would pass for new ones.
    net::receive_backlog backlog{ample, at(0)};
    read(backlog, at(100), {}, true);
    // Frozen for four seconds; then three reads, 100 ms apart, until the socket is empty.
    for (const auto time : {4'100, 4'200, 4'300}) {
        read(backlog, at(time), std::array<std::string, 2>{"a", "b"}, time == 4'300);
    }
    read(backlog, at(4'310), std::array<std::string, 1>{"new"}, true);
    for (int i = 0; i < 6; ++i) {
        EXPECT_EQ(earliest_arrival_of_next(backlog), at(100));
    }
    EXPECT_EQ(earliest_arrival_of_next(backlog), at(4'300));
}

TEST(receive_backlog, waiting_after_the_read_counts_as_well) {
    // Guards against an instance that waits for its initial state and takes what it read meanwhile
    // for new.
    net::receive_backlog backlog{ample, at(0)};
    read(backlog, at(10), std::array<std::string, 1>{"a"}, true);
    for (int time = 100; time <= 2'000; time += 100) {
        read(backlog, at(time), {}, true);
    }
    EXPECT_EQ(earliest_arrival_of_next(backlog), at(0));
}

TEST(receive_backlog, drops_the_oldest_datagrams_when_it_is_full) {
    constexpr std::size_t room_for_two = 2 * (sizeof(net::received_datagram) + 4);
    net::receive_backlog backlog{room_for_two, at(0)};
    read(backlog, at(1), std::array<std::string, 3>{"aaaa", "bbbb", "cccc"}, true);
    EXPECT_EQ(backlog.size(), 2U);
    EXPECT_EQ(backlog.dropped(), 1);
    EXPECT_EQ(backlog.take()->bytes.front(), 'b');
    EXPECT_EQ(backlog.take()->bytes.front(), 'c');
    EXPECT_FALSE(backlog.take().has_value());
}

TEST(receive_backlog, a_flood_of_empty_datagrams_is_bounded) {
    // Guards against an instance that runs out of memory while it waits for its initial state.
    net::receive_backlog backlog{1'000, at(0)};
    for (int i = 0; i < 10'000; ++i) {
        read(backlog, at(1), std::array<std::string, 1>{""}, true);
    }
    EXPECT_LE(backlog.size(), 1'000U);
}

}  // namespace
}  // namespace bramleytrack
