// Net: whether something at an address takes a connection.
#include "net/reach_probes.h"

#include <gtest/gtest.h>

#include <array>
#include <optional>

#include "net/tcp.h"
#include "net/udp_endpoint.h"
#include "standins/fleet/port_source.h"

namespace bramleytrack {
namespace {

constexpr clock::duration limit{60};

class reach_probes_test : public ::testing::Test {
protected:
    ev::dynamic_loop loop_;
    net::reach_probes subject_{loop_};

    bool probe(const sockaddr_in& address) {
        std::optional<bool> result;
        subject_.begin(address, limit, [&](bool is_reachable) {
            result = is_reachable;
            loop_.break_loop(ev::ONE);
        });
        EXPECT_FALSE(result.has_value());
        loop_.run();
        return result.value_or(false);
    }
};

TEST_F(reach_probes_test, tells_who_listens_from_who_has_ended) {
    const auto address = *net::parse_address(standins::port_source{}.take());
    {
        const auto listening = net::listen_on(address);
        EXPECT_TRUE(probe(address));
    }
    EXPECT_FALSE(probe(address));
}

TEST_F(reach_probes_test, gives_up_at_the_limit_and_calls_back_once) {
    // A listener whose queue is full and never read answers no further connection.
    const auto address = *net::parse_address(standins::port_source{}.take());
    const net::descriptor listening{socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)};
    ASSERT_EQ(bind(listening.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)),
              0);
    ASSERT_EQ(listen(listening.get(), 0), 0);
    std::array<net::descriptor, 8> waiting;
    for (auto& each : waiting) {
        each = net::begin_connect(address);
    }
    EXPECT_FALSE(probe(address));
}

}  // namespace
}  // namespace bramleytrack
