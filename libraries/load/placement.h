// Chooses among the candidates of a new flow.
//
// Handles many flows of unequal length and weight, placed by several homes at the same time. By the
// hash alone the most loaded target stands well above the mean.
// The less loaded of the first two eligible candidates is chosen (Mitzenmacher 2001). A home counts
// the flows of its own targets exactly; for other targets it adds the flows that it has placed
// there since the owner's last heartbeat to the count in that heartbeat. Otherwise all homes would
// send their flows to the same target between two heartbeats.
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
    double relative_load = 0;  // connections over weight, as last reported
};

// The second candidate is tried first only if its load is lower by this fraction: each flow that
// isn't on its first candidate costs its home a record.
constexpr double second_choice_threshold = 0.01;

// Indices of the eligible candidates in the order in which they are to be tried.
std::vector<std::size_t> order_candidates(std::span<const candidate> candidates,
                                          double threshold = second_choice_threshold);

// Counts the flows that this instance has placed on peers' targets since their owners' last
// heartbeats.
class unreported_placements {
public:
    void record_placement(std::string_view target);
    void reset_on_report(std::string_view target);
    int placed_since_report(std::string_view target) const;

private:
    std::map<std::string, int, std::less<>> placed_;  // peers' targets only
};

}  // namespace bramleytrack::load
