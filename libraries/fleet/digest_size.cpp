#include "fleet/digest_size.h"

#include <algorithm>
#include <utility>

namespace bramleytrack::fleet {
namespace {

// Returns whether there was a report to remove.
bool remove_least_important_report(wire::digest& from) {
    if (!from.loads.empty()) {
        const auto importance = [](const wire::load_report& each) {
            return std::pair{each.__isset.speed, each.open_requests};
        };
        from.loads.erase(std::ranges::min_element(from.loads, {}, importance));
    } else if (!from.demands.empty()) {
        from.demands.pop_back();
    } else if (!from.routes.empty()) {
        from.routes.pop_back();
    } else {
        return false;
    }
    return true;
}

}  // namespace

void limit_digest_size(wire::peer_message& message, wire::encoder& encoder,
                       const wire::fleet_key& key) {
    auto verdicts = std::exchange(message.fleet_digest.dead, {});
    while (encoder.encode(message, key).size() > max_digest_size &&
           remove_least_important_report(message.fleet_digest)) {
    }
    message.fleet_digest.dead = std::move(verdicts);
}

}  // namespace bramleytrack::fleet
