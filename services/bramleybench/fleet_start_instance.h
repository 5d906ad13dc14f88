// One starting instance of a simulated fleet: the real feed and mirror, with calls that pass
// through the simulated links and responses that wait for the instance's processor.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "fleet/startup_sync.h"
#include "fleet/transfer_budget.h"
#include "fleet_network.h"
#include "fleet_store_model.h"
#include "store/feed.h"
#include "store/mirror.h"

namespace bramleytrack::experiments {

// What an instance pays for the entries that it receives and sends, on a whole core.
struct fleet_start_costs {
    double page_entry_ms = 0.0055;    // parsing an entry of a page, decoding and applying it
    double copied_entry_ms = 0.0045;  // the same for an entry of a peer's copy
    double encoded_entry_ms = 0.002;  // encoding and compressing an entry for peers
    std::int64_t bytes_per_copied_entry = 25;
};

class fleet_start_instance final : public store::client {
public:
    struct traits {
        std::string name;
        fleet_network::node node = 0;
        double link_mbps = 0;
        double cpu_share = 0;
        std::uint64_t seed = 0;
        bool restarts_timeout = false;  // whether a received byte restarts the timeout of a page
        bool uses_peers = false;        // otherwise only the store
    };

    fleet_start_instance(fleet_network& network, fleet_store_model& platform, const traits& own);

    // Finds the instance at a pull address.
    using peer_finder = std::function<fleet_start_instance*(const std::string& pull_address)>;

    void set_peer_finder(peer_finder find_peer) { find_peer_ = std::move(find_peer); }
    void tick(clock::time_point now);
    // Gives the instance the complete state at once, like one that wasn't restarted.
    void hold_state();
    bool has_state() const { return has_state_; }
    clock::time_point ready_at() const { return ready_at_; }
    fleet_network::node node() const { return own_.node; }

    clock::time_point last_received_at() const override {
        return network_.last_received_at(own_.node);
    }
    void range(std::string_view prefix, std::string_view after_key, store::read_freshness freshness,
               clock::duration timeout, store::callback<store::page> done) override;

    // Not used before the state is complete; these calls are never answered.
    void get(std::string_view /*key*/, clock::duration /*timeout*/,
             store::callback<store::lookup_result> /*done*/) override {}
    void watch(std::string_view /*prefix*/, std::int64_t /*revision*/, clock::duration /*wait*/,
               clock::duration /*timeout*/,
               store::callback<store::watch_result> /*done*/) override {}
    void commit(const store::transaction& /*request*/, clock::duration /*timeout*/,
                store::callback<store::committed> /*done*/) override {}
    void grant_lease(clock::duration /*lifetime*/, clock::duration /*timeout*/,
                     store::callback<store::lease> /*done*/) override {}
    void renew_lease(std::int64_t /*number*/, clock::duration /*timeout*/,
                     store::callback<store::lease> /*done*/) override {}
    void end_lease(std::int64_t /*number*/, clock::duration /*timeout*/,
                   store::callback<store::lease> /*done*/) override {}

private:
    // Occupies the processor for `work_ms` of a whole core, then calls `done`.
    void run_on_processor(double work_ms, fleet_network::event_callback done);
    void query(const fleet::pull_source& from, clock::time_point now);
    // The size of the copy that a peer receives.
    std::variant<std::int64_t, fleet::copy_refusal> admit_copy(clock::time_point now);
    void on_refused(fleet::copy_refusal reason, clock::time_point now);
    void receive_copy(const fleet_start_instance& from);
    void on_page(const store::page& received, const store::callback<store::page>& done);
    void become_ready(clock::time_point now);

    fleet_network& network_;
    fleet_store_model& platform_;
    traits own_;
    fleet_start_costs costs_;
    store::mirror mirror_;
    store::feed feed_;
    fleet::startup_sync startup_;
    fleet::transfer_budget copy_budget_;
    peer_finder find_peer_;
    fleet::copy_progress copy_ = fleet::copy_progress::none;
    clock::time_point copy_encoded_at_;
    clock::time_point processor_free_at_;
    clock::time_point ready_at_;
    bool has_state_ = false;
};

}  // namespace bramleytrack::experiments
