// stale_store: passes calls on to the store. Range reads that may be stale get the state of some
// time ago.
#include <deque>
#include <nlohmann/json.hpp>

#include "base/clock.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/udp_endpoint.h"
#include "settings/command_line.h"

namespace bramleytrack::review {
namespace {

using nlohmann::json;

constexpr double snapshot_seconds = 0.05;
constexpr clock::duration snapshot_timeout{1'000};
constexpr clock::duration call_timeout{35'000};
constexpr int http_ok = 200;
constexpr int http_unavailable = 503;

class stale_store {
public:
    stale_store(ev::loop_ref loop, const std::string& near_address, const std::string& far_address,
                clock::duration behind)
        : behind_{behind},
          store_{*net::parse_address(far_address)},
          client_{loop},
          server_{loop, near_address,
                  [this](const net::http_request& request, const net::http_responder& respond) {
                      serve(request, respond);
                  }},
          timer_{loop} {
        timer_.set<stale_store, &stale_store::take_snapshot>(this);
        timer_.start(0, snapshot_seconds);
    }

private:
    struct snapshot {
        clock::time_point taken_at;
        json content;
    };

    void take_snapshot(ev::timer& /*watcher*/, int /*events*/) {
        const auto asked_at = clock::now();
        client_.call({.method = "GET",
                      .address = store_,
                      .path = "/-/kv-range?prefix=",
                      .body = {},
                      .timeout = snapshot_timeout},
                     [this, asked_at](const net::http_result& result) {
                         if (result.status == http_ok) {
                             snapshots_.push_back(
                                 {.taken_at = asked_at, .content = json::parse(result.body)});
                         }
                     });
        // The front is the newest one that is old enough, if any is.
        while (snapshots_.size() > 1 && snapshots_[1].taken_at <= asked_at - behind_) {
            snapshots_.pop_front();
        }
    }

    void serve(const net::http_request& request, const net::http_responder& respond) {
        const bool may_be_stale =
            request.path == "/-/kv-range" && request.query_or("serializable", "0") == "1";
        if (may_be_stale && !snapshots_.empty()) {
            respond({.status = http_ok,
                     .body = stale_page(request.query_or("prefix", "")).dump(),
                     .content_type = "application/json"});
            return;
        }
        std::string path = request.path;
        char separator = '?';
        for (const auto& [key, value] : request.query) {
            path += separator + key + "=" + value;
            separator = '&';
        }
        client_.call({.method = request.method,
                      .address = store_,
                      .path = path,
                      .body = request.body,
                      .timeout = call_timeout},
                     [respond](const net::http_result& result) {
                         respond({.status = result.status == 0 ? http_unavailable : result.status,
                                  .body = result.body,
                                  .content_type = "application/json"});
                     });
    }

    json stale_page(const std::string& prefix) const {
        const auto& content = snapshots_.front().content;
        json items = json::array();
        for (const auto& each : content["items"]) {
            if (each["key"].get_ref<const std::string&>().starts_with(prefix)) {
                items.push_back(each);
            }
        }
        return {
            {"items", items}, {"has_more", false}, {"store_revision", content["store_revision"]}};
    }

    clock::duration behind_;
    sockaddr_in store_;
    std::deque<snapshot> snapshots_;
    net::http_client client_;
    net::http_server server_;
    ev::timer timer_;
};

}  // namespace
}  // namespace bramleytrack::review

int main(int argc, const char** argv) {
    using namespace bramleytrack;
    std::string near_address;
    std::string far_address;
    int behind_ms = 0;
    settings::command_line{"--near ADDRESS --far ADDRESS"}
        .option("near", near_address, "ip:port where calls are accepted")
        .option("far", far_address, "ip:port of the store")
        .option("behind-ms", behind_ms, "the age of what stale reads get")
        .parse(argc, argv);
    ev::default_loop loop;
    const review::stale_store store{loop, near_address, far_address, clock::duration{behind_ms}};
    loop.run();
    return 0;
}
