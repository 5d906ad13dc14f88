// Reassembles a configuration transfer from parts that may be lost, delayed or duplicated.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "wire/generated/bramleytrack_types.h"

namespace bramleytrack::configuration {

// A message with a part of this size stays below 1,232 bytes, which every path carries
// unfragmented.
constexpr std::int32_t part_size = 1'000;
// Number of parts per request: 16 KB per round trip, paced by the receiver.
constexpr std::int32_t parts_per_request = 16;

class incoming_transfer {
public:
    incoming_transfer(std::string peer, std::int64_t version, std::uint64_t digest,
                      clock::time_point now)
        : peer_{std::move(peer)}, version_{version}, digest_{digest}, last_progress_{now} {}

    const std::string& peer() const { return peer_; }
    std::int64_t version() const { return version_; }
    std::uint64_t digest() const { return digest_; }
    std::int64_t transfer() const { return transfer_; }
    clock::time_point last_progress() const { return last_progress_; }
    // Restarts the time-out after a repeated request.
    void restart_timeout(clock::time_point now) { last_progress_ = now; }

    // Returns false for an invalid part or one of an outdated transfer. A newer transfer replaces
    // this one.
    bool add(const wire::configuration_part& part, clock::time_point now);

    bool is_complete() const { return size_ > 0 && missing_ == 0; }
    const std::string& bytes() const { return bytes_; }
    // Offset of the next request once all requested parts have arrived; nothing while some are
    // outstanding.
    std::optional<std::int32_t> next_request();
    // Offset of the first missing part, from which to repeat the request after a loss.
    std::int32_t first_missing() const;

private:
    void start(const wire::configuration_part& first);

    std::string peer_;
    std::int64_t version_;
    std::uint64_t digest_;
    std::int64_t transfer_ = 0;  // hash of the encoded transfer; 0 until the first part arrives
    std::int32_t size_ = 0;
    std::string bytes_;
    std::vector<bool> has_part_;
    std::size_t missing_ = 0;         // number of parts
    std::int32_t requested_end_ = 0;  // end offset of the bytes requested so far
    clock::time_point last_progress_;
};

}  // namespace bramleytrack::configuration
