#include "instance_directory.h"

#include <nlohmann/json.hpp>

namespace bramleytrack::standins {

void instance_directory::handle(const net::http_request& request,
                                const net::http_responder& respond) {
    const auto now = clock::now();
    if (request.method == "PUT") {
        const auto lag = request.query_or("now", "0") == "1" ? clock::duration{0} : lag_;
        pending_.push_back({now + lag, request.query_or("name", ""), request.body});
        respond({.status = 200, .body = "{}", .content_type = "application/json"});
        return;
    }
    apply_due_changes(now);
    auto list = nlohmann::json::array();
    for (const auto& [name, entry] : visible_) {
        list.push_back(nlohmann::json::parse(entry, nullptr, false));
    }
    respond({.status = 200, .body = list.dump(), .content_type = "application/json"});
}

void instance_directory::apply_due_changes(clock::time_point now) {
    std::erase_if(pending_, [this, now](const change& each) {
        if (now < each.visible_at) {
            return false;
        }
        if (each.entry.empty()) {
            visible_.erase(each.name);
        } else {
            visible_[each.name] = each.entry;
        }
        return true;
    });
}

}  // namespace bramleytrack::standins
