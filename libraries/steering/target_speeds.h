// The speed of targets, relative to the others of their service.
//
// Handles targets that take several times as long as others for the same work. Counted by slots,
// such a target seems to have as much capacity as any other: it collects requests until its queue
// rejects them. The speed follows from answer times, each compared to what the answer should have
// taken, so that a target with long requests isn't taken for a slow one. All answers are late in
// overload; a target is slow only compared to the median of its service.
//
// One instance sees few answers of any one target, and its own path may be slow. Estimates are
// shared in digests, and a target counts as slow only if at least two instances found it slow. An
// estimate fades unless it is confirmed, so a target that gets no traffic recovers.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "discovery/target.h"

namespace bramleytrack::steering {

struct target_speed_limits {
    // In this time, the evidence for a slow target loses half of its weight.
    clock::duration half_life{3'000};
    // A target above this speed counts as normal.
    double max_slow_speed = 0.6;
    // A single answer may be late for many reasons. The newest one has at most this part of the
    // weight, so that it can't make a normal target slow: (2 + 0) / 3 is above max_slow_speed.
    int min_answers = 3;
    int min_witnesses = 2;  // instances, this one included
    // Reports of a peer expire when its digests stop.
    clock::duration report_lifetime{1'200};
};

using discovery::routing_token;

struct target_speed_report {
    routing_token token = 0;
    double speed = 1;
};

class target_speeds {
public:
    explicit target_speeds(target_speed_limits limits = {}) : limits_{limits} {}

    // `expected`: the work of the request, and its wait for those that were open on the target.
    void record_answer(std::string_view service, routing_token token, clock::duration expected,
                       clock::duration observed, clock::time_point now);
    void on_report(std::string_view peer, const target_speed_report& report, clock::time_point now);

    // From above 0 to 1; 1 for a target that isn't known to be slow.
    double speed_of(routing_token token, clock::time_point now) const;
    // The slowest targets that this instance itself has found slow, for a digest.
    std::vector<target_speed_report> slowest(std::size_t max_count, clock::time_point now) const;
    // Forgets what no longer counts; to be called regularly.
    void expire(clock::time_point now);

private:
    // What this instance's own answers say about a target.
    struct estimate {
        std::uint64_t service = 0;  // hash of its name
        double average = 0;         // of expected/observed
        double weight = 0;          // of the average, in answers
        int answers = 0;
        clock::time_point answered_at;  // the newest answer
        // Relative to the service as of the latest comparison; 1 if unknown.
        double speed = 1;
    };
    struct peer_report {
        std::uint64_t peer = 0;  // hash of its name
        double speed = 1;
        clock::time_point received_at;
    };

    // 1 for new evidence, halved in each half-life, 0 for evidence that no longer counts.
    double freshness(clock::duration age) const;
    double own_speed(const estimate& own, clock::time_point now) const;
    bool is_fresh(const peer_report& report, clock::time_point now) const;
    // Compares the averages with the median of their service. Runs now and then only.
    void compare(clock::time_point now);

    target_speed_limits limits_;
    std::unordered_map<routing_token, estimate> estimates_;
    std::unordered_map<routing_token, std::vector<peer_report>> reports_;
    std::optional<clock::time_point> compared_at_;
};

}  // namespace bramleytrack::steering
