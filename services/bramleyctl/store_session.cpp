#include "store_session.h"

#include <algorithm>

#include "configuration/change_log.h"
#include "net/udp_endpoint.h"

namespace bramleytrack::ctl {
namespace {

// The store normally answers within milliseconds. An outage outlasts a few attempts, so the delay
// doubles up to the maximum.
constexpr clock::duration initial_retry_delay{100};
constexpr clock::duration max_retry_delay{2'000};

void stop_loop(ev::timer& timer, int /*events*/) {
    ev_break(timer.loop, EVBREAK_ONE);
}

}  // namespace

store_session::store_session(std::string_view address, clock::duration timeout)
    : client_{loop_},
      store_{client_, net::parse_address(address).value_or(sockaddr_in{})},
      timeout_{timeout} {}

net::http_result store_session::get(const std::string& url) {
    net::http_result result;
    client_.get(url, timeout_, [&](net::http_result response) {
        result = std::move(response);
        loop_.break_loop(ev::ONE);
    });
    loop_.run();
    return result;
}

store::outcome<store::committed> store_session::commit(const store::transaction& transaction) {
    store::outcome<store::committed> result;
    store_.commit(transaction, timeout_,
                  [&](const store::outcome<store::committed>& response, clock::time_point /*now*/) {
                      result = response;
                      loop_.break_loop(ev::ONE);
                  });
    loop_.run();
    return result;
}

store::outcome<store::lookup_result> store_session::read(std::string_view key) {
    store::outcome<store::lookup_result> result;
    store_.get(
        key, timeout_,
        [&](const store::outcome<store::lookup_result>& response, clock::time_point /*now*/) {
            result = response;
            loop_.break_loop(ev::ONE);
        });
    loop_.run();
    return result;
}

std::variant<write_result, result_code> store_session::compare_and_swap(
    std::string_view key, std::int64_t expected_version, const std::string& value,
    std::string_view change_id) {
    const auto deadline = clock::now() + timeout_;
    auto retry_delay = initial_retry_delay;
    while (true) {
        const auto response =
            commit({.preconditions = {{.key = std::string{key}, .revision = expected_version}},
                    .writes = {{.key = std::string{key}, .value = value}},
                    .removals = {}});
        if (const auto* committed = std::get_if<store::committed>(&response)) {
            return write_result{.version = committed->revision};
        }
        // The conflicting write may be our own, if its response was lost in an earlier attempt.
        if (const auto outcome = resolve_outcome(key, expected_version, change_id)) {
            return *outcome;
        }
        if (clock::now() + retry_delay >= deadline) {
            return result_code::write_in_doubt;
        }
        sleep_for(retry_delay);
        retry_delay = std::min(2 * retry_delay, max_retry_delay);
    }
}

std::optional<std::variant<write_result, result_code>> store_session::resolve_outcome(
    std::string_view key, std::int64_t expected_version, std::string_view change_id) {
    using configuration::write_outcome;
    const auto response = read(key);
    const auto* lookup = std::get_if<store::lookup_result>(&response);
    if (lookup == nullptr || !lookup->content) {
        return std::nullopt;
    }
    const auto* stored = &*lookup->content;
    switch (configuration::outcome_of_write(stored->value, stored->revision, expected_version,
                                            change_id)) {
        case write_outcome::took_effect:
            return write_result{.version = stored->revision};
        case write_outcome::took_effect_and_replaced:
            return write_result{.version = stored->revision, .is_replaced = true};
        case write_outcome::conflict:
            return result_code::version_conflict;
        case write_outcome::not_written:
            break;
    }
    return std::nullopt;
}

void store_session::sleep_for(clock::duration duration) {
    ev::timer timer{loop_};
    timer.set<&stop_loop>();
    constexpr double milliseconds_per_second = 1000.0;
    timer.start(static_cast<double>(duration.count()) / milliseconds_per_second);
    loop_.run();
}

}  // namespace bramleytrack::ctl
