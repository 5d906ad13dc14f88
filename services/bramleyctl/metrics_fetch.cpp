#include "metrics_fetch.h"

#include <ev++.h>

#include "net/http_client.h"

namespace bramleytrack::ctl {
namespace {

constexpr int http_ok = 200;

}  // namespace

std::vector<std::string> fetch_metrics(std::span<const std::string> addresses,
                                       clock::duration timeout) {
    ev::dynamic_loop loop;
    net::http_client client{loop};
    std::vector<std::string> texts(addresses.size());
    std::size_t pending = addresses.size();
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        client.get("http://" + addresses[i] + "/metrics", timeout,
                   [&, i](const net::http_result& response) {
                       texts[i] = response.status == http_ok ? response.body : "";
                       --pending;
                       loop.break_loop(ev::ONE);
                   });
    }
    // The callback runs before get() returns when an address is malformed, so the loop is only
    // entered while calls are pending.
    while (pending > 0) {
        loop.run();
    }
    return texts;
}

}  // namespace bramleytrack::ctl
