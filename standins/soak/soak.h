// A randomized soak test. Each round has a fault phase, in which seeded faults and planned changes
// overlap, and a steady phase, in which all faults are cleared and the fleet must recover.
//
// Checked in both phases:
// - The answer to a request comes from a target of the requested service. Answers whose id is not
//   that of the flow's current request are dropped and not counted.
// - No instance reverts to an older version or revision between its start and its exit.
// - No instance exits unless the soak killed it or told it to stop. An instance that was told to
//   stop exits with status 0 and, unless it is excused by a fault, in time.
// - An open flow is reset only if on_reset() or on_reset_by_target() excuses it.
// Counted by the targets and read at the end of the steady phase; a restart of a target clears its
// counts:
// - No target runs a request more than once. Counts of different targets are not added up, so a
//   request that runs once at each of two targets is not found.
// - No cold target gets more flows per second than its limit.
// - No target gets new flows from 3 s after its drain on. This finds nothing at present, see
//   check_target_reports().
// Checked in the steady phase only, since it needs a working fleet:
// - Every instance is ready and has the latest configuration within the recovery time.
// - A configuration change reaches every instance in time.
// - The targets of an evacuated zone get no new flows once the evacuation must have taken effect.
// - Few requests and openings time out.
#pragma once

#include <ev++.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "flow_caller/flow_caller.h"
#include "soak/soak_fleet.h"

namespace bramleytrack::standins {

struct soak_result {
    caller_tally tally;
    std::vector<std::string> violations;
    std::map<std::string, int> fault_counts;  // faults and changes, by name
    // Open flows that another target reset after their opening had been retransmitted. Two targets
    // may have accepted such a flow, and packets that then go to the other target are reset.
    int accepted_twice = 0;
};

class soak {
public:
    soak(ev::loop_ref loop, soak_options options);

    void run_round(clock::duration fault_phase);
    soak_result finish();

private:
    struct action {
        clock::time_point at;
        std::int64_t order = 0;
        std::function<void()> callback;
    };
    struct is_later {
        bool operator()(const action& left, const action& right) const {
            return left.at != right.at ? left.at > right.at : left.order > right.order;
        }
    };
    // The state that an instance last reported in its metrics, and the process start it belongs to.
    struct reported_state {
        int incarnation = 0;
        double version = 0;
        double revision = 0;
        bool is_ready = false;
    };
    using fault = void (soak::*)();
    struct fault_kind {
        const char* name;
        fault inject;
    };
    static const std::vector<fault_kind> fault_kinds;

    void start();
    void run_for(clock::duration time);
    void schedule(clock::duration wait, std::function<void()> callback);
    void on_tick(ev::timer& watcher, int events);
    void inject_fault();

    // Faults and planned changes; soak_faults.cpp says how they choose their objects and end.
    void kill_instance();
    void kill_many();
    void pause_instance();
    void stop_instance();
    void reload_instance();
    void lose_store_of_instance();
    void reset_streams_of_instance();
    void silence_streams_of_instance();
    void cut_instance_from_peers();
    void lose_packets_of_instance();
    void delay_packets_of_instance();
    void cut_zone();
    void kill_target();
    void pause_target();
    void cut_target();
    void take_entry_away();
    void store_down();
    void store_silent();
    void store_slow();
    void store_loses_answers();
    void store_forgets();
    void store_lapses();
    void change_configuration();
    void storm_of_configurations();
    void zone_out_and_back();

    void run_steady_phase();
    void check_recovery();
    void check_version(std::int64_t expected);
    void check_no_new_openings(int zone, std::map<std::string, int> before);
    void query_openings(int zone, std::function<void(std::map<std::string, int>)> done);
    void check_target_reports();

    void restart_later(soak_instance& instance, clock::duration wait);
    void restart_later(soak_target& target, clock::duration wait);
    void check_processes();
    void poll_instances();
    void record_reported_state(const std::string& name, int incarnation,
                               const std::string& metrics);
    void on_reset(const flow_reset& reset);
    void on_reset_by_target(const flow_reset& reset, const soak_target& target);
    void report_violation(const std::string& description);
    // Extends a period in which resets and slow stops are excused to the end of a fault of this
    // length plus the settle time.
    static void extend_excuse(clock::time_point& until, clock::duration length);
    void extend_all_excuses(clock::duration length);

    soak_instance& random_instance();
    soak_target& random_target();
    clock::duration random_duration(int min_ms, int max_ms);
    int random_below(int count);

    ev::loop_ref loop_;
    soak_options options_;
    std::mt19937_64 random_;
    soak_fleet fleet_;
    std::unique_ptr<flow_caller> callers_;
    ev::timer ticker_;
    ev::timer alarm_;
    std::priority_queue<action, std::vector<action>, is_later> actions_;
    std::int64_t last_order_ = 0;
    std::map<std::string, reported_state> reported_states_;
    std::map<std::string, int> pending_starts_;
    std::map<std::string, clock::time_point> stopping_since_;
    std::map<std::string, int> runs_;  // unused: run counts are not added up over the targets
    clock::time_point next_poll_;
    clock::time_point started_at_;
    bool is_fault_phase_ = false;
    soak_result result_;
};

}  // namespace bramleytrack::standins
