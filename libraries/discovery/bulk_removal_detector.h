// Detects that most entries of a service were removed at about the same time.
//
// An outage of the store can be too short for any call to fail and still let the entries of all
// targets expire. A healthy service would then reject its callers until the targets have registered
// again. If at least half of a service's targets, and at least two, are unexpectedly removed within
// the window, their entries have expired; the targets have not stopped.
//
// Each removal is handled once, however many there are: a zone of a large fleet removes hundreds of
// entries at a time, and a pass over all targets for each would block the event loop for seconds.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace bramleytrack::discovery {

class bulk_removal_detector {
public:
    // `window`: the longest time between removals of the same cause.
    explicit bulk_removal_detector(clock::duration window) : window_{window} {}

    void on_listed() { ++listed_; }
    void on_unlisted() { --listed_; }
    // A target was removed without having drained. Its removal counts until the window has passed
    // or it is listed again.
    void on_unexpected_removal(std::string_view id, clock::time_point now);
    // A target that was unexpectedly removed is listed again.
    void on_relisted(std::string_view id);

    // The ids whose entries seem to have expired and that weren't returned before.
    std::vector<std::string> take_expired_entries(clock::time_point now);

private:
    struct removal {
        std::string id;
        clock::time_point at;
        bool is_relisted = false;
    };

    void drop_old_removals(clock::time_point now);

    clock::duration window_;
    std::size_t listed_ = 0;
    std::deque<removal> removals_;  // ordered by time, within the window
    // The number of the newest removal of each id, counted from the first one ever.
    std::unordered_map<std::string, std::size_t> numbers_;
    std::size_t first_number_ = 0;      // of the front of removals_
    std::size_t counted_removals_ = 0;  // those that aren't listed again
    std::size_t returned_ = 0;          // at the front of removals_, by take_expired_entries()
};

}  // namespace bramleytrack::discovery
