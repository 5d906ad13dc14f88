// standin_fabric: forwards each datagram of a caller to an instance of the platform's list, chosen
// at random with a seed. It records the caller's address in the packet, since a real fabric
// preserves the source address.
#include <random>

#include "membership/instance_list.h"
#include "net/http_client.h"
#include "net/udp_endpoint.h"
#include "settings/command_line.h"
#include "wire/codec.h"

namespace bramleytrack::standins {
namespace {

constexpr double list_interval_seconds = 0.2;
constexpr clock::duration list_timeout{1'000};

class fabric {
public:
    fabric(ev::loop_ref loop, std::string_view address, std::string list_url, int seed)
        : random_{static_cast<std::uint64_t>(seed)},
          list_url_{std::move(list_url)},
          http_{loop},
          callers_{loop, address,
                   [this](std::string_view sender, std::span<const std::uint8_t> datagram) {
                       forward(sender, datagram);
                   }},
          ticker_{loop} {
        ticker_.set<fabric, &fabric::on_tick>(this);
        ticker_.start(0, list_interval_seconds);
    }

private:
    void on_tick(ev::timer& /*watcher*/, int /*events*/) {
        http_.get(list_url_, list_timeout, [this](const net::http_result& answer) {
            constexpr int http_ok = 200;
            if (answer.status == http_ok) {
                instances_ = membership::parse_instance_list(answer.body);
                std::erase_if(instances_, [](const auto& each) { return each.is_leaving; });
            }
        });
    }

    void forward(std::string_view sender, std::span<const std::uint8_t> datagram) {
        auto decoded = wire::decode_packet(datagram);
        auto* packet = std::get_if<wire::packet>(&decoded);
        if (packet == nullptr || instances_.empty()) {
            return;
        }
        packet->caller = sender;
        std::uniform_int_distribution<std::size_t> choice{0, instances_.size() - 1};
        callers_.send(instances_[choice(random_)].caller_address, encoder_.encode(*packet));
    }

    std::mt19937_64 random_;
    std::string list_url_;
    wire::encoder encoder_;
    std::vector<membership::platform_instance> instances_;
    net::http_client http_;
    net::udp_endpoint callers_;
    ev::timer ticker_;
};

}  // namespace
}  // namespace bramleytrack::standins

int main(int argc, const char** argv) {
    using namespace bramleytrack;
    std::string address = "127.0.0.1:0";
    std::string list_url;
    int seed = 1;
    settings::command_line{"[OPTIONS]"}
        .option("address", address, "ip:port that callers send to")
        .option("instances", list_url, "URL of the platform's instance list")
        .option("seed", seed, "seed of the choice of instances")
        .parse(argc, argv);
    ev::default_loop loop;
    const standins::fabric process{loop, address, list_url, seed};
    loop.run();
    return 0;
}
