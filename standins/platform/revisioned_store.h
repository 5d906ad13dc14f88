// Stand-in for the store of the users' platform: revisions, range reads, watches with a history,
// leases and transactions, and faults that tests inject.
//
// Faults (PUT /fault?...): down=1|0 answers 503, silent=1|0 does not answer, lost=N drops the
// answers to the next N calls except reads and watches, after they took effect, forget=1 drops the
// history, lapse=1 removes all current entries below servers/. PUT /put?key=K and /remove?key=K
// write as operators and targets do; while the store is down or silent, they take effect and answer
// 503.
#pragma once

#include <ev++.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "base/clock.h"
#include "net/http_server.h"

namespace bramleytrack::standins {

class revisioned_store {
public:
    explicit revisioned_store(ev::loop_ref loop);

    // Whether the store serves requests for this path.
    static bool handles(const std::string& path);
    void handle(const net::http_request& request, const net::http_responder& respond);

    std::int64_t calls() const { return calls_; }

private:
    struct entry {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;  // revision of the write that created the entry
        std::int64_t lease = 0;    // id of the lease, 0 for none
    };
    struct change {
        std::int64_t revision = 0;
        std::string key;
        bool is_removal = false;
        nlohmann::json content;
    };
    struct pending_watch {
        std::string prefix;
        std::int64_t after = 0;
        clock::time_point deadline;
        net::http_responder respond;
    };
    struct lease {
        clock::duration lifetime{0};
        clock::time_point expires_at;
    };

    net::http_response read_key(const net::http_request& request) const;
    net::http_response read_range(const net::http_request& request) const;
    void watch(const net::http_request& request, const net::http_responder& respond);
    net::http_response transact(const net::http_request& request);
    net::http_response grant(const net::http_request& request);
    net::http_response renew(std::int64_t lease_id);
    net::http_response revoke(std::int64_t lease_id);
    net::http_response set_fault(const net::http_request& request);

    void write(const std::string& key, const std::string& value, std::int64_t lease_id,
               std::int64_t revision);
    void remove(const std::string& key, std::int64_t revision);
    void record_change(change recorded);
    void end_lease(std::int64_t lease_id);
    nlohmann::json item(const std::string& key, const entry& stored) const;
    nlohmann::json changes_since(const std::string& prefix, std::int64_t after) const;
    void answer_watches();
    void on_tick(ev::timer& watcher, int events);

    std::map<std::string, entry> entries_;
    std::map<std::int64_t, lease> leases_;
    std::deque<change> history_;
    // Changes up to this revision are no longer in the history.
    std::int64_t compacted_revision_ = 0;
    std::int64_t revision_ = 1;
    std::int64_t last_lease_id_ = 0;
    std::list<pending_watch> watches_;
    std::int64_t calls_ = 0;
    int answers_to_drop_ = 0;
    bool is_down_ = false;
    bool is_silent_ = false;
    ev::timer ticker_;
};

}  // namespace bramleytrack::standins
