// Collects the output of one instance until the daemon carries it out: packets to callers, targets
// and peers, log events, and the outcomes of requests.
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
    // Returns false if the peer has no known address.
    bool send_peer(std::string_view name, wire::peer_message content);
    void log(log_event event) { actions_.emplace_back(std::move(event)); }
    void report_request_ended(request_ended event) { actions_.emplace_back(std::move(event)); }

    // Final reply to a caller: its packet had no effect, and it may retry after `retry_after`.
    void refuse(const wire::packet& packet, result_code code, clock::duration retry_after);
    // Final reply to a caller: it isn't known whether its request ran.
    void answer_unknown(const wire::packet& packet, result_code code);
    void drop(const wire::packet& packet, result_code code);

    std::vector<action> take_actions() { return std::exchange(actions_, {}); }

private:
    const identity& self_;
    const configuration::configuration& configuration_;
    const membership::peer_table& peers_;
    counters& counts_;
    std::vector<action> actions_;
};

// A reply to `packet` that carries its flow, member and request number.
wire::packet reply_to(const wire::packet& packet, wire::packet_kind kind, result_code code);

}  // namespace bramleytrack
