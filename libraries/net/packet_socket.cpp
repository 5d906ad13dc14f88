#include "net/packet_socket.h"

#include <arpa/inet.h>

#include <cerrno>
#include <system_error>

namespace bramleytrack::net {
namespace {

// A quarter of a second at 35,000 packets a second, while the loop is busy elsewhere.
constexpr int socket_buffer_size = 4 * 1024 * 1024;
// Bounds the work of one wake-up, so that timers and readiness stay punctual under a flood.
constexpr int max_batches_per_wakeup = 4;

}  // namespace

packet_socket::packet_socket(ev::loop_ref loop, const sockaddr_in& address,
                             receive_callback on_receive)
    : socket_{socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)},
      on_receive_{std::move(on_receive)},
      readable_{loop},
      received_(batch_size),
      received_parts_(batch_size),
      received_heads_(batch_size),
      sent_(batch_size),
      sent_parts_(batch_size),
      sent_heads_(batch_size),
      destinations_(batch_size) {
    setsockopt(socket_.get(), SOL_SOCKET, SO_RCVBUF, &socket_buffer_size,
               sizeof(socket_buffer_size));
    if (bind(socket_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        throw std::system_error(errno, std::generic_category(), "bind");
    }
    for (std::size_t i = 0; i < batch_size; ++i) {
        received_parts_[i] = {.iov_base = received_[i].data(), .iov_len = max_size};
        received_heads_[i] = {};
        received_heads_[i].msg_hdr.msg_iov = &received_parts_[i];
        received_heads_[i].msg_hdr.msg_iovlen = 1;
        sent_heads_[i] = {};
        sent_heads_[i].msg_hdr.msg_iov = &sent_parts_[i];
        sent_heads_[i].msg_hdr.msg_iovlen = 1;
        sent_heads_[i].msg_hdr.msg_name = &destinations_[i];
        sent_heads_[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
    readable_.set<packet_socket, &packet_socket::on_readable>(this);
}

void packet_socket::start_receiving() {
    readable_.start(socket_.get(), ev::READ);
}

packet_socket::~packet_socket() {
    readable_.stop();
}

std::span<std::uint8_t> packet_socket::next_buffer() {
    if (queued_ == batch_size) {
        flush();
    }
    return sent_[queued_];
}

void packet_socket::queue(std::uint32_t address, std::uint16_t port, std::size_t size) {
    destinations_[queued_] = {};
    destinations_[queued_].sin_family = AF_INET;
    destinations_[queued_].sin_addr.s_addr = htonl(address);
    destinations_[queued_].sin_port = htons(port);
    sent_parts_[queued_] = {.iov_base = sent_[queued_].data(), .iov_len = size};
    ++queued_;
}

void packet_socket::flush() {
    std::size_t done = 0;
    while (done < queued_) {
        const auto count = sendmmsg(socket_.get(), &sent_heads_[done],
                                    static_cast<unsigned>(queued_ - done), MSG_DONTWAIT);
        if (count <= 0) {
            // A full link or an address that refuses: this datagram is lost, as datagrams are.
            ++dropped_sends_;
            ++done;
            continue;
        }
        done += static_cast<std::size_t>(count);
    }
    queued_ = 0;
}

int packet_socket::receive() {
    return recvmmsg(socket_.get(), received_heads_.data(), batch_size, MSG_DONTWAIT, nullptr);
}

void packet_socket::on_readable(ev::io& /*watcher*/, int /*events*/) {
    for (int batch = 0; batch < max_batches_per_wakeup; ++batch) {
        const int count = receive();
        for (int i = 0; i < count; ++i) {
            const auto index = static_cast<std::size_t>(i);
            on_receive_({received_[index].data(), received_heads_[index].msg_len});
        }
        flush();
        if (count < static_cast<int>(batch_size)) {
            return;
        }
    }
}

}  // namespace bramleytrack::net
