#include "record_log.h"

#include "base/result_code.h"

namespace bramleytrack {
namespace {

using namespace discovery;

void add_fields(log_event& event, const catalogue& configuration) {
    event.with("what", "configuration")
        .with("version", configuration.version)
        .with("routes", static_cast<std::int64_t>(configuration.routes.size()));
}

void add_fields(log_event& event, const target_entry& target) {
    event.with("what", "target")
        .with("target", target.id)
        .with("service", target.service)
        .with("target_zone", target.zone)
        .with("address", to_string(target.address))
        .with("state", target.state == target_state::draining ? "draining" : "ready")
        .with("cold_for_ms", target.cold_remaining.count())
        .with("born", target.started_at_ms);
}

void add_fields(log_event& event, const target_removed& target) {
    event.with("what", "target_removed").with("target", target.id);
}

void add_fields(log_event& event, const zone_out& zone) {
    event.with("what", zone.is_out ? "zone_out" : "zone_back").with("zone", zone.zone);
}

void add_fields(log_event& event, const peer_entry& peer) {
    event.with("what", "peer").with("peer", peer.name).with("address", peer.address);
}

void add_fields(log_event& event, const peer_removed& peer) {
    event.with("what", "peer_removed").with("peer", peer.name);
}

void add_fields(log_event& event, const unreadable& entry) {
    event.with("what", name_of(result_code::unreadable_record))
        .with("key", entry.key)
        .with("reason", entry.reason);
}

void add_fields(log_event& event, const unrelated& /*entry*/) {
    event.with("what", "unrelated");
}

}  // namespace

log_event describe_change(const record& subject, std::int64_t revision, change outcome) {
    log_event event{outcome == change::applied ? "learned" : "left_out"};
    event.with("revision", revision);
    std::visit([&event](const auto& each) { add_fields(event, each); }, subject);
    return event;
}

}  // namespace bramleytrack
