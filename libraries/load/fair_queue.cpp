#include "load/fair_queue.h"

namespace bramleytrack::load {

void fair_queue::push(const work& request, double cost, clock::time_point now) {
    basic_fair_queue::push({.id = request.id,
                            .member = std::string{request.member},
                            .kind = request.kind,
                            .cost = cost,
                            .deadline = request.deadline,
                            .queued_at = now});
}

bool fair_queue::erase(const records::request_id& id) {
    return !take_if([&id](const waiting_request& each) { return each.id == id; }).empty();
}

}  // namespace bramleytrack::load
