// The instances of an overload experiment. They run the real steering code and failure detectors,
// and exchange digests and their verdicts that targets are dead in memory.
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
#include "wire/codec.h"

namespace bramleytrack::experiments {

std::string service_name(std::size_t service);

class overload_fleet {
public:
    // Of the route with the index 0; the others follow.
    static constexpr std::uint16_t first_port = 443;
    static constexpr std::uint16_t unused_port = 442;  // highest priority, but no caller uses it

    overload_fleet(const overload_pattern& pattern, std::span<const overload_route> routes,
                   const overload_features& features, clock::time_point start);

    overload_fleet(const overload_fleet&) = delete;
    overload_fleet& operator=(const overload_fleet&) = delete;

    std::size_t zones() const { return instances_of_zone_.size(); }
    std::span<const std::size_t> instances_of(std::size_t zone) const {
        return instances_of_zone_[zone];
    }
    std::size_t instances() const { return instances_.size(); }
    steering::steering& core(std::size_t index) { return *instances_[index].core; }
    // Replaces the instance by one that knows only the directory.
    void restart(std::size_t index);
    std::size_t services() const { return target_counts_.size(); }
    std::size_t service_of(std::size_t target) const;
    // Index of the target, starting with 0.
    std::size_t target_index_of(steering::routing_token token) const {
        return target_index_by_token_.at(token);
    }
    void exchange_digests(clock::time_point now);

    // Called when an instance probes a target. The owner of the fleet must pass the result to
    // report_probe_result().
    using probe_callback = std::function<void(std::size_t instance, std::size_t target)>;
    void set_probe_callback(probe_callback callback) { probe_ = std::move(callback); }
    void report_probe_result(std::size_t index, std::size_t target, bool is_reachable,
                             clock::time_point now);
    // Starts the failure detection of the targets that the instance suspects.
    void probe_suspected_targets(std::size_t index, clock::time_point now);

private:
    class null_log final : public event_log {
    public:
        bool admits(log_kind /*kind*/, clock::time_point /*now*/) override { return false; }
        void write(const log_event& /*event*/) override {}
    };

    class null_observer final : public steering::flow_observer {
    public:
        void on_opening_answered(const discovery::target& /*by*/,
                                 clock::duration /*took*/) override {}
        void on_answer(const discovery::target& /*by*/, clock::duration /*took*/) override {}
        void on_decision(std::string_view /*service*/,
                         const steering::decision& /*decision*/) override {}
    };

    // Carries out the actions of an instance's target failure detector.
    class detector_actions final : public fleet::failure_detector_actions {
    public:
        detector_actions(overload_fleet& fleet, std::size_t index) : fleet_{fleet}, index_{index} {}

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
        std::size_t index_;
    };

    struct instance {
        std::string name;
        std::string zone;
        std::unique_ptr<detector_actions> actions;
        std::unique_ptr<fleet::target_failure_detector> failure_detector;
        std::unique_ptr<fleet::peer_digests> digests;
        std::unique_ptr<steering::cold_gate> cold;
        std::unique_ptr<steering::steering> core;
    };

    void add_routes(std::span<const overload_route> routes, clock::time_point start);
    void add_targets(clock::time_point start);
    void add_instance(std::size_t zone);
    bool are_digests_lost(clock::time_point now) const;
    wire::digest digest_of(const instance& source, clock::time_point now);

    overload_pattern pattern_;
    overload_features features_;
    clock::time_point start_;
    std::vector<int> target_counts_;  // by service
    discovery::directory directory_;
    wire::encoder encoder_;
    wire::fleet_key key_ = wire::derive_fleet_key("overload");
    null_log log_;
    null_observer observer_;
    std::vector<instance> instances_;
    std::map<std::string, std::size_t, std::less<>> index_by_name_;  // key: instance name
    probe_callback probe_;
    clock::time_point now_;
    std::vector<std::vector<std::size_t>> instances_of_zone_;  // indices into instances_
    std::unordered_map<steering::routing_token, std::size_t> target_index_by_token_;
};

}  // namespace bramleytrack::experiments
