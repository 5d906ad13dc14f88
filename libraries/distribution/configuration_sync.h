// Synchronizes the configuration of all instances: from the store, and between peers for instances
// that can't reach the store.
//
// Heartbeats carry version and digest. An instance that receives a newer version requests it from
// that peer alone, and gets the changes since its own text as patches, or the whole text if the
// peer's patch history doesn't reach back that far. Versions only increase: a version below the
// active one is never accepted, whatever its source. Two texts under one version (after the store
// was restored from a backup) are never mixed, since a patch leads from one digest to another; the
// text in the store takes precedence.
#pragma once

#include <deque>
#include <optional>
#include <utility>

#include "configuration/configuration.h"
#include "configuration/history.h"
#include "configuration/incoming_transfer.h"
#include "configuration/patch_history.h"
#include "outbox/outbox.h"

namespace bramleytrack::distribution {

class configuration_sync {
public:
    // State of the instance that this class uses.
    struct shared_state {
        configuration::configuration& configuration;
        // True if this instance has read the active text from the store itself, not only received
        // it from a peer.
        bool& is_configuration_confirmed;
        configuration::history& previous;
        outbox& out;
    };

    explicit configuration_sync(const shared_state& shared) : shared_{shared} {}

    // Handles a text read from the store. Returns true if it became active.
    bool on_store(std::string_view text, std::int64_t version);

    // Requests the peer's configuration if it is newer than the active one.
    void on_heartbeat(const wire::peer_message& message, clock::time_point now);
    void on_request(std::string_view sender, const wire::configuration_wanted& request);
    void on_part(std::string_view sender, const wire::configuration_part& part,
                 clock::time_point now);

    // True once after a peer reported another text under the active version: the store must be read
    // again.
    bool take_store_reread_needed() { return std::exchange(is_store_reread_needed_, false); }

private:
    struct rejected_text {
        std::int64_t version = 0;
        std::uint64_t digest = 0;

        bool operator==(const rejected_text&) const = default;
    };

    // Whether a text is newer than the active one. Under the same version, another text supersedes
    // the active one only if the peer has read its text from the store (`is_confirmed`) and this
    // instance has not.
    bool supersedes_current(std::int64_t version, std::uint64_t digest, bool is_confirmed) const;
    bool is_rejected(std::int64_t version, std::uint64_t digest) const;
    void reject(std::int64_t version, std::uint64_t digest, std::string_view source,
                std::string_view fault);
    void report_conflict(std::string_view peer, std::uint64_t digest);
    void request_parts(std::int32_t offset);
    void finish_transfer();
    bool activate(std::string_view text, std::int64_t version, std::string_view source);

    shared_state shared_;
    configuration::patch_history patch_history_;
    std::optional<configuration::incoming_transfer> incoming_;
    std::deque<rejected_text> rejected_;    // texts that failed validation; not requested again
    std::uint64_t conflicting_digest_ = 0;  // of the last conflict logged
    bool is_full_transfer_needed_ = false;  // applying patches gave a wrong digest
    bool is_store_reread_needed_ = false;
};

}  // namespace bramleytrack::distribution
