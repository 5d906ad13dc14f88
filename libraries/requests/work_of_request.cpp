#include "requests/work_of_request.h"

#include "routing/candidates.h"

namespace bramleytrack::requests {

request_id id_of(const wire::packet& packet) {
    return {routing::key_of(packet), packet.request};
}

bool is_repeatable(const wire::packet& content) {
    return content.may_repeat == wire::repetition::repeatable;
}

load::work work_of(const request& record, const load::target_load& load) {
    const auto& content = record.content;
    return {.id = record.id,
            .member = content.member,
            .kind = load.strategy->class_of(is_repeatable(content), content.payload.size()),
            .deadline = record.deadline};
}

}  // namespace bramleytrack::requests
