// Whom an instance asks after its start which keys have ended lately.
//
// Failure: entries of live targets are taken away, by a lapse or because their heartbeats were
// lost, and the targets' open flows go on by their tokens. An instance that starts then reads a
// list without those targets and drops their packets: with half of all writes lost during a rolling
// restart, 32 requests of 13,600 waited for their deadlines. Its peers remember the targets.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>

#include "discovery/directory.h"
#include "fleet/update_source_selector.h"

namespace bramleytrack::fleet {

struct startup_recovery_limits {
    // One peer may have started just now itself, another be gone.
    std::size_t peers_to_ask = 3;
};

class startup_recovery {
public:
    startup_recovery(const discovery::directory& known, std::string self,
                     startup_recovery_limits limits = {})
        : known_{known}, self_{std::move(self)}, limits_{limits} {}

    // The peer to ask next; nothing while one is being asked, and when enough have been. Called
    // once everything was read.
    std::optional<pull> next();
    // The one that was asked has answered, or hasn't within its limit.
    void on_answer() { is_asking_ = false; }

private:
    const discovery::directory& known_;
    std::string self_;
    startup_recovery_limits limits_;
    std::set<std::string, std::less<>> asked_;
    bool is_asking_ = false;
};

}  // namespace bramleytrack::fleet
