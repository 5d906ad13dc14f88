// What one instance says: packets to callers, targets and peers, log lines, and the ends of
// requests, collected until the daemon carries them out.
#pragma once

#include <string_view>
#include <utility>
#include <vector>

#include "base/result_code.h"
#include "configuration/configuration.h"
#include "membership/peer_table.h"
#include "outbox/action.h"
#include "outbox/identity.h"

namespace bramleytrack {

class outbox {
public:
    outbox(const identity& self, const configuration::configuration& configuration,
           const membership::peer_table& peers, counters& counts)
        : self_{self}, configuration_{configuration}, peers_{peers}, counts_{counts} {}

    void send_caller(wire::packet content) {
        actions_.emplace_back(send_to_caller{std::move(content)});
    }
    void send_target(const configuration::target& target, wire::packet content);
    // Returns false when no address of the peer is known.
    bool send_peer(std::string_view name, wire::peer_message content);
    void log(log_event event) { actions_.emplace_back(std::move(event)); }
    void note_ended(request_ended event) { actions_.emplace_back(std::move(event)); }

    // Final answer to a caller that its packet led to nothing; `retry_after` says when to try
    // again.
    void refuse(const wire::packet& subject, result_code code, clock::duration retry_after);
    // Final answer to a caller that nobody knows whether its request ran.
    void answer_unknown(const wire::packet& subject, result_code code);
    void drop(const wire::packet& subject, result_code code);

    std::vector<action> take_actions() { return std::exchange(actions_, {}); }

private:
    const identity& self_;
    const configuration::configuration& configuration_;
    const membership::peer_table& peers_;
    counters& counts_;
    std::vector<action> actions_;
};

// A reply to `subject` that carries its flow, member and request number.
wire::packet reply_to(const wire::packet& subject, wire::packet_kind kind, result_code code);

}  // namespace bramleytrack
