// Keeps the configuration the same on all instances: from the store, and from peer to peer for
// those that can't reach the store.
//
// Heartbeats carry version and digest. Who hears of a newer version asks that one peer for it, and
// gets the changes since its own text as patches, or the whole text when the peer's history doesn't
// reach back that far. Versions only rise: a version below the one in force is never taken,
// wherever it comes from. Two texts under one version (a store that was restored from a backup) are
// never mixed, since a patch leads from one digest to another; the text that the store shows wins.
#pragma once

#include <deque>
#include <optional>
#include <utility>

#include "configuration/configuration.h"
#include "configuration/history.h"
#include "configuration/incoming_transfer.h"
#include "configuration/step_history.h"
#include "outbox/outbox.h"

namespace bramleytrack::distribution {

class configuration_sync {
public:
    // What it needs of the instance.
    struct shared_state {
        configuration::configuration& configuration;
        bool& is_configuration_confirmed;
        configuration::history& previous;
        outbox& out;
    };

    explicit configuration_sync(const shared_state& shared) : shared_{shared} {}

    // A text that the store shows. Returns true when it came into force.
    bool on_store(std::string_view text, std::int64_t version);

    // A peer's heartbeat shows its version; whoever is behind asks.
    void on_heartbeat(const wire::peer_message& message, clock::time_point now);
    void on_wanted(std::string_view sender, const wire::configuration_wanted& wanted);
    void on_part(std::string_view sender, const wire::configuration_part& part,
                 clock::time_point now);

    // True once after a peer showed another text under this version: the store has to be read anew.
    bool take_store_wanted() { return std::exchange(is_store_wanted_, false); }

private:
    struct refused_text {
        std::int64_t version = 0;
        std::uint64_t digest = 0;

        bool operator==(const refused_text&) const = default;
    };

    bool is_better(std::int64_t version, std::uint64_t digest, bool is_confirmed) const;
    bool is_refused(std::int64_t version, std::uint64_t digest) const;
    void refuse(std::int64_t version, std::uint64_t digest, std::string_view source,
                std::string_view fault);
    void note_conflict(std::string_view peer, std::uint64_t digest);
    void ask(std::int32_t offset);
    void complete();
    bool put_in_force(std::string_view text, std::int64_t version, std::string_view source);

    shared_state shared_;
    configuration::step_history history_;
    std::optional<configuration::incoming_transfer> incoming_;
    std::deque<refused_text> refused_;      // texts that failed the checks; not asked for again
    std::uint64_t conflicting_digest_ = 0;  // of the last conflict that was logged
    bool is_whole_wanted_ = false;          // a chain of changes didn't lead to its digest
    bool is_store_wanted_ = false;
};

}  // namespace bramleytrack::distribution
