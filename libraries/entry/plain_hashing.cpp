#include "entry/plain_hashing.h"

#include <algorithm>

#include "routing/candidates.h"

namespace bramleytrack::entry {

void plain_hashing::on_caller_packet(wire::packet content) {
    ++shared_.counts.packets_from_callers;
    const auto* service = shared_.configuration.find_service_by_address(content.service_address);
    if (service == nullptr) {
        shared_.out.drop(content, result_code::unknown_service);
        return;
    }
    const auto candidates =
        routing::candidates_of(shared_.configuration, service->name, routing::key_of(content));
    const auto found = std::ranges::find(candidates, configuration::target_state::active,
                                         &configuration::target::state);
    if (found == candidates.end()) {
        shared_.out.drop(content, result_code::no_eligible_target);
        return;
    }
    shared_.out.send_target(**found, std::move(content));
}

void plain_hashing::on_target_packet(const wire::packet& content) {
    ++shared_.counts.packets_from_targets;
    shared_.out.send_caller(content);
}

}  // namespace bramleytrack::entry
