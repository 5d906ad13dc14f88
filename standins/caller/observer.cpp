#include "observer.h"

#include <algorithm>
#include <memory>

#include "configuration/parse.h"
#include "net/udp_endpoint.h"

namespace bramleytrack::standins {
namespace {

using json = nlohmann::json;

constexpr double tick_seconds = 0.5;
constexpr clock::duration http_timeout{1'500};

}  // namespace

observer::observer(ev::loop_ref loop, const json& fleet)
    : http_{loop},
      ticker_{loop},
      store_{http_, *net::parse_address(fleet["platform"].get<std::string>())} {
    for (const auto& each : fleet["targets"]) {
        targets_.push_back({each["name"].get<std::string>(),
                            "http://" + each["admin_address"].get<std::string>()});
        service_of_[each["name"].get<std::string>()] = each["service"].get<std::string>();
    }
    ticker_.set<observer, &observer::on_tick>(this);
    ticker_.start(0, tick_seconds);
}

void observer::on_tick(ev::timer& /*watcher*/, int /*events*/) {
    store_.get(configuration::store_key, http_timeout,
               [this](const store::outcome<store::lookup_result>& answer, clock::time_point) {
                   const auto* found = std::get_if<store::lookup_result>(&answer);
                   if (found != nullptr && found->content) {
                       on_configuration(found->content->value);
                   }
               });
    for (const auto& each : targets_) {
        http_.get(each.admin_url + "/stats", http_timeout,
                  [this, &each](const net::http_result& answer) { on_stats(each.name, answer); });
    }
}

void observer::on_configuration(const std::string& text) {
    const auto root = json::parse(text, nullptr, false, true);
    std::set<std::string> zones_out;
    for (const auto& zone : root["zones"]) {
        if (zone.value("state", "in") == "out") {
            zones_out.insert(zone["name"].get<std::string>());
        }
    }
    for (const auto& entry : root["targets"]) {
        const auto name = entry["name"].get<std::string>();
        if (!zones_out.contains(entry["zone"].get<std::string>())) {
            if (evacuated_targets_.erase(name) > 0) {
                outages_[name].back().end = clock::now();
            }
        } else if (!evacuated_targets_.contains(name)) {
            evacuated_targets_[name] = {.out_since = clock::now(), .packets = {}};
            outages_[name].push_back({.begin = clock::now(), .end = {}});
        }
    }
}

bool observer::was_out(const std::string& name, clock::time_point time) const {
    constexpr clock::duration max_read_delay{1'000};
    const auto found = outages_.find(name);
    return found != outages_.end() && std::ranges::any_of(found->second, [&](const outage& each) {
               return time >= each.begin - max_read_delay && (!each.end || time <= *each.end);
           });
}

void observer::on_stats(const std::string& name, const net::http_result& answer) {
    const auto stats = json::parse(answer.body, nullptr, false);
    if (!stats.is_object()) {
        return;
    }
    connections_[name] = stats["connections"].get<int>();
    int total = 0;
    for (const auto& [other, count] : connections_) {
        total += count;
    }
    if (total > peak_total_ && outages_.empty()) {
        peak_total_ = total;
        peak_connections_ = connections_;
    }
    const auto found = evacuated_targets_.find(name);
    if (found == evacuated_targets_.end() ||
        clock::now() - found->second.out_since < max_evacuation_delay) {
        return;
    }
    const auto packets = stats["packets"].get<std::int64_t>();
    observation_.packets_to_zones_out += packets - found->second.packets.value_or(packets);
    found->second.packets = packets;
}

void observer::collect(const std::function<void(const observation&)>& done) {
    ticker_.stop();
    auto remaining = std::make_shared<std::size_t>(targets_.size());
    for (const auto& each : targets_) {
        http_.get(each.admin_url + "/runs", http_timeout,
                  [this, remaining, done](const net::http_result& answer) {
                      const auto stats = json::parse(answer.body, nullptr, false);
                      if (stats.is_object()) {
                          observation_.misdelivered += stats["misdelivered"].get<std::int64_t>();
                          observation_.overloads += stats["overloads"].get<std::int64_t>();
                          for (const auto& [payload, count] : stats["runs"].items()) {
                              observation_.runs[payload] += count.get<int>();
                          }
                      } else {
                          ++observation_.targets_unreachable;
                      }
                      if (--*remaining == 0) {
                          done(observation_);
                      }
                  });
    }
}

}  // namespace bramleytrack::standins
