// Stand-in for the store of the users' platform: revisions, range reads, watches with a history,
// leases and transactions, and the faults that tests ask for.
//
// Faults (PUT /fault?...): down=1|0 answers 503, silent=1|0 answers nothing, lost=N loses the
// answers of the next N writes after they took effect, forget=1 drops the history, lapse=1 removes
// what lies below servers/ now. PUT /put?key=K and /remove?key=K write as operators and targets do.
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

    // Whether the path is one of this store.
    static bool handles(const std::string& path);
    void handle(const net::http_request& request, const net::http_responder& respond);

    std::int64_t calls() const { return calls_; }

private:
    struct entry {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct change {
        std::int64_t revision = 0;
        std::string key;
        bool is_removal = false;
        nlohmann::json content;
    };
    struct waiting_watch {
        std::string prefix;
        std::int64_t after = 0;
        clock::time_point deadline;
        net::http_responder respond;
    };
    struct lease {
        clock::duration lifetime{0};
        clock::time_point end;
    };

    net::http_response read_key(const net::http_request& request) const;
    net::http_response read_range(const net::http_request& request) const;
    void watch(const net::http_request& request, const net::http_responder& respond);
    net::http_response transact(const net::http_request& request);
    net::http_response grant(const net::http_request& request);
    net::http_response renew(std::int64_t number);
    net::http_response end(std::int64_t number);
    net::http_response set_fault(const net::http_request& request);

    void write(const std::string& key, const std::string& value, std::int64_t lease_number,
               std::int64_t revision);
    void remove(const std::string& key, std::int64_t revision);
    void remember(change happened);
    void end_lease(std::int64_t number);
    nlohmann::json item(const std::string& key, const entry& subject) const;
    nlohmann::json news(const std::string& prefix, std::int64_t after) const;
    void answer_watches();
    void on_tick(ev::timer& watcher, int events);

    std::map<std::string, entry> entries_;
    std::map<std::int64_t, lease> leases_;
    std::deque<change> history_;
    std::int64_t forgotten_ = 0;  // changes up to this revision are no longer in the history
    std::int64_t revision_ = 1;
    std::int64_t last_lease_ = 0;
    std::list<waiting_watch> watches_;
    std::int64_t calls_ = 0;
    int lost_answers_ = 0;
    bool is_down_ = false;
    bool is_silent_ = false;
    ev::timer ticker_;
};

}  // namespace bramleytrack::standins
