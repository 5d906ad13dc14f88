// Tests net::reach_probes: TCP connect probes that succeed, are refused or time out.
#include "net/reach_probes.h"

#include <gtest/gtest.h>

#include <array>
#include <optional>

#include "net/tcp.h"
#include "net/udp_endpoint.h"
#include "standins/fleet/port_source.h"

namespace bramleytrack {
namespace {

constexpr clock::duration timeout{60};

class reach_probes_test : public ::testing::Test {
protected:
    ev::dynamic_loop loop_;
    net::reach_probes subject_{loop_};

    bool probe(const sockaddr_in& address) {
        std::optional<bool> result;
        subject_.start(address, timeout, [&](bool is_reachable) {
            result = is_reachable;
            loop_.break_loop(ev::ONE);
        });
        EXPECT_FALSE(result.has_value());
        loop_.run();
        return result.value_or(false);
    }
};

TEST_F(reach_probes_test, distinguishes_a_listener_from_a_closed_port) {
    const auto address = *net::parse_address(standins::port_source{}.take());
    {
        const auto listening = net::listen_on(address);
        EXPECT_TRUE(probe(address));
    }
    EXPECT_FALSE(probe(address));
}

TEST_F(reach_probes_test, reports_unreachable_once_after_the_timeout) {
    // A listener whose backlog is full and that never accepts leaves further connection attempts
    // unanswered.
    const auto address = *net::parse_address(standins::port_source{}.take());
    const net::descriptor listening{socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)};
    ASSERT_EQ(bind(listening.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)),
              0);
    ASSERT_EQ(listen(listening.get(), 0), 0);
    std::array<net::descriptor, 8> connections;
    for (auto& each : connections) {
        each = net::begin_connect(address);
    }
    EXPECT_FALSE(probe(address));
}

}  // namespace
}  // namespace bramleytrack
