// The faults and planned changes of a fault phase. Those of instances, targets and zones choose
// their object at random; those of the store and of the configuration apply to the whole fleet.
// Faults that last for a time schedule their own end. store_loses_answers() ends after a number of
// answers, stop_instance() when the instance has exited; the others take effect once.
//
// A fault after which an instance may reset open flows or stop slowly calls extend_excuse() or
// extend_all_excuses(). The others must cause neither.
#include <csignal>
#include <string>

#include "soak/soak.h"

namespace bramleytrack::standins {

const std::vector<soak::fault_kind> soak::fault_kinds{
    {"kill_instance", &soak::kill_instance},
    {"kill_many", &soak::kill_many},
    {"pause_instance", &soak::pause_instance},
    {"stop_instance", &soak::stop_instance},
    {"reload_instance", &soak::reload_instance},
    {"lose_store_of_instance", &soak::lose_store_of_instance},
    {"reset_streams_of_instance", &soak::reset_streams_of_instance},
    {"silence_streams_of_instance", &soak::silence_streams_of_instance},
    {"cut_instance_from_peers", &soak::cut_instance_from_peers},
    {"lose_packets_of_instance", &soak::lose_packets_of_instance},
    {"delay_packets_of_instance", &soak::delay_packets_of_instance},
    {"cut_zone", &soak::cut_zone},
    {"kill_target", &soak::kill_target},
    {"pause_target", &soak::pause_target},
    {"cut_target", &soak::cut_target},
    {"take_entry_away", &soak::take_entry_away},
    {"store_down", &soak::store_down},
    {"store_silent", &soak::store_silent},
    {"store_slow", &soak::store_slow},
    {"store_loses_answers", &soak::store_loses_answers},
    {"store_forgets", &soak::store_forgets},
    {"store_lapses", &soak::store_lapses},
    {"change_configuration", &soak::change_configuration},
    {"storm_of_configurations", &soak::storm_of_configurations},
    {"zone_out_and_back", &soak::zone_out_and_back},
};

void soak::kill_instance() {
    auto& instance = random_instance();
    const auto downtime = random_duration(50, 3'000);
    extend_excuse(instance.excused_until, downtime);
    instance.program->kill();
    instance.is_stopping = false;
    restart_later(instance, downtime);
}

void soak::kill_many() {
    const auto downtime = random_duration(100, 1'500);
    for (auto& each : fleet_.instances()) {
        if (random_below(3) > 0) {
            extend_excuse(each.excused_until, downtime);
            each.program->kill();
            each.is_stopping = false;
            restart_later(each, downtime);
        }
    }
}

void soak::pause_instance() {
    auto& instance = random_instance();
    const auto length = random_duration(100, 5'000);
    extend_excuse(instance.excused_until, length);
    instance.program->signal(SIGSTOP);
    schedule(length, [&instance] { instance.program->signal(SIGCONT); });
}

void soak::stop_instance() {
    auto& instance = random_instance();
    if (instance.is_stopping || !instance.program->is_running()) {
        return;
    }
    instance.is_stopping = true;
    stopping_since_[instance.name] = clock::now();
    instance.program->signal(SIGTERM);
}

void soak::reload_instance() {
    random_instance().program->signal(SIGHUP);
}

void soak::lose_store_of_instance() {
    auto& instance = random_instance();
    const auto length = random_duration(500, 6'000);
    extend_excuse(instance.excused_until, length);
    link_state state;
    state.is_refusing = random_below(3) == 0;
    state.is_cut_forward = random_below(2) == 0;
    state.is_cut_back = !state.is_cut_forward || random_below(2) == 0;
    instance.store->set(state);
    schedule(length, [&instance] { instance.store->set({}); });
}

void soak::reset_streams_of_instance() {
    auto& instance = random_instance();
    extend_excuse(instance.excused_until, clock::duration{0});
    instance.store->reset_all();
    instance.pulls->reset_all();
}

void soak::silence_streams_of_instance() {
    auto& instance = random_instance();
    extend_excuse(instance.excused_until, clock::duration{0});
    instance.store->silence_all();
    instance.pulls->silence_all();
}

// Cuts what peers send to the instance, digests and pulls. Unless the cut is inbound only, its
// digests to peers and its replies to their pulls are dropped too. Its own pulls from peers pass.
void soak::cut_instance_from_peers() {
    auto& instance = random_instance();
    const auto length = random_duration(500, 6'000);
    extend_excuse(instance.excused_until, length);
    const bool is_inbound_only = random_below(2) == 0;
    instance.digests->set({.is_cut_forward = true});
    instance.pulls->set({.is_cut_forward = true, .is_cut_back = !is_inbound_only});
    for (auto& each : fleet_.instances()) {
        each.digests->block(instance.packet_source, !is_inbound_only);
    }
    schedule(length, [this, &instance] {
        instance.digests->set({});
        instance.pulls->set({});
        for (auto& each : fleet_.instances()) {
            each.digests->block(instance.packet_source, false);
        }
    });
}

// Drops a part of the packets and digests towards the instance.
void soak::lose_packets_of_instance() {
    auto& instance = random_instance();
    const auto length = random_duration(500, 4'000);
    extend_excuse(instance.excused_until, length);
    const double loss = 0.02 * (1 + random_below(10));
    instance.packets->set({.loss = loss});
    instance.digests->set({.loss = loss});
    schedule(length, [&instance] {
        instance.packets->set({});
        instance.digests->set({});
    });
}

// Delays the packets towards the instance and, in both directions, its store link.
void soak::delay_packets_of_instance() {
    auto& instance = random_instance();
    const auto length = random_duration(500, 4'000);
    extend_excuse(instance.excused_until, length);
    const auto delay = random_duration(5, 400);
    instance.packets->set({.delay = delay});
    instance.store->set({.delay = delay});
    schedule(length, [&instance] {
        instance.packets->set({});
        instance.store->set({});
    });
}

void soak::cut_zone() {
    const int zone = random_below(soak_fleet::zones);
    const auto length = random_duration(500, 6'000);
    // Callers and targets on both sides of the cut lose contact.
    extend_all_excuses(length);
    const auto cut = [this, zone](bool is_cut) {
        for (int other = 0; other < soak_fleet::zones; ++other) {
            if (other != zone) {
                fleet_.cut_zones(zone, other, is_cut);
            }
        }
    };
    cut(true);
    schedule(length, [cut] { cut(false); });
}

void soak::kill_target() {
    auto& target = random_target();
    const auto downtime = random_duration(50, 4'000);
    extend_excuse(target.excused_until, downtime);
    target.program->kill();
    // A crashed target does not deregister: its entry is removed after three missed heartbeats.
    constexpr clock::duration entry_timeout{1'200};
    schedule(entry_timeout, [this, &target] {
        if (!target.program->is_running()) {
            fleet_.remove_entry(target.id);
        }
    });
    restart_later(target, downtime);
}

void soak::pause_target() {
    auto& target = random_target();
    const auto length = random_duration(100, 3'000);
    extend_excuse(target.excused_until, length);
    target.program->signal(SIGSTOP);
    schedule(length, [&target] { target.program->signal(SIGCONT); });
}

// Drops all or 30 % of the packets towards the target. Its answers to callers and its heartbeats do
// not pass through this link.
void soak::cut_target() {
    auto& target = random_target();
    const auto length = random_duration(300, 4'000);
    extend_excuse(target.excused_until, length);
    target.packets->set({.loss = random_below(2) == 0 ? 1.0 : 0.3});
    schedule(length, [&target] { target.packets->set({}); });
}

void soak::take_entry_away() {
    // The next heartbeat restores the entry; open flows must not be affected.
    fleet_.remove_entry(random_target().id);
}

void soak::store_down() {
    const auto length = random_duration(300, 5'000);
    fleet_.set_store_fault("down=1");
    schedule(length, [this] { fleet_.set_store_fault("down=0"); });
}

void soak::store_silent() {
    const auto length = random_duration(300, 5'000);
    fleet_.set_store_fault("silent=1");
    schedule(length, [this] { fleet_.set_store_fault("silent=0"); });
}

void soak::store_slow() {
    const auto length = random_duration(1'000, 4'000);
    const auto delay = random_duration(50, 300);
    for (auto& each : fleet_.instances()) {
        each.store->set({.delay = delay});
    }
    schedule(length, [this] {
        for (auto& each : fleet_.instances()) {
            each.store->set({});
        }
    });
}

void soak::store_loses_answers() {
    fleet_.set_store_fault("lost=" + std::to_string(1 + random_below(6)));
}

void soak::store_forgets() {
    fleet_.set_store_fault("forget=1");
}

void soak::store_lapses() {
    fleet_.set_store_fault("lapse=1");
}

void soak::change_configuration() {
    fleet_.write_configuration(random_below(12));
}

void soak::storm_of_configurations() {
    for (int i = 0; i < 6; ++i) {
        schedule(clock::duration{i * 90},
                 [this] { fleet_.write_configuration(random_below(200)); });
    }
}

void soak::zone_out_and_back() {
    const int zone = random_below(soak_fleet::zones);
    fleet_.write_zone(zone, true);
    schedule(random_duration(500, 6'000), [this, zone] { fleet_.write_zone(zone, false); });
}

}  // namespace bramleytrack::standins
