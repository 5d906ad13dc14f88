#include "load/strategies.h"

#include "load/deadline_check.h"

namespace bramleytrack::load {

const strategies& default_strategies() {
    static constexpr strategies table{
        .take = &fair_queue::take,
        .evict_for = [](fair_queue& queue,
                        std::string_view member) { return queue.evict_for(member); },
        .end_if_dispatched = &end_if_dispatched,
        .latest_end = &latest_end,
        .end_if_queued = &end_if_queued,
        .retry_after = &retry_after_of_refused,
        .class_of = &class_of};
    return table;
}

}  // namespace bramleytrack::load
