// A randomized soak: rounds of a storm, in which faults and planned changes of a seed overlap, and
// of a calm, in which everything is mended and must work again.
//
// What is checked all the time holds whatever happens: nobody gets another's answer, nothing runs
// twice, no instance goes back to older knowledge or ends by itself, a cold target gets no more
// than it bears. Whether an open flow may be reset depends on who was disturbed, see on_reset().
// The calm checks what needs a working fleet: changes in force in time, drains, zones out, graceful
// stops, and that requests are served.
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
    std::map<std::string, int> played;  // faults and changes, by name
    // Flows that two targets took, since the first one's answer came after the caller's copy, and
    // that were lost when the caller's packets went to the other one.
    int taken_twice = 0;
};

class soak {
public:
    soak(ev::loop_ref loop, soak_options options);

    void play_round(clock::duration storm);
    soak_result finish();

private:
    struct action {
        clock::time_point at;
        std::int64_t order = 0;
        std::function<void()> act;
    };
    struct is_later {
        bool operator()(const action& left, const action& right) const {
            return left.at != right.at ? left.at > right.at : left.order > right.order;
        }
    };
    // What an instance said of itself last, within one life of its process.
    struct belief {
        int life = 0;
        double version = 0;
        double revision = 0;
        bool is_ready = false;
    };
    using fault = void (soak::*)();
    struct fault_kind {
        const char* name;
        fault begin;
    };
    static const std::vector<fault_kind> kinds;

    void start();
    void pass(clock::duration time);
    void after(clock::duration wait, std::function<void()> act);
    void on_tick(ev::timer& watcher, int events);
    void begin_fault();

    // Faults. Each picks its subject, and mends itself after a while.
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

    void play_calm();
    void check_calm_start();
    void check_version(std::int64_t wanted);
    void compare_openings(int zone, std::map<std::string, int> before);
    void ask_openings(int zone, std::function<void(std::map<std::string, int>)> done);
    void collect_reports();

    void restart_later(soak_instance& subject, clock::duration wait);
    void restart_later(soak_target& subject, clock::duration wait);
    void watch_processes();
    void ask_beliefs();
    void take_belief(const std::string& name, int life, const std::string& metrics);
    void on_reset(const flow_reset& what);
    void on_reset_by_target(const flow_reset& what, const soak_target& target);
    void complain(const std::string& what);
    static void disturb(clock::time_point& until, clock::duration length);
    void disturb_all(clock::duration length);

    soak_instance& any_instance();
    soak_target& any_target();
    clock::duration between(int least_ms, int most_ms);
    int pick(int number);

    ev::loop_ref loop_;
    soak_options options_;
    std::mt19937_64 random_;
    soak_fleet fleet_;
    std::unique_ptr<flow_caller> callers_;
    ev::timer ticker_;
    ev::timer alarm_;
    std::priority_queue<action, std::vector<action>, is_later> actions_;
    std::int64_t last_order_ = 0;
    std::map<std::string, belief> beliefs_;
    std::map<std::string, int> pending_starts_;
    std::map<std::string, clock::time_point> stopping_since_;
    std::map<std::string, int> runs_;  // of each request, over all targets that still live
    clock::time_point next_question_;
    clock::time_point began_;
    bool is_storm_ = false;
    soak_result result_;
};

}  // namespace bramleytrack::standins
