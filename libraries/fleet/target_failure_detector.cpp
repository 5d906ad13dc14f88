#include "fleet/target_failure_detector.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace bramleytrack::fleet {
namespace {

bool contains(std::span<const std::string> names, std::string_view name) {
    return std::ranges::find(names, name) != names.end();
}

}  // namespace

target_failure_detector::target_failure_detector(const discovery::directory& directory,
                                                 std::string self, std::string zone,
                                                 failure_detector_actions& actions,
                                                 failure_detector_limits limits)
    : directory_{directory},
      self_{std::move(self)},
      zone_{std::move(zone)},
      actions_{actions},
      limits_{limits},
      probes_{limits.probe_burst} {}

void target_failure_detector::suspect(discovery::routing_token token, clock::time_point now) {
    const auto* target = directory_.find_target(token);
    if (target == nullptr) {
        return;
    }
    const auto found = checks_.find(token);
    if (found == checks_.end()) {
        if (auto* check = begin_check(*target, now)) {
            check->is_suspected_locally = true;
            probe_control_targets(*target, now);
            actions_.probe(*target);
        }
        return;
    }
    auto& subject = found->second;
    const bool was_suspected = std::exchange(subject.is_suspected_locally, true);
    if (subject.phase == check_phase::completed && !subject.is_reachable && !was_suspected) {
        probe_control_targets(*target, now);
        begin_indirect_probes(token, subject, now);
    }
}

void target_failure_detector::on_reported_dead(std::string_view peer, const dead_target& report,
                                               bool has_flows, clock::time_point now) {
    const auto since = now - report.age;
    const auto sender = directory_.peers().find(peer);
    const auto* target = directory_.find_target(report.token);
    const bool is_same_zone =
        sender != directory_.peers().end() && sender->second.entry.zone == zone_;
    const auto existing = verdicts_.find(report.token);
    const bool is_known = existing != verdicts_.end() &&
                          (existing->second.is_refuted || existing->second.is_local ||
                           since <= existing->second.since + limits_.same_verdict_tolerance);
    const bool is_new = is_same_zone && target != nullptr &&
                        report.age < limits_.verdict_lifetime && target->changed_at < since &&
                        !is_known && verdicts_.size() < limits_.max_verdicts;
    if (!is_new) {
        return;
    }
    record_verdict(report.token,
                   {.since = since, .sent_count = 0, .is_local = false, .is_refuted = false});
    actions_.on_reported_dead(*target, since + limits_.verdict_lifetime);
    if (has_flows) {
        suspect(report.token, now);
    }
}

void target_failure_detector::on_probe_result(discovery::routing_token token, bool is_reachable,
                                              clock::time_point now) {
    const auto found = checks_.find(token);
    if (found == checks_.end() || found->second.phase != check_phase::probing) {
        return;
    }
    auto& subject = found->second;
    subject.is_reachable = is_reachable;
    complete(subject, now);
    for (const auto& name : std::exchange(subject.requesters, {})) {
        const auto peer = directory_.peers().find(name);
        if (peer != directory_.peers().end()) {
            actions_.send_indirect_probe_result(peer->second.entry, token, is_reachable);
        }
    }
    if (is_reachable) {
        if (const auto* target = directory_.find_target(token)) {
            reached_services_.insert(target->entry.service);
        }
        refute(token);
        return;
    }
    if (!subject.is_suspected_locally) {
        return;
    }
    // A valid verdict already rests on indirect probes, so they aren't repeated.
    if (has_valid_verdict(token, now)) {
        declare_dead(token, subject, now);
    } else {
        begin_indirect_probes(token, subject, now);
    }
}

void target_failure_detector::on_indirect_probe_request(std::string_view peer,
                                                        discovery::routing_token token,
                                                        clock::time_point now) {
    const auto requester = directory_.peers().find(peer);
    const auto* target = directory_.find_target(token);
    if (requester == directory_.peers().end() || target == nullptr) {
        return;
    }
    const auto found = checks_.find(token);
    if (found == checks_.end()) {
        if (auto* check = begin_check(*target, now)) {
            check->requesters.emplace_back(peer);
            actions_.probe(*target);
        }
    } else if (found->second.phase == check_phase::probing) {
        found->second.requesters.emplace_back(peer);
    } else {
        actions_.send_indirect_probe_result(requester->second.entry, token,
                                            found->second.is_reachable);
    }
}

void target_failure_detector::on_indirect_probe_result(std::string_view peer,
                                                       discovery::routing_token token,
                                                       bool is_reachable, clock::time_point now) {
    const auto found = checks_.find(token);
    if (found == checks_.end() || found->second.phase != check_phase::indirect_probing ||
        !contains(found->second.indirect_probers, peer) ||
        contains(found->second.confirmed_by, peer)) {
        return;
    }
    auto& subject = found->second;
    if (is_reachable) {
        complete(subject, now);
        return;
    }
    subject.confirmed_by.emplace_back(peer);
    if (is_confirmed(subject)) {
        declare_dead(token, subject, now);
    }
}

void target_failure_detector::on_store_update(discovery::routing_token token) {
    refute(token);
}

void target_failure_detector::refute(discovery::routing_token token) {
    const auto found = verdicts_.find(token);
    if (found == verdicts_.end()) {
        return;
    }
    found->second.is_refuted = true;
    if (const auto* target = directory_.find_target(token)) {
        actions_.on_found_alive(*target);
    }
}

void target_failure_detector::expire(clock::time_point now) {
    reprobe_expiring_targets(now);
    std::erase_if(checks_, [this, now](const auto& each) {
        const auto& subject = each.second;
        switch (subject.phase) {
            case check_phase::probing:
                return now - subject.phase_since > limits_.probe_result_lifetime;
            case check_phase::indirect_probing:
                // Too few results have arrived. The caller's next retransmission starts a new
                // check, which selects other peers once the next period has begun.
                return now - subject.phase_since > limits_.indirect_probe_timeout;
            case check_phase::completed:
                return now - subject.phase_since > limits_.probe_result_lifetime;
        }
        return true;
    });
    std::erase_if(verdicts_, [this, now](const auto& each) {
        return now - each.second.since > limits_.verdict_lifetime;
    });
}

std::vector<dead_target> target_failure_detector::take_verdicts(clock::time_point now) {
    has_unsent_verdicts_ = false;
    std::vector<std::pair<discovery::routing_token, verdict*>> pending;
    for (auto& [token, each] : verdicts_) {
        if (each.sent_count < limits_.max_sends_per_verdict && !each.is_refuted) {
            pending.emplace_back(token, &each);
        }
    }
    std::ranges::sort(pending, {}, [](const auto& each) { return each.second->sent_count; });
    if (pending.size() > limits_.max_verdicts_per_digest) {
        has_unsent_verdicts_ = pending[limits_.max_verdicts_per_digest].second->sent_count == 0;
        pending.resize(limits_.max_verdicts_per_digest);
    }
    std::vector<dead_target> result;
    for (const auto& [token, each] : pending) {
        ++each->sent_count;
        result.push_back({.token = token, .age = now - each->since});
    }
    return result;
}

target_failure_detector::target_check* target_failure_detector::begin_check(
    const discovery::target& target, clock::time_point now) {
    if (probes_.refill(limits_.probes_per_second, now) < 1) {
        return nullptr;
    }
    probes_.consume(1);
    auto& subject = checks_[target.token];
    subject.phase_since = now;
    subject.probed_at = now;
    return &subject;
}

void target_failure_detector::probe_control_targets(const discovery::target& suspected,
                                                    clock::time_point now) {
    const auto* pool = directory_.find_pool(suspected.entry.service);
    if (pool == nullptr || reached_services_.contains(suspected.entry.service)) {
        return;
    }
    std::size_t probed = 0;
    const auto start = hash_of(suspected.token, hash_of(self_));
    for (std::size_t i = 0; i < pool->targets.size() && probed < limits_.control_targets; ++i) {
        const auto& control = *pool->targets[(start + i) % pool->targets.size()];
        if (checks_.contains(control.token) || !control.accepts_new_flows(now)) {
            continue;
        }
        if (begin_check(control, now) == nullptr) {
            return;
        }
        actions_.probe(control);
        ++probed;
    }
}

void target_failure_detector::complete(target_check& subject, clock::time_point now) {
    subject.phase = check_phase::completed;
    subject.phase_since = now;
}

void target_failure_detector::begin_indirect_probes(discovery::routing_token token,
                                                    target_check& subject, clock::time_point now) {
    const auto peers = select_indirect_probers(token, now);
    if (peers.empty()) {
        return;
    }
    subject.phase = check_phase::indirect_probing;
    subject.phase_since = now;
    subject.indirect_probers.clear();
    subject.confirmed_by.clear();
    for (const auto* each : peers) {
        subject.indirect_probers.push_back(each->name);
    }
    for (const auto* each : peers) {
        actions_.request_indirect_probe(*each, token);
    }
}

void target_failure_detector::declare_dead(discovery::routing_token token, target_check& subject,
                                           clock::time_point now) {
    complete(subject, now);
    const auto* target = directory_.find_target(token);
    if (target == nullptr || !reached_services_.contains(target->entry.service)) {
        return;
    }
    record_verdict(token, {.since = now, .sent_count = 0, .is_local = true, .is_refuted = false});
    actions_.on_dead(*target, subject.probed_at, subject.confirmed_by, now);
}

bool target_failure_detector::is_confirmed(const target_check& subject) const {
    return subject.confirmed_by.size() >=
           std::min(limits_.min_confirmations, subject.indirect_probers.size());
}

// The selection changes with each period of probe_result_lifetime, since some peers may be gone.
// Within a period, the instances of a zone that suspect the target select the same peers, so that
// it is probed only a few times. Peers in the same zone come first: a partition affects them alike,
// so their results hold for the callers of the zone.
std::vector<const discovery::peer_entry*> target_failure_detector::select_indirect_probers(
    discovery::routing_token token, clock::time_point now) const {
    struct candidate {
        bool is_same_zone = false;
        std::uint64_t rank = 0;
        const discovery::peer_entry* peer = nullptr;
    };
    const auto period =
        static_cast<std::uint64_t>(now.time_since_epoch() / limits_.probe_result_lifetime);
    const auto salt = hash_of(token, period);
    std::vector<candidate> candidates;
    for (const auto& [name, peer] : directory_.peers()) {
        if (name != self_) {
            candidates.push_back({.is_same_zone = peer.entry.zone == zone_,
                                  .rank = hash_of(salt, hash_of(name)),
                                  .peer = &peer.entry});
        }
    }
    const auto count = std::min(limits_.indirect_probe_peers, candidates.size());
    std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(count),
                              [](const candidate& left, const candidate& right) {
                                  return left.is_same_zone != right.is_same_zone
                                             ? left.is_same_zone
                                             : left.rank > right.rank;
                              });
    std::vector<const discovery::peer_entry*> result;
    for (std::size_t i = 0; i < count; ++i) {
        result.push_back(candidates[i].peer);
    }
    return result;
}

bool target_failure_detector::has_valid_verdict(discovery::routing_token token,
                                                clock::time_point now) const {
    const auto found = verdicts_.find(token);
    return found != verdicts_.end() && !found->second.is_refuted &&
           now - found->second.since <= limits_.verdict_lifetime;
}

void target_failure_detector::record_verdict(discovery::routing_token token,
                                             const verdict& recorded) {
    verdicts_[token] = recorded;
    has_unsent_verdicts_ = true;
}

void target_failure_detector::reprobe_expiring_targets(clock::time_point now) {
    for (const auto& [token, each] : verdicts_) {
        const auto* target = directory_.find_target(token);
        const bool is_due =
            each.is_local && !each.is_refuted && target != nullptr && target->is_listed() &&
            now - each.since >= limits_.verdict_lifetime - limits_.reprobe_lead_time;
        if (is_due && !checks_.contains(token)) {
            suspect(token, now);
        }
    }
}

}  // namespace bramleytrack::fleet
