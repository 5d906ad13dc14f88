#include "net/receive_backlog.h"

#include <utility>

namespace bramleytrack::net {

void receive_backlog::add(std::span<const std::uint8_t> datagram) {
    const auto cost = cost_of(datagram.size());
    while (!datagrams_.empty() && bytes_ + cost > max_bytes_) {
        remove_oldest();
        ++dropped_;
    }
    bytes_ += cost;
    datagrams_.push_back(
        {.bytes = {datagram.begin(), datagram.end()}, .earliest_arrival = empty_at_});
}

std::optional<received_datagram> receive_backlog::take() {
    return datagrams_.empty() ? std::nullopt : std::optional{remove_oldest()};
}

received_datagram receive_backlog::remove_oldest() {
    auto result = std::move(datagrams_.front());
    datagrams_.pop_front();
    bytes_ -= cost_of(result.bytes.size());
    return result;
}

}  // namespace bramleytrack::net
