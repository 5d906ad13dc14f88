#include "revisioned_store.h"

#include <modp_b64.h>

#include <algorithm>

namespace bramleytrack::standins {
namespace {

using nlohmann::json;

constexpr double tick_seconds = 0.02;
constexpr std::size_t page_size = 500;
constexpr std::size_t max_history = 10'000;
constexpr int http_not_found = 404;
constexpr int http_gone = 410;
constexpr int http_precondition_failed = 412;
constexpr int http_forbidden = 403;
constexpr int http_unavailable = 503;

constexpr std::string_view renew_path = "/-/kv-keep/";
constexpr std::string_view revoke_path = "/-/kv-lease-end/";

net::http_response answer(const json& body, int status = 200) {
    return {.status = status, .body = body.dump(), .content_type = "application/json"};
}

bool is_protected(const std::string& key) {
    return key.starts_with("op/") || key.starts_with("servers/");
}

}  // namespace

revisioned_store::revisioned_store(ev::loop_ref loop) : ticker_{loop} {
    ticker_.set<revisioned_store, &revisioned_store::on_tick>(this);
    ticker_.start(tick_seconds, tick_seconds);
}

bool revisioned_store::handles(const std::string& path) {
    return path.starts_with("/-/kv-") || path == "/fault" || path == "/put" || path == "/remove";
}

void revisioned_store::handle(const net::http_request& request,
                              const net::http_responder& respond) {
    if (request.path == "/fault") {
        respond(set_fault(request));
        return;
    }
    if (request.path == "/put" || request.path == "/remove") {
        const auto key = request.query_or("key", "");
        if (request.path == "/put") {
            // A heartbeat that changes nothing does not advance the revision.
            const auto found = entries_.find(key);
            if (found == entries_.end() || found->second.value != request.body) {
                write(key, request.body, 0, ++revision_);
            }
        } else {
            remove(key, ++revision_);
        }
        respond(answer(json::object(), is_down_ || is_silent_ ? http_unavailable : 200));
        answer_watches();
        return;
    }
    ++calls_;
    if (is_silent_) {
        return;
    }
    if (is_down_) {
        respond(answer(json::object(), http_unavailable));
        return;
    }
    if (request.path == "/-/kv-watch") {
        watch(request, respond);
        return;
    }
    if (request.path == "/-/kv-key") {
        respond(read_key(request));
        return;
    }
    if (request.path == "/-/kv-range") {
        respond(read_range(request));
        return;
    }
    net::http_response result = answer(json::object(), http_not_found);
    if (request.path == "/-/kv-txn") {
        result = transact(request);
    } else if (request.path == "/-/kv-lease") {
        result = grant(request);
    } else if (request.path.starts_with(renew_path)) {
        result = renew(std::stoll(request.path.substr(renew_path.size())));
    } else if (request.path.starts_with(revoke_path)) {
        result = revoke(std::stoll(request.path.substr(revoke_path.size())));
    }
    answer_watches();
    if (answers_to_drop_ > 0) {
        --answers_to_drop_;
        return;
    }
    respond(result);
}

net::http_response revisioned_store::read_key(const net::http_request& request) const {
    const auto found = entries_.find(request.query_or("key", ""));
    if (found == entries_.end()) {
        return answer({{"store_revision", revision_}}, http_not_found);
    }
    auto body = item(found->first, found->second);
    body["store_revision"] = revision_;
    return answer(body);
}

net::http_response revisioned_store::read_range(const net::http_request& request) const {
    const auto prefix = request.query_or("prefix", "");
    json items = json::array();
    bool has_more = false;
    for (auto each = entries_.upper_bound(request.query_or("after", ""));
         each != entries_.end() && !has_more; ++each) {
        if (!each->first.starts_with(prefix)) {
            continue;
        }
        has_more = items.size() == page_size;
        if (!has_more) {
            items.push_back(item(each->first, each->second));
        }
    }
    return answer({{"items", items}, {"has_more", has_more}, {"store_revision", revision_}});
}

void revisioned_store::watch(const net::http_request& request, const net::http_responder& respond) {
    watches_.push_back(
        {.prefix = request.query_or("prefix", ""),
         .after = std::stoll(request.query_or("after", "0")),
         .deadline = clock::now() + clock::duration{std::stoll(request.query_or("wait_ms", "0"))},
         .respond = respond});
    answer_watches();
}

net::http_response revisioned_store::transact(const net::http_request& request) {
    const auto body = json::parse(request.body);
    json current = json::array();
    bool is_conflict = false;
    for (const auto& each : body.value("if_revision", json::array())) {
        const auto found = entries_.find(each["key"].get<std::string>());
        const auto revision = found == entries_.end() ? 0 : found->second.revision;
        is_conflict = is_conflict || revision != each["revision"].get<std::int64_t>();
        if (found != entries_.end()) {
            current.push_back(item(found->first, found->second));
        }
    }
    if (is_conflict) {
        return answer({{"items", current}}, http_precondition_failed);
    }
    for (const auto& each : body.value("writes", json::array())) {
        const auto lease_id = each.value("lease", std::int64_t{0});
        if (is_protected(each["key"].get<std::string>())) {
            return answer(json::object(), http_forbidden);
        }
        if (lease_id != 0 && !leases_.contains(lease_id)) {
            return answer(json::object(), http_not_found);
        }
    }
    ++revision_;
    for (const auto& each : body.value("writes", json::array())) {
        write(each["key"].get<std::string>(), modp::b64_decode(each["value"].get<std::string>()),
              each.value("lease", std::int64_t{0}), revision_);
    }
    for (const auto& each : body.value("remove", json::array())) {
        remove(each.get<std::string>(), revision_);
    }
    return answer({{"revision", revision_}});
}

net::http_response revisioned_store::grant(const net::http_request& request) {
    const clock::duration lifetime{json::parse(request.body).at("ttl_ms").get<std::int64_t>()};
    const auto lease_id = ++last_lease_id_;
    leases_[lease_id] = {.lifetime = lifetime, .expires_at = clock::now() + lifetime};
    return answer({{"lease", lease_id}, {"ttl_ms", lifetime.count()}});
}

net::http_response revisioned_store::renew(std::int64_t lease_id) {
    const auto found = leases_.find(lease_id);
    if (found == leases_.end()) {
        return answer(json::object(), http_not_found);
    }
    found->second.expires_at = clock::now() + found->second.lifetime;
    return answer({{"ttl_ms", found->second.lifetime.count()}});
}

net::http_response revisioned_store::revoke(std::int64_t lease_id) {
    end_lease(lease_id);
    return answer(json::object());
}

net::http_response revisioned_store::set_fault(const net::http_request& request) {
    is_down_ = request.query_or("down", is_down_ ? "1" : "0") == "1";
    is_silent_ = request.query_or("silent", is_silent_ ? "1" : "0") == "1";
    answers_to_drop_ = std::stoi(request.query_or("lost", std::to_string(answers_to_drop_)));
    if (request.query_or("forget", "0") == "1") {
        compacted_revision_ = revision_;
        history_.clear();
    }
    if (request.query_or("lapse", "0") == "1") {
        std::vector<std::string> keys;
        for (const auto& [key, each] : entries_) {
            if (key.starts_with("servers/")) {
                keys.push_back(key);
            }
        }
        for (const auto& key : keys) {
            remove(key, ++revision_);
        }
    }
    answer_watches();
    return answer(json::object());
}

void revisioned_store::write(const std::string& key, const std::string& value,
                             std::int64_t lease_id, std::int64_t revision) {
    auto& written = entries_[key];
    written.value = value;
    written.created = written.created == 0 ? revision : written.created;
    written.revision = revision;
    written.lease = lease_id;
    record_change(
        {.revision = revision, .key = key, .is_removal = false, .content = item(key, written)});
}

void revisioned_store::remove(const std::string& key, std::int64_t revision) {
    if (entries_.erase(key) > 0) {
        record_change({.revision = revision,
                       .key = key,
                       .is_removal = true,
                       .content = {{"key", key}, {"revision", revision}, {"removed", true}}});
    }
}

void revisioned_store::record_change(change recorded) {
    history_.push_back(std::move(recorded));
    if (history_.size() > max_history) {
        compacted_revision_ = history_.front().revision;
        history_.pop_front();
    }
}

void revisioned_store::end_lease(std::int64_t lease_id) {
    leases_.erase(lease_id);
    std::vector<std::string> keys;
    for (const auto& [key, each] : entries_) {
        if (each.lease == lease_id) {
            keys.push_back(key);
        }
    }
    for (const auto& key : keys) {
        remove(key, ++revision_);
    }
}

json revisioned_store::item(const std::string& key, const entry& stored) const {
    return {{"key", key},
            {"value", modp::b64_encode(stored.value)},
            {"revision", stored.revision},
            {"created", stored.created},
            {"lease", stored.lease}};
}

json revisioned_store::changes_since(const std::string& prefix, std::int64_t after) const {
    json events = json::array();
    for (const auto& each : history_) {
        if (each.revision > after && each.key.starts_with(prefix)) {
            events.push_back(each.content);
        }
    }
    return events;
}

void revisioned_store::answer_watches() {
    if (is_silent_) {
        return;
    }
    const auto now = clock::now();
    for (auto each = watches_.begin(); each != watches_.end();) {
        const bool is_terminated = is_down_ || each->after < compacted_revision_;
        const auto events =
            is_terminated ? json::array() : changes_since(each->prefix, each->after);
        if (!is_terminated && events.empty() && now < each->deadline) {
            ++each;
            continue;
        }
        if (is_terminated) {
            each->respond(answer(json::object(), is_down_ ? http_unavailable : http_gone));
        } else {
            each->respond(answer({{"events", events}, {"store_revision", revision_}}));
        }
        each = watches_.erase(each);
    }
}

void revisioned_store::on_tick(ev::timer& /*watcher*/, int /*events*/) {
    const auto now = clock::now();
    std::vector<std::int64_t> expired;
    for (const auto& [lease_id, each] : leases_) {
        if (now >= each.expires_at) {
            expired.push_back(lease_id);
        }
    }
    // Leases do not expire during a store outage; overdue ones expire at the first tick after it.
    if (!is_down_ && !is_silent_) {
        std::ranges::for_each(expired, [this](std::int64_t lease_id) { end_lease(lease_id); });
    }
    answer_watches();
}

}  // namespace bramleytrack::standins
