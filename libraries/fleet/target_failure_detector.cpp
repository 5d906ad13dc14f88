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

target_failure_detector::target_failure_detector(const discovery::directory& known,
                                                 std::string self, std::string zone,
                                                 failure_detector_actions& actions,
                                                 failure_detector_limits limits)
    : known_{known},
      self_{std::move(self)},
      zone_{std::move(zone)},
      actions_{actions},
      limits_{limits},
      probes_{limits.probes_at_once} {}

void target_failure_detector::suspect(discovery::routing_token token, clock::time_point now) {
    const auto* target = known_.find_target(token);
    if (target == nullptr) {
        return;
    }
    const auto found = inquiries_.find(token);
    if (found == inquiries_.end()) {
        if (auto* begun = begin(*target, now)) {
            begun->is_suspected = true;
            probe_controls(*target, now);
            actions_.probe(*target);
        }
        return;
    }
    auto& subject = found->second;
    const bool was_suspected = std::exchange(subject.is_suspected, true);
    if (subject.at == stage::concluded && !subject.is_reachable && !was_suspected) {
        probe_controls(*target, now);
        ask_peers(token, subject, now);
    }
}

void target_failure_detector::on_reported_dead(std::string_view peer, const dead_target& told,
                                               bool has_flows, clock::time_point now) {
    const auto since = now - told.age;
    const auto sender = known_.peers().find(peer);
    const auto* target = known_.find_target(told.token);
    const bool is_near = sender != known_.peers().end() && sender->second.entry.zone == zone_;
    const auto known = verdicts_.find(told.token);
    const bool is_known =
        known != verdicts_.end() && (known->second.is_refuted || known->second.is_own ||
                                     since <= known->second.since + limits_.same_verdict);
    const bool is_news = is_near && target != nullptr && told.age < limits_.verdict_lifetime &&
                         target->changed_at < since && !is_known &&
                         verdicts_.size() < limits_.max_verdicts;
    if (!is_news) {
        return;
    }
    note_verdict(told.token, {.since = since, .told = 0, .is_own = false, .is_refuted = false});
    actions_.on_reported_dead(*target, since + limits_.verdict_lifetime);
    if (has_flows) {
        suspect(told.token, now);
    }
}

void target_failure_detector::on_probe(discovery::routing_token token, bool is_reachable,
                                       clock::time_point now) {
    const auto found = inquiries_.find(token);
    if (found == inquiries_.end() || found->second.at != stage::probing) {
        return;
    }
    auto& subject = found->second;
    subject.is_reachable = is_reachable;
    conclude(subject, now);
    for (const auto& name : std::exchange(subject.askers, {})) {
        const auto peer = known_.peers().find(name);
        if (peer != known_.peers().end()) {
            actions_.answer(peer->second.entry, token, is_reachable);
        }
    }
    if (is_reachable) {
        if (const auto* target = known_.find_target(token)) {
            reached_services_.insert(target->entry.service);
        }
        refute(token);
        return;
    }
    if (!subject.is_suspected) {
        return;
    }
    // What peers have found needs no second round of questions.
    if (is_said_dead(token, now)) {
        find_dead(token, subject, now);
    } else {
        ask_peers(token, subject, now);
    }
}

void target_failure_detector::on_probe_request(std::string_view peer,
                                               discovery::routing_token token,
                                               clock::time_point now) {
    const auto asker = known_.peers().find(peer);
    const auto* target = known_.find_target(token);
    if (asker == known_.peers().end() || target == nullptr) {
        return;
    }
    const auto found = inquiries_.find(token);
    if (found == inquiries_.end()) {
        if (auto* begun = begin(*target, now)) {
            begun->askers.emplace_back(peer);
            actions_.probe(*target);
        }
    } else if (found->second.at == stage::probing) {
        found->second.askers.emplace_back(peer);
    } else {
        actions_.answer(asker->second.entry, token, found->second.is_reachable);
    }
}

void target_failure_detector::on_answer(std::string_view peer, discovery::routing_token token,
                                        bool is_reachable, clock::time_point now) {
    const auto found = inquiries_.find(token);
    if (found == inquiries_.end() || found->second.at != stage::asking ||
        !contains(found->second.asked, peer) || contains(found->second.confirmed_by, peer)) {
        return;
    }
    auto& subject = found->second;
    if (is_reachable) {
        conclude(subject, now);
        return;
    }
    subject.confirmed_by.emplace_back(peer);
    if (is_confirmed(subject)) {
        find_dead(token, subject, now);
    }
}

void target_failure_detector::on_entry(discovery::routing_token token) {
    refute(token);
}

void target_failure_detector::refute(discovery::routing_token token) {
    const auto found = verdicts_.find(token);
    if (found == verdicts_.end()) {
        return;
    }
    found->second.is_refuted = true;
    if (const auto* target = known_.find_target(token)) {
        actions_.on_reached(*target);
    }
}

void target_failure_detector::expire(clock::time_point now) {
    renew_verdicts(now);
    std::erase_if(inquiries_, [this, now](const auto& each) {
        const auto& subject = each.second;
        switch (subject.at) {
            case stage::probing:
                return now - subject.since > limits_.finding_lifetime;
            case stage::asking:
                // Too few have answered: the caller's next repetition asks others.
                return now - subject.since > limits_.answers_within;
            case stage::concluded:
                return now - subject.since > limits_.finding_lifetime;
        }
        return true;
    });
    std::erase_if(verdicts_, [this, now](const auto& each) {
        return now - each.second.since > limits_.verdict_lifetime;
    });
}

std::vector<dead_target> target_failure_detector::take_verdicts(clock::time_point now) {
    has_news_ = false;
    std::vector<std::pair<discovery::routing_token, verdict*>> waiting;
    for (auto& [token, each] : verdicts_) {
        if (each.told < limits_.tellings && !each.is_refuted) {
            waiting.emplace_back(token, &each);
        }
    }
    std::ranges::sort(waiting, {}, [](const auto& each) { return each.second->told; });
    if (waiting.size() > limits_.verdicts_in_digest) {
        has_news_ = waiting[limits_.verdicts_in_digest].second->told == 0;
        waiting.resize(limits_.verdicts_in_digest);
    }
    std::vector<dead_target> result;
    for (const auto& [token, each] : waiting) {
        ++each->told;
        result.push_back({.token = token, .age = now - each->since});
    }
    return result;
}

target_failure_detector::inquiry* target_failure_detector::begin(const discovery::target& target,
                                                                 clock::time_point now) {
    if (probes_.refill(limits_.probes_per_second, now) < 1) {
        return nullptr;
    }
    probes_.consume(1);
    auto& subject = inquiries_[target.token];
    subject.since = now;
    subject.begun = now;
    return &subject;
}

void target_failure_detector::probe_controls(const discovery::target& suspected,
                                             clock::time_point now) {
    const auto* pool = known_.find_pool(suspected.entry.service);
    if (pool == nullptr || reached_services_.contains(suspected.entry.service)) {
        return;
    }
    std::size_t probed = 0;
    const auto start = hash_of(suspected.token, hash_of(self_));
    for (std::size_t i = 0; i < pool->targets.size() && probed < limits_.controls; ++i) {
        const auto& control = *pool->targets[(start + i) % pool->targets.size()];
        if (inquiries_.contains(control.token) || !control.takes_flows(now)) {
            continue;
        }
        if (begin(control, now) == nullptr) {
            return;
        }
        actions_.probe(control);
        ++probed;
    }
}

void target_failure_detector::conclude(inquiry& subject, clock::time_point now) {
    subject.at = stage::concluded;
    subject.since = now;
}

void target_failure_detector::ask_peers(discovery::routing_token token, inquiry& subject,
                                        clock::time_point now) {
    const auto peers = peers_for(token, now);
    if (peers.empty()) {
        return;
    }
    subject.at = stage::asking;
    subject.since = now;
    subject.asked.clear();
    subject.confirmed_by.clear();
    for (const auto* each : peers) {
        subject.asked.push_back(each->name);
    }
    for (const auto* each : peers) {
        actions_.ask(*each, token);
    }
}

void target_failure_detector::find_dead(discovery::routing_token token, inquiry& subject,
                                        clock::time_point now) {
    conclude(subject, now);
    const auto* target = known_.find_target(token);
    if (target == nullptr || !reached_services_.contains(target->entry.service)) {
        return;
    }
    note_verdict(token, {.since = now, .told = 0, .is_own = true, .is_refuted = false});
    actions_.on_dead(*target, subject.begun, subject.confirmed_by, now);
}

bool target_failure_detector::is_confirmed(const inquiry& subject) const {
    return subject.confirmed_by.size() >=
           std::min(limits_.least_confirmations, subject.asked.size());
}

// The same peers for all who suspect the target at that time, so that it is probed few times;
// others a moment later, since some may be gone. Those of the own zone come first: they share its
// cuts, and what they find holds for its callers.
std::vector<const discovery::peer_entry*> target_failure_detector::peers_for(
    discovery::routing_token token, clock::time_point now) const {
    struct ranked {
        bool is_near = false;
        std::uint64_t rank = 0;
        const discovery::peer_entry* peer = nullptr;
    };
    const auto period =
        static_cast<std::uint64_t>(now.time_since_epoch() / limits_.finding_lifetime);
    const auto salt = hash_of(token, period);
    std::vector<ranked> order;
    for (const auto& [name, peer] : known_.peers()) {
        if (name != self_) {
            order.push_back({.is_near = peer.entry.zone == zone_,
                             .rank = hash_of(salt, hash_of(name)),
                             .peer = &peer.entry});
        }
    }
    const auto wanted = std::min(limits_.peers_to_ask, order.size());
    std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(wanted),
                              [](const ranked& left, const ranked& right) {
                                  return left.is_near != right.is_near ? left.is_near
                                                                       : left.rank > right.rank;
                              });
    std::vector<const discovery::peer_entry*> result;
    for (std::size_t i = 0; i < wanted; ++i) {
        result.push_back(order[i].peer);
    }
    return result;
}

bool target_failure_detector::is_said_dead(discovery::routing_token token,
                                           clock::time_point now) const {
    const auto found = verdicts_.find(token);
    return found != verdicts_.end() && !found->second.is_refuted &&
           now - found->second.since <= limits_.verdict_lifetime;
}

void target_failure_detector::note_verdict(discovery::routing_token token, const verdict& noted) {
    verdicts_[token] = noted;
    has_news_ = true;
}

void target_failure_detector::renew_verdicts(clock::time_point now) {
    for (const auto& [token, each] : verdicts_) {
        const auto* target = known_.find_target(token);
        const bool is_due = each.is_own && !each.is_refuted && target != nullptr &&
                            target->is_listed() &&
                            now - each.since >= limits_.verdict_lifetime - limits_.renewal;
        if (is_due && !inquiries_.contains(token)) {
            suspect(token, now);
        }
    }
}

}  // namespace bramleytrack::fleet
