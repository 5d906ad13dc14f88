#include "record_log.h"

#include "base/result_code.h"

namespace bramleytrack {
namespace {

using namespace discovery;

void add(log_event& event, const catalogue& text) {
    event.with("what", "configuration")
        .with("version", text.version)
        .with("routes", static_cast<std::int64_t>(text.routes.size()));
}

void add(log_event& event, const target_entry& target) {
    event.with("what", "target")
        .with("target", target.id)
        .with("service", target.service)
        .with("target_zone", target.zone)
        .with("address", to_string(target.address))
        .with("state", target.state == target_state::draining ? "draining" : "ready")
        .with("cold_for_ms", target.cold_remaining.count())
        .with("born", target.started_at_ms);
}

void add(log_event& event, const target_removed& target) {
    event.with("what", "target_removed").with("target", target.id);
}

void add(log_event& event, const zone_out& zone) {
    event.with("what", zone.is_out ? "zone_out" : "zone_back").with("zone", zone.zone);
}

void add(log_event& event, const peer_entry& peer) {
    event.with("what", "peer").with("peer", peer.name).with("address", peer.address);
}

void add(log_event& event, const peer_removed& peer) {
    event.with("what", "peer_removed").with("peer", peer.name);
}

void add(log_event& event, const unreadable& value) {
    event.with("what", name_of(result_code::unreadable_record))
        .with("key", value.key)
        .with("reason", value.reason);
}

void add(log_event& event, const unrelated& /*value*/) {
    event.with("what", "unrelated");
}

}  // namespace

log_event describe(const record& subject, std::int64_t revision, change outcome) {
    log_event event{outcome == change::applied ? "learned" : "left_out"};
    event.with("revision", revision);
    std::visit([&event](const auto& each) { add(event, each); }, subject);
    return event;
}

}  // namespace bramleytrack
