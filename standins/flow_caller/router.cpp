#include "flow_caller/router.h"

namespace bramleytrack::standins {
namespace {

constexpr double probe_seconds = 0.5;
constexpr clock::duration probe_timeout{400};
constexpr int unready_after_failures = 2;
constexpr int http_ok = 200;

}  // namespace

router::router(ev::loop_ref loop, std::vector<instance> instances)
    : instances_{std::move(instances)}, http_{loop}, ticker_{loop} {
    ticker_.set<router, &router::on_tick>(this);
    ticker_.start(0, probe_seconds);
}

void router::on_tick(ev::timer& /*watcher*/, int /*events*/) {
    for (auto& each : instances_) {
        http_.get("http://" + each.readiness_address + "/-/readiness", probe_timeout,
                  [&each](const net::http_result& answer) {
                      each.failed_probes = answer.status == http_ok ? 0 : each.failed_probes + 1;
                  });
    }
}

std::string router::choose(std::uint64_t flow_hash) const {
    std::vector<const instance*> in_rotation;
    for (const auto& each : instances_) {
        if (each.failed_probes < unready_after_failures) {
            in_rotation.push_back(&each);
        }
    }
    if (in_rotation.size() * 2 < instances_.size()) {
        in_rotation.clear();
        for (const auto& each : instances_) {
            in_rotation.push_back(&each);
        }
    }
    return in_rotation.empty() ? std::string{}
                               : in_rotation[flow_hash % in_rotation.size()]->packet_address;
}

}  // namespace bramleytrack::standins
