#include "soak/link.h"

#include <sys/socket.h>

#include <algorithm>
#include <stdexcept>

namespace bramleytrack::standins {
namespace {

// Streams are served at this beat: it adds a few milliseconds to each call, as a network does.
constexpr double tick_seconds = 0.003;

sockaddr_in address_of(const std::string& text) {
    const auto parsed = net::parse_address(text);
    if (!parsed) {
        throw std::runtime_error("not an address: " + text);
    }
    return *parsed;
}

}  // namespace

datagram_link::datagram_link(ev::loop_ref loop, const std::string& near, std::string far,
                             std::mt19937_64& random)
    : far_{std::move(far)},
      random_{random},
      endpoint_{loop, near,
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
    std::uniform_real_distribution<double> luck{0, 1};
    if (state_.is_cut_forward || blocked_.contains(from) || luck(random_) < state_.loss) {
        return;
    }
    if (state_.delay == clock::duration{0}) {
        endpoint_.send(far_, datagram);
        return;
    }
    waiting_.push_back(
        {.due = clock::now() + state_.delay, .datagram = {datagram.begin(), datagram.end()}});
}

void datagram_link::on_tick(ev::timer& /*watcher*/, int /*events*/) {
    const auto now = clock::now();
    while (!waiting_.empty() && waiting_.front().due <= now) {
        endpoint_.send(far_, waiting_.front().datagram);
        waiting_.pop_front();
    }
}

// Two sockets and what is on its way between them.
struct stream_link::connection {
    struct piece {
        clock::time_point due;
        std::string bytes;
    };
    struct direction {
        std::deque<piece> waiting;
        std::string ready;  // due, and not taken by the receiving socket yet
    };

    net::descriptor near;
    net::descriptor far;
    direction forward;
    direction back;
    bool is_silent = false;
    bool has_ended = false;

    // Moves what has arrived and is due; false when an end is gone.
    static bool carry(int from, int to, direction& way, bool is_cut, clock::duration delay,
                      clock::time_point now) {
        std::string bytes;
        const bool is_open = net::read_available(from, bytes);
        if (!bytes.empty() && !is_cut) {
            way.waiting.push_back({.due = now + delay, .bytes = std::move(bytes)});
        }
        while (!way.waiting.empty() && way.waiting.front().due <= now) {
            way.ready += way.waiting.front().bytes;
            way.waiting.pop_front();
        }
        const bool is_taken = net::write_available(to, way.ready);
        return is_open && is_taken;
    }

    void serve(const link_state& state, clock::time_point now) {
        if (is_silent) {
            return;
        }
        const bool is_forward_open =
            carry(near.get(), far.get(), forward, state.is_cut_forward, state.delay, now);
        const bool is_back_open =
            carry(far.get(), near.get(), back, state.is_cut_back, state.delay, now);
        // An end that closes while the other direction is cut isn't noticed there, as in a network.
        const bool is_cut = state.is_cut_forward || state.is_cut_back;
        has_ended = !is_cut && !(is_forward_open && is_back_open) && back.waiting.empty();
    }

    void reset() {
        const linger at_once{.l_onoff = 1, .l_linger = 0};
        (void)setsockopt(near.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
        (void)setsockopt(far.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
        has_ended = true;
    }
};

stream_link::stream_link(ev::loop_ref loop, const std::string& near, const std::string& far)
    : loop_{loop},
      far_{address_of(far)},
      listening_{net::listen_on(address_of(near))},
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
        auto made = std::make_unique<connection>();
        made->near = std::move(accepted);
        made->far = net::begin_connect(far_);
        if (state_.is_refusing || !made->far.is_open()) {
            made->reset();
            continue;
        }
        connections_.push_back(std::move(made));
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
