// Puts a transfer together from parts that may come late, twice or not at all.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "wire/generated/bramleytrack_types.h"

namespace bramleytrack::configuration {

// With the rest of a message it stays below the 1,232 bytes that every path carries unfragmented.
constexpr std::int32_t part_size = 1'000;
// Parts that are asked for at once: 16 KB a round trip, paced by the receiver.
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
    void note_attempt(clock::time_point now) { last_progress_ = now; }

    // Returns false for a part that doesn't fit what is here.
    bool add(const wire::configuration_part& part, clock::time_point now);

    bool is_whole() const { return size_ > 0 && missing_ == 0; }
    const std::string& bytes() const { return bytes_; }
    // Where to ask on, once the parts that were asked for are here; nothing while they may come.
    std::optional<std::int32_t> next_request();
    // The first byte that isn't here: where to ask again after a loss.
    std::int32_t first_missing() const;

private:
    void start(const wire::configuration_part& first);

    std::string peer_;
    std::int64_t version_;
    std::uint64_t digest_;
    std::int64_t transfer_ = 0;  // 0 until the first part tells it
    std::int32_t size_ = 0;
    std::string bytes_;
    std::vector<bool> has_part_;
    std::size_t missing_ = 0;     // parts
    std::int32_t requested_ = 0;  // bytes up to here were asked for
    clock::time_point last_progress_;
};

}  // namespace bramleytrack::configuration
