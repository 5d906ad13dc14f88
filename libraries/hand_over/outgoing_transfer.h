// The sender's side of one hand-over: which parts are due, acknowledged, lost.
//
// At most transfer_window parts are unacknowledged at a time: more would overrun the receiver's
// socket buffer, and the loss would repeat. The parts are kept until the transfer ends, because the
// sender owns the target again when the receiver dies.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/clock.h"
#include "wire/generated/bramleytrack_types.h"

namespace bramleytrack::hand_over {

// 16 parts of 8 KB stay under the 208 KB that a Linux socket buffers by default.
constexpr std::size_t transfer_window = 16;
// Some round trips within a zone; a part that was lost costs no more than this.
constexpr clock::duration part_repeat{200};
// Without an acknowledgement for so long the receiver has lost what it had, or refuses it.
constexpr clock::duration transfer_stall{5'000};

class outgoing_transfer {
public:
    outgoing_transfer(std::string receiver, std::vector<wire::hand_over> parts,
                      clock::time_point now);

    // Parts to send now, first copies and repetitions; marks them as sent.
    std::vector<const wire::hand_over*> take_due(clock::time_point now);
    void acknowledge(std::int32_t part, clock::time_point now);

    bool is_complete() const { return first_open_ == states_.size(); }
    bool is_stalled(clock::time_point now) const { return now - last_progress_ >= transfer_stall; }
    bool is_merge() const { return parts_.front().is_merge; }
    const std::string& receiver() const { return receiver_; }
    std::int64_t epoch() const { return parts_.front().epoch; }
    std::span<const wire::hand_over> parts() const { return parts_; }
    // Gives the parts away for another receiver or for the sender itself.
    std::vector<wire::hand_over> take_parts() { return std::move(parts_); }

private:
    struct part_state {
        std::optional<clock::time_point> sent;
        bool is_acknowledged = false;
    };

    std::string receiver_;
    std::vector<wire::hand_over> parts_;
    std::vector<part_state> states_;  // one for each part
    std::size_t first_open_ = 0;      // every part before it is acknowledged
    clock::time_point last_progress_;
};

}  // namespace bramleytrack::hand_over
