// The daemon that routes by token, with real sockets on loopback and a store that the test answers.
#include "bramleyd/steering_daemon.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <optional>
#include <set>
#include <system_error>
#include <thread>

#include "discovery/peer_shard.h"
#include "net/tcp.h"
#include "net/udp_endpoint.h"
#include "platform/packet_codec.h"
#include "platform/record_codec.h"
#include "support/fake_store.h"

namespace bramleytrack {
namespace {

constexpr std::string_view registrations = "peers/";
constexpr std::size_t header_size = 32;
constexpr std::size_t identity_size = 8;
constexpr clock::duration test_timeout{10'000};

sockaddr_in local_address_of(int socket) {
    sockaddr_in local{};
    socklen_t size = sizeof(local);
    getsockname(socket, reinterpret_cast<sockaddr*>(&local), &size);
    return local;
}

net::descriptor udp_socket() {
    net::descriptor result{socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    const auto any = *net::parse_address("127.0.0.1:0");
    if (bind(result.get(), reinterpret_cast<const sockaddr*>(&any), sizeof(any)) != 0) {
        throw std::system_error(errno, std::generic_category(), "bind");
    }
    return result;
}

// Addresses that were free a moment ago.
std::string free_udp_address() {
    return net::to_string(local_address_of(udp_socket().get()));
}

std::string free_tcp_address() {
    return net::to_string(
        local_address_of(net::listen_on(*net::parse_address("127.0.0.1:0")).get()));
}

class steering_daemon_with_sockets : public ::testing::Test {
protected:
    steering_daemon_with_sockets()
        : settings_{.name = "self",
                    .zone = "north",
                    .zones = {{"north", "island"}},
                    .packet_address = free_udp_address(),
                    .readiness_address = free_tcp_address(),
                    .metrics_address = free_tcp_address(),
                    .peer_address = free_udp_address(),
                    .pull_address = free_tcp_address(),
                    .advertised_peer_address = {},
                    .advertised_pull_address = {},
                    .seeds = {},
                    .store_address = {},
                    .fleet_passphrase = "passphrase",
                    .link_mbps = 0,
                    .stop_grace = clock::duration{1'000},
                    .flow_lifetime = clock::duration{60'000},
                    .admission = {},
                    .ignored_keys = {}},
          daemon_{loop_,
                  settings_,
                  {.packets = packets_,
                   .records = records_,
                   .store = store_,
                   .registration_key = "peers/0/self",
                   .registration_value = "{}",
                   .shard_prefixes = std::vector<std::string>(discovery::peer_shards,
                                                              std::string{registrations})},
                  [] { return std::string{"{}"}; }} {}

    // An opening packet of the caller with this port; `copy` numbers retransmissions.
    void send_opening(std::uint16_t caller_port, std::uint8_t copy = 0) const {
        std::array<std::uint8_t, header_size> packet{0, 0, 100, 64, 0, 7, 1, 0xbb, 198, 18, 0,
                                                     1, 0, 0,   0,  0, 0, 0, 0,    0,   0,  0,
                                                     0, 0, 0,   0,  0, 0, 0, 0,    64};
        constexpr std::size_t copy_offset = 27;
        packet[0] = static_cast<std::uint8_t>(caller_port >> 8U);
        packet[1] = static_cast<std::uint8_t>(caller_port);
        packet[copy_offset] = copy;
        const auto to = *net::parse_address(settings_.packet_address);
        sendto(caller_.get(), packet.data(), packet.size(), 0,
               reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    }

    // Runs the daemon once without waiting, and notes what the target has received.
    void step() {
        loop_.run(EVRUN_NOWAIT);
        std::array<std::uint8_t, 2'048> buffer{};
        while (recv(target_.get(), buffer.data(), buffer.size(), 0) >=
               static_cast<ssize_t>(identity_size + header_size)) {
            forwarded_.insert(static_cast<std::uint16_t>(buffer[identity_size] << 8U |
                                                         buffer[identity_size + 1]));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }

    void run_for(clock::duration time) {
        const auto end = clock::now() + time;
        while (clock::now() < end) {
            step();
        }
    }

    // Answers the daemon's reads: no registrations, and one route with one target.
    void answer_store() {
        for (auto& each : std::exchange(store_.ranges, {})) {
            store::page answer{.items = {}, .has_more = false, .revision = 9};
            if (!each.prefix.starts_with(registrations)) {
                answer.items = state();
            }
            each.done(answer, clock::now());
        }
    }

    // Sends openings of new flows until the target gets one of them.
    bool is_opening_forwarded_in_time() {
        constexpr std::uint16_t first_port = 20'000;
        const auto deadline = clock::now() + test_timeout;
        for (std::uint16_t port = first_port; clock::now() < deadline; ++port) {
            send_opening(port);
            answer_store();
            step();
            if (forwarded_.lower_bound(first_port) != forwarded_.end()) {
                return true;
            }
        }
        return false;
    }

    std::vector<store::item> state() const {
        const std::string catalogue =
            R"({"version":1,"routes":[{"name":"board","host":"198.18.0.1","prefix":"/443/",)"
            R"("kind":"unsafe","priority":1,"service":"board"}],)"
            R"("services":[{"name":"board"}],"limits":{}})";
        const std::string target =
            R"({"service":"board","address":")" + net::to_string(local_address_of(target_.get())) +
            R"(","zone":"north","version":"1","slots":1000,)"
            R"("state":"ready","cold_remaining_ms":0,"seq":1,"born":1700000000000})";
        return {{.key = "op/config", .value = catalogue, .revision = 8},
                {.key = "servers/i-7f3a91c2", .value = target, .revision = 9}};
    }

    ev::dynamic_loop loop_;
    testing::fake_store store_;
    platform_adapter::packet_codec packets_;
    platform_adapter::record_codec records_;
    net::descriptor caller_ = udp_socket();
    net::descriptor target_ = udp_socket();
    settings::steering_settings settings_;
    steering_daemon daemon_;
    std::set<std::uint16_t> forwarded_;  // the callers' ports of all packets that the target got
};

TEST_F(steering_daemon_with_sockets, drops_openings_that_waited_too_long_for_the_initial_state) {
    // Guards against late openings that break open flows: the caller's retransmission was accepted
    // through another instance, and another target now accepts the same flow.
    constexpr std::uint16_t late = 1;
    send_opening(late);
    run_for(clock::duration{300});
    ASSERT_TRUE(is_opening_forwarded_in_time());
    run_for(clock::duration{50});
    EXPECT_FALSE(forwarded_.contains(late));
}

TEST_F(steering_daemon_with_sockets, after_a_pause_drops_late_openings_and_places_new_ones) {
    // Guards against a time window in place of the wait of each packet: within it new openings are
    // dropped as well, and late ones that are read after it are forwarded.
    ASSERT_TRUE(is_opening_forwarded_in_time());
    constexpr std::uint16_t late = 1;
    constexpr std::uint16_t first_new = 100;
    constexpr std::uint16_t attempts = 5;  // on a busy machine the process may be paused once more
    std::uint16_t attempt = 0;
    while (attempt < attempts &&
           !forwarded_.contains(static_cast<std::uint16_t>(first_new + attempt))) {
        ++attempt;
        send_opening(late);
        std::this_thread::sleep_for(std::chrono::milliseconds{400});
        step();
        send_opening(static_cast<std::uint16_t>(first_new + attempt));
        run_for(clock::duration{20});
    }
    EXPECT_TRUE(forwarded_.contains(static_cast<std::uint16_t>(first_new + attempt)));
    EXPECT_FALSE(forwarded_.contains(late));
}

}  // namespace
}  // namespace bramleytrack
