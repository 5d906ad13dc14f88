#include "store_session.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "configuration/change_trail.h"

namespace bramleytrack::ctl {
namespace {

constexpr int http_ok = 200;
// The store answers in milliseconds; an outage lasts longer than a few tries.
constexpr clock::duration first_retry{100};
constexpr clock::duration longest_retry{2'000};

void wake_up(ev::timer& timer, int /*events*/) {
    ev_break(timer.loop, EVBREAK_ONE);
}

}  // namespace

store_session::store_session(std::string url, clock::duration timeout)
    : client_{loop_}, url_{std::move(url)}, timeout_{timeout} {}

std::string store_session::url_of(std::string_view key) const {
    return url_ + "/v1/kv/" + std::string{key};
}

net::http_result store_session::get(const std::string& url) {
    net::http_result result;
    client_.get(url, timeout_, [&](net::http_result answer) {
        result = std::move(answer);
        loop_.break_loop(ev::ONE);
    });
    loop_.run();
    return result;
}

net::http_result store_session::put(const std::string& url, const std::string& body) {
    net::http_result result;
    client_.put(url, body, timeout_, [&](net::http_result answer) {
        result = std::move(answer);
        loop_.break_loop(ev::ONE);
    });
    loop_.run();
    return result;
}

platform::read_result store_session::read(std::string_view key) {
    return platform::parse_stored_value(get(url_of(key)));
}

std::variant<written, result_code> store_session::compare_and_swap(std::string_view key,
                                                                   std::int64_t expected,
                                                                   const std::string& value,
                                                                   std::string_view id) {
    const auto deadline = clock::now() + timeout_;
    auto wait = first_retry;
    while (true) {
        const auto answer = put(url_of(key) + "?expected=" + std::to_string(expected), value);
        const auto root = nlohmann::json::parse(answer.body, nullptr, false);
        if (answer.status == http_ok && root.is_object() && root.contains("version")) {
            return written{.version = root["version"].get<std::int64_t>()};
        }
        // A conflict may be one with our own write, whose answer was lost in an earlier round.
        if (const auto outcome = resolve(key, expected, id)) {
            return *outcome;
        }
        if (clock::now() + wait >= deadline) {
            return result_code::write_in_doubt;
        }
        pause(wait);
        wait = std::min(2 * wait, longest_retry);
    }
}

std::optional<std::variant<written, result_code>> store_session::resolve(std::string_view key,
                                                                         std::int64_t expected,
                                                                         std::string_view id) {
    using configuration::write_outcome;
    const auto now = read(key);
    const auto* found = std::get_if<platform::stored_value>(&now);
    if (found == nullptr) {
        return std::nullopt;
    }
    switch (configuration::outcome_of_write(found->value, found->version, expected, id)) {
        case write_outcome::took_effect:
            return written{.version = found->version};
        case write_outcome::took_effect_and_replaced:
            return written{.version = found->version, .is_replaced = true};
        case write_outcome::another_came_first:
            return result_code::version_conflict;
        case write_outcome::not_written:
            break;
    }
    return std::nullopt;
}

void store_session::pause(clock::duration duration) {
    ev::timer timer{loop_};
    timer.set<&wake_up>();
    constexpr double milliseconds_per_second = 1000.0;
    timer.start(static_cast<double>(duration.count()) / milliseconds_per_second);
    loop_.run();
}

}  // namespace bramleytrack::ctl
