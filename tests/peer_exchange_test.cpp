// Messages between instances that route by token, over sockets on loopback.
#include "bramleyd/peer_exchange.h"

#include <gtest/gtest.h>

#include <chrono>
#include <thread>

#include "net/tcp.h"
#include "support/steering_parts.h"

namespace bramleytrack {
namespace {

constexpr clock::duration test_timeout{5'000};

class peer_exchange_over_sockets : public ::testing::Test {
protected:
    peer_exchange_over_sockets() {
        receiver_.on_flow_holders(
            [this](std::span<const steering::held_flow> flows, clock::time_point /*now*/) {
                received_.insert(received_.end(), flows.begin(), flows.end());
            });
    }

    static settings::steering_settings settings_of(const std::string& name, double link_mbps) {
        settings::steering_settings result;
        result.name = name;
        result.peer_address = free_address();
        result.pull_address = free_address();
        result.fleet_passphrase = "passphrase";
        result.link_mbps = link_mbps;
        return result;
    }

    // An address that was free a moment ago.
    static std::string free_address() {
        const auto listener = net::listen_on(*net::parse_address("127.0.0.1:0"));
        sockaddr_in local{};
        socklen_t size = sizeof(local);
        getsockname(listener.get(), reinterpret_cast<sockaddr*>(&local), &size);
        return net::to_string(local);
    }

    static std::vector<steering::held_flow> flows(std::uint16_t count) {
        constexpr std::uint32_t large = 4'000'000'000;
        std::vector<steering::held_flow> result;
        for (std::uint16_t i = 0; i < count; ++i) {
            result.push_back({.flow = {.caller = {.address = large,
                                                  .port = static_cast<std::uint16_t>(65'535 - i)},
                                       .route = {.address = large + 1, .port = 443}},
                              .holder = large + 2,
                              .acknowledged = large + 3,
                              .next_sequence = large + 4});
        }
        return result;
    }

    void receive(std::size_t expected) {
        const auto deadline = clock::now() + test_timeout;
        while (received_.size() < expected && clock::now() < deadline) {
            loop_.run(EVRUN_NOWAIT);
            receiver_.receive();
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
    }

    ev::dynamic_loop loop_;
    discovery::directory directory_;
    store::mirror mirror_{[](std::string_view, std::size_t) { return true; }};
    fleet::peer_digests digests_{directory_, "self", "north", 1};
    testing::null_event_log log_;
    // The slow link has 0.125 bytes a millisecond for reports.
    settings::steering_settings sender_settings_ = settings_of("self", 0.1);
    settings::steering_settings receiver_settings_ = settings_of("peer", 0);
    peer_exchange sender_{loop_, sender_settings_, mirror_, digests_, log_};
    peer_exchange receiver_{loop_, receiver_settings_, mirror_, digests_, log_};
    discovery::peer_entry receiver_entry_{.name = "peer",
                                          .zone = "north",
                                          .address = receiver_settings_.peer_address,
                                          .pull_address = {}};
    std::vector<const discovery::peer_entry*> receivers_{&receiver_entry_};
    std::vector<steering::held_flow> received_;
};

// Guards against numbers that a message changes: the receiver would not recognize the flow.
TEST_F(peer_exchange_over_sockets, reports_the_holder_of_a_flow_unchanged) {
    const auto sent = flows(1);
    sender_.send_flow_holders(sent, receivers_, clock::now());
    receive(1);
    ASSERT_EQ(received_.size(), 1U);
    EXPECT_EQ(received_.front().flow, sent.front().flow);
    EXPECT_EQ(received_.front().holder, sent.front().holder);
    EXPECT_EQ(received_.front().acknowledged, sent.front().acknowledged);
    EXPECT_EQ(received_.front().next_sequence, sent.front().next_sequence);
}

// Guards against reports that fill the link when many flows open twice at once.
TEST_F(peer_exchange_over_sockets, drops_reports_for_which_the_link_has_no_room) {
    constexpr std::uint16_t in_one_message = 32;
    sender_.send_flow_holders(flows(3 * in_one_message), receivers_, clock::now());
    receive(in_one_message);
    EXPECT_EQ(received_.size(), in_one_message);
    EXPECT_EQ(sender_.flow_holders().sent, in_one_message);
    EXPECT_EQ(sender_.flow_holders().dropped, 2 * in_one_message);
}

}  // namespace
}  // namespace bramleytrack
