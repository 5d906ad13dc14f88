// Digests and pulls between instances that route by token: sockets and calls for what fleet/
// decides.
#pragma once

#include <ev++.h>

#include <functional>
#include <span>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "fleet/peer_digests.h"
#include "fleet/target_failure_detector.h"
#include "fleet/update_source_selector.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/udp_endpoint.h"
#include "settings/steering_settings.h"
#include "store/mirror.h"
#include "wire/codec.h"

namespace bramleytrack {

// What a digest tells besides the loads.
struct digest_facts {
    std::int64_t known_revision = 0;
    clock::time_point confirmed;  // the epoch when never
    bool has_lost_store = false;
    bool is_stopping = false;
};

class peer_exchange {
public:
    // What a peer holds that this instance lacked: `is_whole` replaces everything.
    struct pulled {
        std::vector<store::event> events;
        std::vector<store::item> items;  // when is_whole
        std::int64_t revision = 0;
        bool is_whole = false;
        clock::time_point confirmed;
    };
    using pulled_callback = std::function<void(const pulled&, clock::time_point now)>;

    peer_exchange(ev::loop_ref loop, const settings::steering_settings& settings,
                  const store::mirror& mirror, fleet::peer_digests& digests, event_log& log);

    void on_pulled(pulled_callback callback) { pulled_ = std::move(callback); }
    // A peer's digest tells of a revision that isn't known here.
    void on_digest(std::function<void(clock::time_point now)> callback) {
        has_news_ = std::move(callback);
    }

    using question_callback = std::function<void(
        std::string_view peer, discovery::routing_token token, clock::time_point now)>;
    using answer_callback =
        std::function<void(std::string_view peer, discovery::routing_token token, bool is_reachable,
                           clock::time_point now)>;
    using verdicts_callback =
        std::function<void(std::string_view peer, std::span<const wire::dead_target_report> told,
                           clock::time_point now)>;
    // A peer asks whether a target can be reached from here, or answers that, or tells of dead
    // ones.
    void on_probe_request(question_callback callback) { question_ = std::move(callback); }
    void on_answer(answer_callback callback) { answer_ = std::move(callback); }
    void on_verdicts(verdicts_callback callback) { verdicts_ = std::move(callback); }
    // Where digests take the dead targets from that they tell of.
    void tell_verdicts_of(fleet::target_failure_detector& inquiries) { inquiries_ = &inquiries; }
    void ask_whether_reachable(const discovery::peer_entry& peer, discovery::routing_token token);
    void tell_whether_reachable(const discovery::peer_entry& peer, discovery::routing_token token,
                                bool is_reachable);

    // Sends a digest when one is due, or at once when the revision has risen or a target died.
    void tick(const digest_facts& facts, const steering::steering& core, clock::time_point now);
    // Fetches from a peer unless a pull is under way.
    void fetch(const fleet::pull_source& from, clock::time_point now);
    // Asks a peer which keys have ended lately; `done` is called in any case.
    using ended_callback =
        std::function<void(std::span<const store::removed_item> told, clock::time_point now)>;
    void ask_for_ended(const fleet::pull_source& from, ended_callback done);
    // Asks one of the seeds, for a start while the store is away.
    void fetch_from_seed(clock::time_point now);

    std::int64_t rejected() const { return rejected_; }

private:
    void on_datagram(std::span<const std::uint8_t> datagram);
    void on_digest_of(const std::string& peer, wire::digest content, clock::time_point now);
    wire::peer_message message() const;
    void serve(const net::http_request& request, const net::http_responder& respond);
    const std::string& changes_since(std::int64_t after);
    std::string removed_items() const;
    void on_ended(const std::string& peer, const net::http_result& answer,
                  const ended_callback& done);
    void on_answer(const std::string& peer, const net::http_result& answer, clock::time_point sent);

    std::string name_;
    std::vector<std::string> seeds_;
    wire::fleet_key key_;
    const store::mirror& mirror_;
    fleet::peer_digests& digests_;
    event_log& log_;
    pulled_callback pulled_;
    std::function<void(clock::time_point now)> has_news_;
    question_callback question_;
    answer_callback answer_;
    verdicts_callback verdicts_;
    fleet::target_failure_detector* inquiries_ = nullptr;
    net::udp_endpoint digests_socket_;
    net::http_server pull_server_;
    net::http_client http_;
    wire::encoder encoder_;
    digest_facts told_;  // with the last digest
    clock::time_point next_digest_;
    clock::time_point next_pull_;
    std::size_t next_seed_ = 0;
    std::string kept_answer_;  // to the question for changes after kept_after_, at kept_revision_
    std::int64_t kept_after_ = -1;
    std::int64_t kept_revision_ = -1;
    clock::time_point kept_at_;
    bool is_pulling_ = false;
    std::int64_t incarnation_ = 0;
    std::int64_t rejected_ = 0;
};

}  // namespace bramleytrack
