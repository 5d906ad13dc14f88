#include "net/packet_socket.h"

#include <arpa/inet.h>

#include <cerrno>
#include <system_error>

namespace bramleytrack::net {
namespace {

// Holds 250 ms of traffic while the event loop is busy, at 35,000 packets of about 480 bytes per
// second. The kernel caps the size at net.core.rmem_max without reporting an error.
constexpr int receive_buffer_size = 4 * 1024 * 1024;
// As much again: an instance that waits for its initial state reads what the socket receives.
constexpr std::size_t max_backlog_bytes = receive_buffer_size;
// Bounds the reads per wake-up under a flood; twice what a socket buffer of the kernel's usual
// limit holds.
constexpr int max_batches_per_read = 16;
// Bounds the work per wake-up, so that timers and readiness checks aren't delayed under a flood.
constexpr int max_handled_per_wakeup = 256;

}  // namespace

packet_socket::packet_socket(ev::loop_ref loop, const sockaddr_in& address,
                             receive_callback on_receive)
    : socket_{socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)},
      on_receive_{std::move(on_receive)},
      backlog_{max_backlog_bytes, clock::now()},
      readable_{loop},
      idle_{loop},
      receive_buffers_(batch_size),
      receive_iovecs_(batch_size),
      receive_headers_(batch_size),
      send_buffers_(batch_size),
      send_iovecs_(batch_size),
      send_headers_(batch_size),
      destinations_(batch_size) {
    setsockopt(socket_.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer_size,
               sizeof(receive_buffer_size));
    if (bind(socket_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        throw std::system_error(errno, std::generic_category(), "bind");
    }
    for (std::size_t i = 0; i < batch_size; ++i) {
        receive_iovecs_[i] = {.iov_base = receive_buffers_[i].data(), .iov_len = max_packet_size};
        receive_headers_[i] = {};
        receive_headers_[i].msg_hdr.msg_iov = &receive_iovecs_[i];
        receive_headers_[i].msg_hdr.msg_iovlen = 1;
        send_headers_[i] = {};
        send_headers_[i].msg_hdr.msg_iov = &send_iovecs_[i];
        send_headers_[i].msg_hdr.msg_iovlen = 1;
        send_headers_[i].msg_hdr.msg_name = &destinations_[i];
        send_headers_[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
    readable_.set<packet_socket, &packet_socket::on_readable>(this);
    readable_.start(socket_.get(), ev::READ);
    idle_.set<packet_socket, &packet_socket::on_idle>(this);
}

packet_socket::~packet_socket() {
    readable_.stop();
    idle_.stop();
}

void packet_socket::start_handling() {
    is_handling_ = true;
    watch_backlog();
}

std::span<std::uint8_t> packet_socket::next_buffer() {
    if (queued_count_ == batch_size) {
        flush();
    }
    return send_buffers_[queued_count_];
}

void packet_socket::queue(std::uint32_t address, std::uint16_t port, std::size_t size) {
    destinations_[queued_count_] = {};
    destinations_[queued_count_].sin_family = AF_INET;
    destinations_[queued_count_].sin_addr.s_addr = htonl(address);
    destinations_[queued_count_].sin_port = htons(port);
    send_iovecs_[queued_count_] = {.iov_base = send_buffers_[queued_count_].data(),
                                   .iov_len = size};
    ++queued_count_;
}

void packet_socket::flush() {
    std::size_t processed = 0;
    while (processed < queued_count_) {
        const auto count = sendmmsg(socket_.get(), &send_headers_[processed],
                                    static_cast<unsigned>(queued_count_ - processed), MSG_DONTWAIT);
        if (count <= 0) {
            // The send buffer is full or the destination refuses datagrams: drops this one, since
            // delivery is best-effort, and continues with the next.
            ++dropped_sends_;
            ++processed;
            continue;
        }
        processed += static_cast<std::size_t>(count);
    }
    queued_count_ = 0;
}

void packet_socket::receive() {
    for (int batch = 0; batch < max_batches_per_read; ++batch) {
        backlog_.begin_read(clock::now());
        const int count = receive_batch();
        for (int i = 0; i < count; ++i) {
            const auto index = static_cast<std::size_t>(i);
            backlog_.add({receive_buffers_[index].data(), receive_headers_[index].msg_len});
        }
        if (count < static_cast<int>(batch_size)) {
            if (count >= 0 || errno == EAGAIN) {
                backlog_.on_socket_empty();
            }
            break;
        }
    }
    watch_backlog();
}

void packet_socket::watch_backlog() {
    if (is_handling_ && !backlog_.is_empty()) {
        idle_.start();
    } else {
        idle_.stop();
    }
}

int packet_socket::receive_batch() {
    return recvmmsg(socket_.get(), receive_headers_.data(), batch_size, MSG_DONTWAIT, nullptr);
}

void packet_socket::handle_backlog() {
    for (int handled = 0; handled < max_handled_per_wakeup; ++handled) {
        const auto next = backlog_.take();
        if (!next) {
            break;
        }
        on_receive_(next->bytes, next->earliest_arrival);
    }
    flush();
    watch_backlog();
}

void packet_socket::on_readable(ev::io& /*watcher*/, int /*events*/) {
    receive();
    if (is_handling_) {
        handle_backlog();
    }
}

void packet_socket::on_idle(ev::idle& /*watcher*/, int /*events*/) {
    handle_backlog();
}

}  // namespace bramleytrack::net
