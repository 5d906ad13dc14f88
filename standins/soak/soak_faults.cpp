// The faults and planned changes of a storm: each picks its subject and mends itself after a while.
#include <csignal>
#include <string>

#include "soak/soak.h"

namespace bramleytrack::standins {

const std::vector<soak::fault_kind> soak::kinds{
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
    auto& subject = any_instance();
    const auto dark = between(50, 3'000);
    disturb(subject.disturbed_until, dark);
    subject.program->kill();
    subject.is_stopping = false;
    restart_later(subject, dark);
}

void soak::kill_many() {
    const auto dark = between(100, 1'500);
    for (auto& each : fleet_.instances()) {
        if (pick(3) > 0) {
            disturb(each.disturbed_until, dark);
            each.program->kill();
            each.is_stopping = false;
            restart_later(each, dark);
        }
    }
}

void soak::pause_instance() {
    auto& subject = any_instance();
    const auto length = between(100, 5'000);
    disturb(subject.disturbed_until, length);
    subject.program->signal(SIGSTOP);
    after(length, [&subject] { subject.program->signal(SIGCONT); });
}

void soak::stop_instance() {
    auto& subject = any_instance();
    if (subject.is_stopping || !subject.program->is_running()) {
        return;
    }
    subject.is_stopping = true;
    stopping_since_[subject.name] = clock::now();
    subject.program->signal(SIGTERM);
}

void soak::reload_instance() {
    any_instance().program->signal(SIGHUP);
}

void soak::lose_store_of_instance() {
    auto& subject = any_instance();
    const auto length = between(500, 6'000);
    disturb(subject.disturbed_until, length);
    link_state state;
    state.is_refusing = pick(3) == 0;
    state.is_cut_forward = pick(2) == 0;
    state.is_cut_back = !state.is_cut_forward || pick(2) == 0;
    subject.store->set(state);
    after(length, [&subject] { subject.store->set({}); });
}

void soak::reset_streams_of_instance() {
    auto& subject = any_instance();
    disturb(subject.disturbed_until, clock::duration{0});
    subject.store->reset_all();
    subject.pulls->reset_all();
}

void soak::silence_streams_of_instance() {
    auto& subject = any_instance();
    disturb(subject.disturbed_until, clock::duration{0});
    subject.store->silence_all();
    subject.pulls->silence_all();
}

void soak::cut_instance_from_peers() {
    auto& subject = any_instance();
    const auto length = between(500, 6'000);
    disturb(subject.disturbed_until, length);
    const bool is_one_way = pick(2) == 0;
    subject.digests->set({.is_cut_forward = true});
    subject.pulls->set({.is_cut_forward = true, .is_cut_back = !is_one_way});
    for (auto& each : fleet_.instances()) {
        each.digests->block(subject.packet_source, !is_one_way);
    }
    after(length, [this, &subject] {
        subject.digests->set({});
        subject.pulls->set({});
        for (auto& each : fleet_.instances()) {
            each.digests->block(subject.packet_source, false);
        }
    });
}

void soak::lose_packets_of_instance() {
    auto& subject = any_instance();
    const auto length = between(500, 4'000);
    disturb(subject.disturbed_until, length);
    const double loss = 0.02 * (1 + pick(10));
    subject.packets->set({.loss = loss});
    subject.digests->set({.loss = loss});
    after(length, [&subject] {
        subject.packets->set({});
        subject.digests->set({});
    });
}

void soak::delay_packets_of_instance() {
    auto& subject = any_instance();
    const auto length = between(500, 4'000);
    disturb(subject.disturbed_until, length);
    const auto delay = between(5, 400);
    subject.packets->set({.delay = delay});
    subject.store->set({.delay = delay});
    after(length, [&subject] {
        subject.packets->set({});
        subject.store->set({});
    });
}

void soak::cut_zone() {
    const int zone = pick(soak_fleet::zones);
    const auto length = between(500, 6'000);
    // Callers and targets on both sides lose each other.
    disturb_all(length);
    const auto cut = [this, zone](bool is_cut) {
        for (int other = 0; other < soak_fleet::zones; ++other) {
            if (other != zone) {
                fleet_.cut_zones(zone, other, is_cut);
            }
        }
    };
    cut(true);
    after(length, [cut] { cut(false); });
}

void soak::kill_target() {
    auto& subject = any_target();
    const auto dark = between(50, 4'000);
    disturb(subject.disturbed_until, dark);
    subject.program->kill();
    // A crash says nothing to the store: the entry goes after three heartbeats of silence.
    constexpr clock::duration silence{1'200};
    after(silence, [this, &subject] {
        if (!subject.program->is_running()) {
            fleet_.remove_entry(subject.id);
        }
    });
    restart_later(subject, dark);
}

void soak::pause_target() {
    auto& subject = any_target();
    const auto length = between(100, 3'000);
    disturb(subject.disturbed_until, length);
    subject.program->signal(SIGSTOP);
    after(length, [&subject] { subject.program->signal(SIGCONT); });
}

void soak::cut_target() {
    auto& subject = any_target();
    const auto length = between(300, 4'000);
    disturb(subject.disturbed_until, length);
    subject.packets->set({.loss = pick(2) == 0 ? 1.0 : 0.3});
    after(length, [&subject] { subject.packets->set({}); });
}

void soak::take_entry_away() {
    // Its next heartbeat brings it back; open flows must not notice.
    fleet_.remove_entry(any_target().id);
}

void soak::store_down() {
    const auto length = between(300, 5'000);
    fleet_.set_store_fault("down=1");
    after(length, [this] { fleet_.set_store_fault("down=0"); });
}

void soak::store_silent() {
    const auto length = between(300, 5'000);
    fleet_.set_store_fault("silent=1");
    after(length, [this] { fleet_.set_store_fault("silent=0"); });
}

void soak::store_slow() {
    const auto length = between(1'000, 4'000);
    const auto delay = between(50, 300);
    for (auto& each : fleet_.instances()) {
        each.store->set({.delay = delay});
    }
    after(length, [this] {
        for (auto& each : fleet_.instances()) {
            each.store->set({});
        }
    });
}

void soak::store_loses_answers() {
    fleet_.set_store_fault("lost=" + std::to_string(1 + pick(6)));
}

void soak::store_forgets() {
    fleet_.set_store_fault("forget=1");
}

void soak::store_lapses() {
    fleet_.set_store_fault("lapse=1");
}

void soak::change_configuration() {
    fleet_.write_configuration(pick(12));
}

void soak::storm_of_configurations() {
    for (int i = 0; i < 6; ++i) {
        after(clock::duration{i * 90}, [this] { fleet_.write_configuration(pick(200)); });
    }
}

void soak::zone_out_and_back() {
    const int zone = pick(soak_fleet::zones);
    fleet_.write_zone(zone, true);
    after(between(500, 6'000), [this, zone] { fleet_.write_zone(zone, false); });
}

}  // namespace bramleytrack::standins
