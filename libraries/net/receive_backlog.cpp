#include "net/receive_backlog.h"

#include <utility>

namespace bramleytrack::net {

void receive_backlog::add(std::span<const std::uint8_t> datagram) {
    while (!datagrams_.empty() && bytes_ + datagram.size() > max_bytes_) {
        drop_oldest();
    }
    bytes_ += datagram.size();
    datagrams_.push_back(
        {.bytes = {datagram.begin(), datagram.end()}, .earliest_arrival = empty_at_});
}

void receive_backlog::drop_oldest() {
    bytes_ -= datagrams_.front().bytes.size();
    datagrams_.pop_front();
    ++dropped_;
}

std::optional<received_datagram> receive_backlog::take() {
    if (datagrams_.empty()) {
        return std::nullopt;
    }
    auto result = std::move(datagrams_.front());
    bytes_ -= result.bytes.size();
    datagrams_.pop_front();
    return result;
}

}  // namespace bramleytrack::net
