#include "net/reach_probes.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "net/tcp.h"

namespace bramleytrack::net {
namespace {

constexpr double milliseconds_per_second = 1000.0;

bool has_answer(int socket) {
    pollfd state{.fd = socket, .events = POLLOUT, .revents = 0};
    return poll(&state, 1, 0) > 0;
}

// Whether an attempt to connect that has ended was taken.
bool is_connected(int socket) {
    int error = 0;
    socklen_t size = sizeof(error);
    return getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

}  // namespace

class reach_probes::probe {
public:
    probe(reach_probes& owner, const sockaddr_in& address, reach_callback done)
        : owner_{owner},
          socket_{begin_connect(address)},
          done_{std::move(done)},
          writable_{owner.loop_},
          expiry_{owner.loop_} {}

    void start(clock::duration limit) {
        expiry_.set<probe, &probe::on_expiry>(this);
        expiry_.start(static_cast<double>(limit.count()) / milliseconds_per_second);
        if (socket_.is_open()) {
            writable_.set<probe, &probe::on_writable>(this);
            writable_.start(socket_.get(), ev::WRITE);
        }
    }

    bool has_ended() const { return done_ == nullptr; }

private:
    void on_writable(ev::io& /*watcher*/, int /*events*/) { finish(is_connected(socket_.get())); }

    // Failure: this process had no processor for a while, and its timers come late. The answer has
    // been there meanwhile, so the socket is asked before the target is found silent.
    void on_expiry(ev::timer& /*watcher*/, int /*events*/) {
        finish(socket_.is_open() && has_answer(socket_.get()) && is_connected(socket_.get()));
    }

    void finish(bool is_reachable) {
        writable_.stop();
        expiry_.stop();
        socket_ = descriptor{};
        owner_.collector_.start();
        std::exchange(done_, nullptr)(is_reachable);
    }

    reach_probes& owner_;
    descriptor socket_;
    reach_callback done_;
    ev::io writable_;
    ev::timer expiry_;
};

reach_probes::reach_probes(ev::loop_ref loop) : loop_{loop}, collector_{loop} {
    collector_.set<reach_probes, &reach_probes::collect_ended>(this);
}

reach_probes::~reach_probes() {
    collector_.stop();
}

void reach_probes::begin(const sockaddr_in& address, clock::duration limit, reach_callback done) {
    probes_.push_back(std::make_unique<probe>(*this, address, std::move(done)));
    probes_.back()->start(limit);
}

void reach_probes::collect_ended() {
    std::erase_if(probes_, [](const auto& each) { return each->has_ended(); });
    collector_.stop();
}

}  // namespace bramleytrack::net
