#include "flows/flow_table.h"

namespace bramleytrack::flows {

bool is_same_flow(const flow& existing, const wire::packet& content) {
    const auto& record = existing.record;
    return record.caller == content.caller && record.flow == content.flow &&
           record.service_address == content.service_address;
}

flow* flow_table::find(routing::flow_key key) {
    const auto found = flows_.find(key);
    return found == flows_.end() ? nullptr : &found->second;
}

const flow* flow_table::find(routing::flow_key key) const {
    const auto found = flows_.find(key);
    return found == flows_.end() ? nullptr : &found->second;
}

flow& flow_table::put(const wire::flow_record& record, flow_state state, clock::time_point now) {
    const auto key = static_cast<routing::flow_key>(record.key);
    erase(key);
    ++count_by_target_[record.target];
    return flows_[key] = {.record = record, .state = state, .last_used = now, .home_id = 0};
}

void flow_table::erase(routing::flow_key key) {
    const auto found = flows_.find(key);
    if (found == flows_.end()) {
        return;
    }
    --count_by_target_[found->second.record.target];
    flows_.erase(found);
}

std::vector<wire::flow_record> flow_table::records_on(std::string_view target) const {
    std::vector<wire::flow_record> result;
    for (const auto& [key, each] : flows_) {
        if (each.record.target == target) {
            result.push_back(each.record);
        }
    }
    return result;
}

std::vector<routing::flow_key> flow_table::unused_since(clock::time_point limit) const {
    std::vector<routing::flow_key> result;
    for (const auto& [key, each] : flows_) {
        if (each.last_used < limit) {
            result.push_back(key);
        }
    }
    return result;
}

int flow_table::count_on(std::string_view target) const {
    const auto found = count_by_target_.find(std::string{target});
    return found == count_by_target_.end() ? 0 : found->second;
}

void flow_table::erase_on(std::string_view target) {
    std::erase_if(flows_, [&](const auto& entry) { return entry.second.record.target == target; });
    count_by_target_.erase(std::string{target});
}

}  // namespace bramleytrack::flows
