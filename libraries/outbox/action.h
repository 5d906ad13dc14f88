// Output of the core: typed actions that a daemon turns into datagrams, log lines and histograms.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/log_event.h"
#include "wire/generated/bramleytrack_types.h"

namespace bramleytrack {

struct send_to_caller {
    wire::packet content;  // goes to content.caller
};

struct send_to_target {
    std::string address;
    wire::packet content;
};

struct send_to_peer {
    std::string name;
    std::string address;
    wire::peer_message content;
};

// A request got its final outcome; recorded in the histograms.
struct request_ended {
    std::string service;
    std::string member;
    wire::packet_kind outcome = wire::packet_kind::answer;  // answer, refused or unknown
    clock::duration elapsed{0};                             // since its first copy arrived
};

using action = std::variant<send_to_caller, send_to_target, send_to_peer, log_event, request_ended>;

}  // namespace bramleytrack
