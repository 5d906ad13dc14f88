#include "soak/link.h"

#include <sys/socket.h>

#include <algorithm>
#include <stdexcept>

namespace bramleytrack::standins {
namespace {

// Interval at which streams are forwarded. It adds a few milliseconds to each call, as a network
// does.
constexpr double tick_seconds = 0.003;

sockaddr_in address_of(const std::string& text) {
    const auto parsed = net::parse_address(text);
    if (!parsed) {
        throw std::runtime_error("invalid link address, expected ip:port: " + text);
    }
    return *parsed;
}

}  // namespace

datagram_link::datagram_link(ev::loop_ref loop, const std::string& listen_address,
                             std::string upstream, std::mt19937_64& random)
    : upstream_{std::move(upstream)},
      random_{random},
      endpoint_{loop, listen_address,
                [this](std::string_view sender, std::span<const std::uint8_t> datagram) {
                    on_datagram(sender, datagram);
                }},
      ticker_{loop} {
    ticker_.set<datagram_link, &datagram_link::on_tick>(this);
    ticker_.start(tick_seconds, tick_seconds);
}

void datagram_link::block(const std::string& sender, bool is_blocked) {
    if (is_blocked) {
        blocked_.insert(sender);
    } else {
        blocked_.erase(sender);
    }
}

void datagram_link::on_datagram(std::string_view sender, std::span<const std::uint8_t> datagram) {
    const auto from = sender.substr(0, sender.rfind(':'));
    std::uniform_real_distribution<double> uniform{0, 1};
    if (state_.is_cut_forward || blocked_.contains(from) || uniform(random_) < state_.loss) {
        return;
    }
    if (state_.delay == clock::duration{0}) {
        endpoint_.send(upstream_, datagram);
        return;
    }
    delayed_.push_back(
        {.due = clock::now() + state_.delay, .datagram = {datagram.begin(), datagram.end()}});
}

void datagram_link::on_tick(ev::timer& /*watcher*/, int /*events*/) {
    const auto now = clock::now();
    while (!delayed_.empty() && delayed_.front().due <= now) {
        endpoint_.send(upstream_, delayed_.front().datagram);
        delayed_.pop_front();
    }
}

// Two sockets and the bytes in flight between them.
struct stream_link::connection {
    struct chunk {
        clock::time_point due;
        std::string bytes;
    };
    struct direction {
        std::deque<chunk> in_flight;
        std::string unsent;  // due, not yet accepted by the receiving socket
    };

    net::descriptor client;
    net::descriptor server;
    direction forward;
    direction back;
    bool is_silent = false;
    bool has_ended = false;

    // Forwards the bytes whose delay has elapsed; false when either socket is closed.
    static bool transfer(int from, int to, direction& stream, bool is_cut, clock::duration delay,
                         clock::time_point now) {
        std::string bytes;
        const bool is_sender_open = net::read_available(from, bytes);
        if (!bytes.empty() && !is_cut) {
            stream.in_flight.push_back({.due = now + delay, .bytes = std::move(bytes)});
        }
        while (!stream.in_flight.empty() && stream.in_flight.front().due <= now) {
            stream.unsent += stream.in_flight.front().bytes;
            stream.in_flight.pop_front();
        }
        const bool is_receiver_open = net::write_available(to, stream.unsent);
        return is_sender_open && is_receiver_open;
    }

    void serve(const link_state& state, clock::time_point now) {
        if (is_silent) {
            return;
        }
        const bool is_forward_open =
            transfer(client.get(), server.get(), forward, state.is_cut_forward, state.delay, now);
        const bool is_back_open =
            transfer(server.get(), client.get(), back, state.is_cut_back, state.delay, now);
        // While a direction is cut, the close of one socket is not passed to the other: a
        // partitioned network would not deliver it either.
        const bool is_cut = state.is_cut_forward || state.is_cut_back;
        has_ended = !is_cut && !(is_forward_open && is_back_open) && back.in_flight.empty();
    }

    void reset() {
        const linger immediate{.l_onoff = 1, .l_linger = 0};
        (void)setsockopt(client.get(), SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
        (void)setsockopt(server.get(), SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
        has_ended = true;
    }
};

stream_link::stream_link(ev::loop_ref loop, const std::string& listen_address,
                         const std::string& upstream)
    : loop_{loop},
      upstream_{address_of(upstream)},
      listening_{net::listen_on(address_of(listen_address))},
      acceptor_{loop},
      ticker_{loop} {
    acceptor_.set<stream_link, &stream_link::on_connect>(this);
    acceptor_.start(listening_.get(), ev::READ);
    ticker_.set<stream_link, &stream_link::on_tick>(this);
    ticker_.start(tick_seconds, tick_seconds);
}

stream_link::~stream_link() = default;

void stream_link::reset_all() {
    for (auto& each : connections_) {
        each->reset();
    }
    collect_ended();
}

void stream_link::silence_all() {
    for (auto& each : connections_) {
        each->is_silent = true;
    }
}

void stream_link::on_connect(ev::io& /*watcher*/, int /*events*/) {
    while (true) {
        auto accepted = net::accept_from(listening_.get());
        if (!accepted.is_open()) {
            return;
        }
        auto created = std::make_unique<connection>();
        created->client = std::move(accepted);
        created->server = net::begin_connect(upstream_);
        if (state_.is_refusing || !created->server.is_open()) {
            created->reset();
            continue;
        }
        connections_.push_back(std::move(created));
    }
}

void stream_link::on_tick(ev::timer& /*watcher*/, int /*events*/) {
    const auto now = clock::now();
    for (auto& each : connections_) {
        each->serve(state_, now);
    }
    collect_ended();
}

void stream_link::collect_ended() {
    std::erase_if(connections_, [](const auto& each) { return each->has_ended; });
}

}  // namespace bramleytrack::standins
