// Chooses among the candidates of a new flow.
//
// Load: many flows of unequal length and weight, placed by several homes at a time. Without it the
// hash alone decides, and the most loaded target stands well above the mean.
// The less loaded of the first two eligible candidates (Mitzenmacher 2001). A home counts its own
// target exactly; of the other candidate it has its owner's last heartbeat and what it has placed
// there itself since then. Without the latter every home sends its flows to the same target between
// two heartbeats.
#pragma once

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bramleytrack::load {

struct candidate {
    bool is_eligible = false;  // active, reachable, not known to be full
    double relative_load = 0;  // connections over weight, as last heard
};

// The second candidate must be less loaded by this part to be asked first: each flow away from its
// first candidate costs its home a record.
constexpr double second_choice_threshold = 0.01;

// Indices of the candidates in the order in which they are to be asked.
std::vector<std::size_t> order_of_candidates(std::span<const candidate> candidates,
                                             double threshold = second_choice_threshold);

// What this instance has placed on peers' targets since their owners' last heartbeats.
class placement_memory {
public:
    void note_placed(std::string_view target);
    void note_report(std::string_view target);
    int placed_since_report(std::string_view target) const;

private:
    std::map<std::string, int, std::less<>> placed_;  // peers' targets only
};

}  // namespace bramleytrack::load
