#include "configuration/incoming_transfer.h"

#include <algorithm>

#include "wire/codec.h"

namespace bramleytrack::configuration {
namespace {

constexpr std::int32_t request_bytes = part_size * parts_per_request;

}  // namespace

bool incoming_transfer::add(const wire::configuration_part& part, clock::time_point now) {
    // A forged or corrupted part could claim a huge size or an offset outside the buffer. Sizes and
    // offsets are validated before anything is allocated or copied.
    const auto max_size = static_cast<std::int32_t>(wire::max_transfer_size);
    if (part.size <= 0 || part.size > max_size || part.offset < 0 || part.offset >= part.size ||
        part.offset % part_size != 0) {
        return false;
    }
    const auto expected = std::min(part_size, part.size - part.offset);
    if (part.content.size() != static_cast<std::size_t>(expected)) {
        return false;
    }
    if (transfer_ != part.transfer || size_ != part.size) {
        // The sender now transfers a newer version, whose parts can't be combined with the old
        // ones.
        if (transfer_ != 0 && part.version <= version_) {
            return false;
        }
        start(part);
    }
    const auto index = static_cast<std::size_t>(part.offset / part_size);
    last_progress_ = now;
    if (!has_part_[index]) {
        has_part_[index] = true;
        --missing_;
        bytes_.replace(static_cast<std::size_t>(part.offset), part.content.size(), part.content);
    }
    return true;
}

void incoming_transfer::start(const wire::configuration_part& first) {
    version_ = first.version;
    digest_ = static_cast<std::uint64_t>(first.digest);
    transfer_ = first.transfer;
    size_ = first.size;
    bytes_.assign(static_cast<std::size_t>(size_), '\0');
    missing_ = static_cast<std::size_t>((size_ + part_size - 1) / part_size);
    has_part_.assign(missing_, false);
    requested_end_ = request_bytes;
}

std::int32_t incoming_transfer::first_missing() const {
    const auto found = std::ranges::find(has_part_, false);
    return static_cast<std::int32_t>(found - has_part_.begin()) * part_size;
}

std::optional<std::int32_t> incoming_transfer::next_request() {
    if (is_complete() || first_missing() < requested_end_) {
        return std::nullopt;
    }
    const auto offset = requested_end_;
    requested_end_ += request_bytes;
    return offset;
}

}  // namespace bramleytrack::configuration
