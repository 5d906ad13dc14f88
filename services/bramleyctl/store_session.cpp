#include "store_session.h"

#include <algorithm>

#include "configuration/change_log.h"
#include "net/udp_endpoint.h"

namespace bramleytrack::ctl {
namespace {

// The store answers in milliseconds; an outage lasts longer than a few tries.
constexpr clock::duration first_retry{100};
constexpr clock::duration longest_retry{2'000};

void wake_up(ev::timer& timer, int /*events*/) {
    ev_break(timer.loop, EVBREAK_ONE);
}

}  // namespace

store_session::store_session(std::string_view address, clock::duration timeout)
    : client_{loop_},
      store_{client_, net::parse_address(address).value_or(sockaddr_in{})},
      timeout_{timeout} {}

net::http_result store_session::get(const std::string& url) {
    net::http_result result;
    client_.get(url, timeout_, [&](net::http_result answer) {
        result = std::move(answer);
        loop_.break_loop(ev::ONE);
    });
    loop_.run();
    return result;
}

store::outcome<store::committed> store_session::commit(const store::transaction& wanted) {
    store::outcome<store::committed> result;
    store_.commit(wanted, timeout_,
                  [&](const store::outcome<store::committed>& answer, clock::time_point /*now*/) {
                      result = answer;
                      loop_.break_loop(ev::ONE);
                  });
    loop_.run();
    return result;
}

store::outcome<store::lookup_result> store_session::read(std::string_view key) {
    store::outcome<store::lookup_result> result;
    store_.get(key, timeout_,
               [&](const store::outcome<store::lookup_result>& answer, clock::time_point /*now*/) {
                   result = answer;
                   loop_.break_loop(ev::ONE);
               });
    loop_.run();
    return result;
}

std::variant<written, result_code> store_session::compare_and_swap(std::string_view key,
                                                                   std::int64_t expected,
                                                                   const std::string& value,
                                                                   std::string_view id) {
    const auto deadline = clock::now() + timeout_;
    auto wait = first_retry;
    while (true) {
        const auto answer =
            commit({.preconditions = {{.key = std::string{key}, .revision = expected}},
                    .writes = {{.key = std::string{key}, .value = value}},
                    .removals = {}});
        if (const auto* done = std::get_if<store::committed>(&answer)) {
            return written{.version = done->revision};
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
    const auto* part = std::get_if<store::lookup_result>(&now);
    if (part == nullptr || !part->content) {
        return std::nullopt;
    }
    const auto* found = &*part->content;
    switch (configuration::outcome_of_write(found->value, found->revision, expected, id)) {
        case write_outcome::took_effect:
            return written{.version = found->revision};
        case write_outcome::took_effect_and_replaced:
            return written{.version = found->revision, .is_replaced = true};
        case write_outcome::conflict:
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
