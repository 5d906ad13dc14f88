// Sender side of one hand-over: tracks which parts are due and which are acknowledged.
//
// At most transfer_window parts are unacknowledged at a time: more would overflow the receiver's
// socket buffer, and retransmissions would be lost in the same way. The parts are kept until the
// transfer ends, because the sender becomes the owner again if the receiver fails.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/clock.h"
#include "wire/generated/bramleytrack_types.h"

namespace bramleytrack::hand_over {

// 16 parts of 8 KB stay below the default receive buffer of a Linux socket, 208 KB.
constexpr std::size_t transfer_window = 16;
// A few round trips within a zone; a lost part delays the transfer by no more than this.
constexpr clock::duration part_retry_interval{200};
// After this time without an acknowledgement the receiver has lost the parts or rejects them.
constexpr clock::duration transfer_timeout{5'000};

class outgoing_transfer {
public:
    outgoing_transfer(std::string receiver, std::vector<wire::hand_over> parts,
                      clock::time_point now);

    // Parts to send now, including retransmissions; marks them as sent.
    std::vector<const wire::hand_over*> take_due_parts(clock::time_point now);
    void acknowledge(std::int32_t part, clock::time_point now);

    bool is_complete() const { return first_unacknowledged_ == states_.size(); }
    bool is_stalled(clock::time_point now) const {
        return now - last_progress_ >= transfer_timeout;
    }
    bool is_merge() const { return parts_.front().is_merge; }
    const std::string& receiver() const { return receiver_; }
    std::int64_t epoch() const { return parts_.front().epoch; }
    std::span<const wire::hand_over> parts() const { return parts_; }
    // Moves the parts out, for a transfer to another receiver.
    std::vector<wire::hand_over> take_parts() { return std::move(parts_); }

private:
    struct part_state {
        std::optional<clock::time_point> sent;
        bool is_acknowledged = false;
    };

    std::string receiver_;
    std::vector<wire::hand_over> parts_;
    std::vector<part_state> states_;        // one for each part
    std::size_t first_unacknowledged_ = 0;  // all parts before it are acknowledged
    clock::time_point last_progress_;
};

}  // namespace bramleytrack::hand_over
