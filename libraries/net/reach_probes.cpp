#include "net/reach_probes.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "net/tcp.h"

namespace bramleytrack::net {
namespace {

constexpr double milliseconds_per_second = 1000.0;

bool is_connect_finished(int socket) {
    pollfd state{.fd = socket, .events = POLLOUT, .revents = 0};
    return poll(&state, 1, 0) > 0;
}

// Whether a finished connection attempt succeeded.
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
          timeout_timer_{owner.loop_} {}

    void start(clock::duration timeout) {
        timeout_timer_.set<probe, &probe::on_timeout>(this);
        timeout_timer_.start(static_cast<double>(timeout.count()) / milliseconds_per_second);
        if (socket_.is_open()) {
            writable_.set<probe, &probe::on_writable>(this);
            writable_.start(socket_.get(), ev::WRITE);
        }
    }

    bool is_finished() const { return done_ == nullptr; }

private:
    void on_writable(ev::io& /*watcher*/, int /*events*/) { complete(is_connected(socket_.get())); }

    // When this process got no CPU time for a while, the timer may fire although the connection was
    // established in time. The socket is therefore polled before the target is reported
    // unreachable.
    void on_timeout(ev::timer& /*watcher*/, int /*events*/) {
        complete(socket_.is_open() && is_connect_finished(socket_.get()) &&
                 is_connected(socket_.get()));
    }

    void complete(bool is_reachable) {
        writable_.stop();
        timeout_timer_.stop();
        socket_ = descriptor{};
        owner_.cleanup_.start();
        std::exchange(done_, nullptr)(is_reachable);
    }

    reach_probes& owner_;
    descriptor socket_;
    reach_callback done_;
    ev::io writable_;
    ev::timer timeout_timer_;
};

reach_probes::reach_probes(ev::loop_ref loop) : loop_{loop}, cleanup_{loop} {
    cleanup_.set<reach_probes, &reach_probes::destroy_finished_probes>(this);
}

reach_probes::~reach_probes() {
    cleanup_.stop();
}

void reach_probes::start(const sockaddr_in& address, clock::duration timeout, reach_callback done) {
    probes_.push_back(std::make_unique<probe>(*this, address, std::move(done)));
    probes_.back()->start(timeout);
}

void reach_probes::destroy_finished_probes() {
    std::erase_if(probes_, [](const auto& each) { return each->is_finished(); });
    cleanup_.stop();
}

}  // namespace bramleytrack::net
