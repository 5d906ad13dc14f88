// The instances of an overload run: real decisions, with what they know of each other.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "discovery/directory.h"
#include "fleet/peer_digests.h"
#include "fleet/target_failure_detector.h"
#include "overload_experiment.h"
#include "steering/steering.h"

namespace bramleytrack::experiments {

class overload_fleet {
public:
    // Routes to the same service.
    static constexpr std::uint16_t short_port = 443;
    static constexpr std::uint16_t long_port = 444;
    static constexpr std::uint16_t urgent_port = 445;
    static constexpr std::uint16_t unused_port = 446;  // ranked first, and nobody asks by it

    overload_fleet(const overload_pattern& pattern, const overload_choice& choice,
                   clock::time_point start);

    overload_fleet(const overload_fleet&) = delete;
    overload_fleet& operator=(const overload_fleet&) = delete;

    std::size_t zones() const { return instances_of_zone_.size(); }
    std::span<const std::size_t> instances_of(std::size_t zone) const {
        return instances_of_zone_[zone];
    }
    steering::steering& core(std::size_t number) { return *instances_[number].core; }
    // The number of the target, from 0 on.
    std::size_t host_of(steering::routing_token token) const { return host_of_.at(token); }
    void exchange_digests(clock::time_point now);

    // Told that an instance tries to reach a target; on_probed is to be called with the outcome.
    using probe_callback = std::function<void(std::size_t instance, std::size_t host)>;
    void on_probe(probe_callback callback) { probe_ = std::move(callback); }
    void on_probed(std::size_t number, std::size_t host, bool is_reachable, clock::time_point now);
    // Checks the targets that the instance has become suspicious of.
    void check_suspects(std::size_t number, clock::time_point now);

private:
    class quiet_log final : public event_log {
    public:
        bool admits(log_kind /*kind*/, clock::time_point /*now*/) override { return false; }
        void write(const log_event& /*event*/) override {}
    };

    class no_observer final : public steering::flow_observer {
    public:
        void on_opening_answered(const discovery::target& /*by*/,
                                 clock::duration /*took*/) override {}
        void on_answer(const discovery::target& /*by*/, clock::duration /*took*/) override {}
        void on_decision(std::string_view /*service*/,
                         const steering::decision& /*made*/) override {}
    };

    // What an instance does in the course of an inquiry.
    class checks final : public fleet::failure_detector_actions {
    public:
        checks(overload_fleet& fleet, std::size_t number) : fleet_{fleet}, number_{number} {}

        void probe(const discovery::target& target) override;
        void request_indirect_probe(const discovery::peer_entry& peer,
                                    discovery::routing_token token) override;
        void send_indirect_probe_result(const discovery::peer_entry& peer,
                                        discovery::routing_token token, bool is_reachable) override;
        void on_dead(const discovery::target& target, clock::time_point probed_at,
                     std::span<const std::string> confirmed_by, clock::time_point now) override;
        void on_reported_dead(const discovery::target& target, clock::time_point until) override;
        void on_found_alive(const discovery::target& target) override;

    private:
        overload_fleet& fleet_;
        std::size_t number_;
    };

    struct instance {
        std::string name;
        std::unique_ptr<checks> actions;
        std::unique_ptr<fleet::target_failure_detector> inquiries;
        std::unique_ptr<fleet::peer_digests> digests;
        std::unique_ptr<steering::cold_gate> cold;
        std::unique_ptr<steering::steering> core;
    };

    void add_routes(clock::time_point start);
    void add_targets(clock::time_point start);
    void add_instance(std::size_t zone);
    wire::digest digest_of(const instance& subject, clock::time_point now) const;

    overload_pattern pattern_;
    overload_choice choice_;
    discovery::directory known_;
    quiet_log log_;
    no_observer observer_;
    std::vector<instance> instances_;
    std::map<std::string, std::size_t, std::less<>> number_of_;  // by the instance's name
    probe_callback probe_;
    clock::time_point now_;
    std::vector<std::vector<std::size_t>> instances_of_zone_;  // into instances_
    std::unordered_map<steering::routing_token, std::size_t> host_of_;
};

}  // namespace bramleytrack::experiments
