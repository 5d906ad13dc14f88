#include "peer_exchange.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace bramleytrack {
namespace {

// Four digests fit into the freshness that receivers expect; with 200 bytes to eight peers each, an
// instance sends 5 KB a second.
constexpr clock::duration digest_interval{300};
// Peers answer from memory; one that is slower is no better than the store itself.
constexpr clock::duration pull_limit{700};
// After a pull that failed, so that a peer that is gone isn't asked at each tick.
constexpr clock::duration pull_pause{200};
// Small instances have 10 Mbit/s for everything. A text of 300 KB, some 30 KB compressed, is
// fetched once a second at most, however quickly one follows the other; the bound for a change is 3
// s.
constexpr std::int64_t pulled_bytes_per_millisecond = 300;
constexpr clock::duration longest_pull_pause{1'000};
constexpr std::string_view changes_path = "/changes";
constexpr std::string_view ended_path = "/ended";
constexpr int http_ok = 200;
constexpr int http_not_found = 404;
constexpr int http_unavailable = 503;

wire::store_record record_of(const store::event& subject) {
    wire::store_record result;
    if (const auto* item = std::get_if<store::item>(&subject)) {
        result.key = item->key;
        result.value = item->value;
        result.revision = item->revision;
    } else {
        const auto& removal = std::get<store::removal>(subject);
        result.key = removal.key;
        result.revision = removal.revision;
        result.is_removed = true;
    }
    return result;
}

std::int64_t age_in_milliseconds(clock::time_point since, clock::time_point now) {
    return since == clock::time_point{} ? -1 : (now - since).count();
}

}  // namespace

peer_exchange::peer_exchange(ev::loop_ref loop, const settings::steering_settings& settings,
                             const store::mirror& mirror, fleet::peer_digests& digests,
                             event_log& log)
    : name_{settings.name},
      seeds_{settings.seeds},
      key_{wire::derive_fleet_key(settings.fleet_passphrase)},
      mirror_{mirror},
      digests_{digests},
      log_{log},
      digests_socket_{loop, settings.peer_address,
                      [this](std::string_view, std::span<const std::uint8_t> datagram) {
                          on_datagram(datagram);
                      }},
      pull_server_{loop, settings.pull_address,
                   [this](const net::http_request& request, const net::http_responder& respond) {
                       serve(request, respond);
                   }},
      http_{loop},
      incarnation_{to_milliseconds(clock::now())} {
    std::erase(seeds_, settings.advertised_pull_address);
}

void peer_exchange::tick(const digest_facts& facts, const steering::steering& core,
                         clock::time_point now) {
    const bool has_news = facts.known_revision > told_.known_revision ||
                          (inquiries_ && inquiries_->has_unsent_verdicts());
    if (now < next_digest_ && !has_news) {
        return;
    }
    next_digest_ = now + digest_interval;
    told_ = facts;
    wire::digest content;
    content.known_revision = facts.known_revision;
    content.confirmed_ms_ago = age_in_milliseconds(facts.confirmed, now);
    content.has_lost_store = facts.has_lost_store;
    content.is_stopping = facts.is_stopping;
    content.loads = digests_.load_reports(core.flows());
    content.demands = digests_.demand_reports(core.demands(), core.flows(), now);
    if (inquiries_ != nullptr) {
        for (const auto& each : inquiries_->take_verdicts(now)) {
            auto& report = content.dead.emplace_back();
            report.token = static_cast<std::int32_t>(each.token);
            report.age_ms = static_cast<std::int32_t>(each.age.count());
        }
    }
    auto wanted = message();
    wanted.__set_fleet_digest(content);
    const auto datagram = encoder_.encode(wanted, key_);
    for (const auto* receiver : digests_.next_receivers()) {
        digests_socket_.send(receiver->address, datagram);
    }
}

wire::peer_message peer_exchange::message() const {
    wire::peer_message result;
    result.sender = name_;
    result.incarnation = incarnation_;
    return result;
}

void peer_exchange::ask_whether_reachable(const discovery::peer_entry& peer,
                                          discovery::routing_token token) {
    wire::reach_question question;
    question.token = static_cast<std::int32_t>(token);
    auto wanted = message();
    wanted.__set_reach_asked(question);
    digests_socket_.send(peer.address, encoder_.encode(wanted, key_));
}

void peer_exchange::tell_whether_reachable(const discovery::peer_entry& peer,
                                           discovery::routing_token token, bool is_reachable) {
    wire::reach_answer answer;
    answer.token = static_cast<std::int32_t>(token);
    answer.is_reachable = is_reachable;
    auto wanted = message();
    wanted.__set_reach_answered(answer);
    digests_socket_.send(peer.address, encoder_.encode(wanted, key_));
}

void peer_exchange::on_datagram(std::span<const std::uint8_t> datagram) {
    auto decoded = wire::decode_peer_message(datagram, key_);
    auto* told = std::get_if<wire::peer_message>(&decoded);
    if (told == nullptr) {
        ++rejected_;
        return;
    }
    const auto now = clock::now();
    if (told->__isset.fleet_digest) {
        on_digest_of(told->sender, std::move(told->fleet_digest), now);
    } else if (told->__isset.reach_asked) {
        question_(told->sender, static_cast<discovery::routing_token>(told->reach_asked.token),
                  now);
    } else if (told->__isset.reach_answered) {
        answer_(told->sender, static_cast<discovery::routing_token>(told->reach_answered.token),
                told->reach_answered.is_reachable, now);
    } else {
        ++rejected_;
    }
}

void peer_exchange::on_digest_of(const std::string& peer, wire::digest content,
                                 clock::time_point now) {
    const bool has_news = content.known_revision > mirror_.revision();
    const auto dead = std::exchange(content.dead, {});
    digests_.on_digest(peer, std::move(content), now);
    if (!dead.empty()) {
        verdicts_(peer, dead, now);
    }
    if (has_news) {
        has_news_(now);
    }
}

void peer_exchange::serve(const net::http_request& request, const net::http_responder& respond) {
    const bool is_known = request.path == changes_path || request.path == ended_path;
    if (!is_known) {
        respond({.status = http_not_found, .body = ""});
        return;
    }
    if (mirror_.revision() == 0) {
        respond({.status = http_unavailable, .body = ""});
        return;
    }
    if (request.path == ended_path) {
        respond({.status = http_ok,
                 .body = removed_items(),
                 .content_type = "application/octet-stream"});
        return;
    }
    const auto text = request.query_or("after", "0");
    std::int64_t after = 0;
    (void)std::from_chars(text.data(), text.data() + text.size(), after);  // 0: tell everything
    respond({.status = http_ok,
             .body = changes_since(after),
             .content_type = "application/octet-stream"});
}

// Peers that fell behind together ask the same question, so the last answer is kept.
const std::string& peer_exchange::changes_since(std::int64_t after) {
    const auto now = clock::now();
    const bool is_kept = kept_after_ == after && kept_revision_ == mirror_.revision() &&
                         now - kept_at_ < digest_interval;
    if (is_kept) {
        return kept_answer_;
    }
    wire::store_changes answer;
    answer.revision = mirror_.revision();
    answer.confirmed_ms_ago = age_in_milliseconds(told_.confirmed, now);
    const auto changes = mirror_.changes_since(after);
    answer.is_whole = !changes.has_value();
    if (changes) {
        for (const auto& each : *changes) {
            answer.records.push_back(record_of(each));
        }
    } else {
        for (auto& each : mirror_.items()) {
            answer.records.push_back(record_of(std::move(each)));
        }
    }
    kept_answer_ = wire::encode_store_changes(answer, key_);
    kept_after_ = after;
    kept_revision_ = answer.revision;
    kept_at_ = now;
    return kept_answer_;
}

std::string peer_exchange::removed_items() const {
    wire::store_changes answer;
    answer.revision = mirror_.revision();
    for (const auto& each : mirror_.removed_items()) {
        auto& record = answer.records.emplace_back();
        record.key = each.last.key;
        record.value = each.last.value;
        record.value_revision = each.last.revision;
        record.revision = each.removed_at;
        record.is_removed = true;
    }
    return wire::encode_store_changes(answer, key_);
}

void peer_exchange::ask_for_ended(const fleet::pull_source& from, ended_callback done) {
    http_.get("http://" + from.address + std::string{ended_path}, pull_limit,
              [this, peer = from.peer, done = std::move(done)](const net::http_result& answer) {
                  on_ended(peer, answer, done);
              });
}

void peer_exchange::on_ended(const std::string& peer, const net::http_result& answer,
                             const ended_callback& done) {
    const auto now = clock::now();
    const auto decoded =
        answer.status == http_ok
            ? wire::decode_store_changes(answer.body, key_)
            : std::variant<wire::store_changes, result_code>{result_code::store_unavailable};
    const auto* changes = std::get_if<wire::store_changes>(&decoded);
    std::vector<store::removed_item> told;
    if (changes != nullptr) {
        for (const auto& each : changes->records) {
            told.push_back(
                {.last = {.key = each.key, .value = each.value, .revision = each.value_revision},
                 .removed_at = each.revision});
        }
    }
    log_.write(log_event{"asked_for_ended"}
                   .with("peer", peer)
                   .with("answered", changes == nullptr ? "no" : "yes")
                   .with("records", static_cast<std::int64_t>(told.size())));
    done(told, now);
}

void peer_exchange::fetch(const fleet::pull_source& from, clock::time_point now) {
    if (is_pulling_ || now < next_pull_) {
        return;
    }
    is_pulling_ = true;
    const auto url = "http://" + from.address + std::string{changes_path} +
                     "?after=" + std::to_string(mirror_.revision());
    http_.get(url, pull_limit, [this, peer = from.peer, now](const net::http_result& answer) {
        on_answer(peer, answer, now);
    });
}

void peer_exchange::fetch_from_seed(clock::time_point now) {
    if (seeds_.empty()) {
        return;
    }
    const auto& address = seeds_[next_seed_ % seeds_.size()];
    if (!is_pulling_ && now >= next_pull_) {
        ++next_seed_;
    }
    fetch({.peer = "seed", .address = address}, now);
}

void peer_exchange::on_answer(const std::string& peer, const net::http_result& answer,
                              clock::time_point sent) {
    const auto now = clock::now();
    is_pulling_ = false;
    next_pull_ = now + pull_pause;
    if (answer.status != http_ok) {
        return;
    }
    const auto decoded = wire::decode_store_changes(answer.body, key_);
    const auto* changes = std::get_if<wire::store_changes>(&decoded);
    if (changes == nullptr) {
        ++rejected_;
        return;
    }
    std::int64_t bytes = 0;
    for (const auto& each : changes->records) {
        bytes += static_cast<std::int64_t>(each.value.size());
    }
    next_pull_ =
        now + std::min(longest_pull_pause, clock::duration{bytes / pulled_bytes_per_millisecond});
    pulled result;
    result.revision = changes->revision;
    result.is_whole = changes->is_whole;
    // The age counts from when the peer answered, which was after the question was sent.
    result.confirmed = changes->confirmed_ms_ago < 0
                           ? clock::time_point{}
                           : sent - clock::duration{changes->confirmed_ms_ago};
    for (const auto& each : changes->records) {
        if (each.is_removed) {
            result.events.emplace_back(store::removal{.key = each.key, .revision = each.revision});
        } else if (result.is_whole) {
            result.items.push_back(
                {.key = each.key, .value = each.value, .revision = each.revision});
        } else {
            result.events.emplace_back(
                store::item{.key = each.key, .value = each.value, .revision = each.revision});
        }
    }
    if (log_.admits(log_kind::state_change, now)) {
        log_.write(log_event{"pulled"}
                       .with("peer", peer)
                       .with("revision", result.revision)
                       .with("records", static_cast<std::int64_t>(changes->records.size()))
                       .with("confirmed_ms_ago", age_in_milliseconds(result.confirmed, now)));
    }
    pulled_(result, now);
}

}  // namespace bramleytrack
