// Selects the peers that an instance queries after its start for recently removed keys.
//
// Entries of live targets can be removed, by an expired lease or because their heartbeats were
// lost, while the targets' open flows continue by their tokens. An instance that starts then reads
// a list without those targets and drops their packets: with half of all writes lost during a
// rolling restart, 32 of 13,600 requests waited for their deadlines. Its peers still hold the
// entries.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>

#include "discovery/directory.h"
#include "fleet/update_source_selector.h"

namespace bramleytrack::fleet {

struct startup_recovery_limits {
    // One peer may have just started itself, and another may be gone.
    std::size_t max_peers = 3;
};

class startup_recovery {
public:
    startup_recovery(const discovery::directory& directory, std::string self,
                     startup_recovery_limits limits = {})
        : directory_{directory}, self_{std::move(self)}, limits_{limits} {}

    // The next peer to query; nothing while a query is pending, and after `max_peers` queries. To
    // be called once the initial state is complete.
    std::optional<pull_source> next_peer();
    // The queried peer has answered, or its query has timed out.
    void on_query_done() { is_query_pending_ = false; }

private:
    const discovery::directory& directory_;
    std::string self_;
    startup_recovery_limits limits_;
    std::set<std::string, std::less<>> queried_;
    bool is_query_pending_ = false;
};

}  // namespace bramleytrack::fleet
