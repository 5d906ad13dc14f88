#include "requests/work_of_request.h"

#include "routing/candidates.h"

namespace bramleytrack::requests {

request_id id_of(const wire::packet& packet) {
    return {routing::key_of(packet), packet.request};
}

bool may_run_twice(const wire::packet& content) {
    return content.may_repeat == wire::repetition::repeatable;
}

load::work work_of(const request& subject, const load::target_load& load) {
    const auto& content = subject.content;
    return {.id = subject.id,
            .member = content.member,
            .kind = load.strategy->class_of(may_run_twice(content), content.payload.size()),
            .deadline = subject.deadline};
}

}  // namespace bramleytrack::requests
