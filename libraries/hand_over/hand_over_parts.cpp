#include "hand_over/hand_over_parts.h"

#include "base/result_code.h"
#include "records/request_table.h"

namespace bramleytrack::hand_over {
namespace {

// Upper bounds of the integers, field headers and length prefixes of one record in Thrift's compact
// protocol.
constexpr std::size_t fixed_flow_bytes = 48;
constexpr std::size_t fixed_request_bytes = 176;

}  // namespace

std::size_t max_encoded_size(const wire::flow_record& record) {
    return fixed_flow_bytes + record.service_address.size() + record.service_name.size() +
           record.caller.size() + record.member.size() + record.target.size();
}

std::size_t max_encoded_size(const wire::request_record& record) {
    const auto& outcome = record.content;
    return fixed_request_bytes + outcome.service_address.size() + outcome.caller.size() +
           outcome.member.size() + outcome.payload.size();
}

// Without its payload, a waiting request would be dispatched empty by the receiver. Unless an
// earlier owner may have run it, it has not been sent to the target and is refused as not run.
// Setting `attempts` to the maximum keeps a dispatched one from being dispatched again.
void drop_payload(wire::request_record& record) {
    auto& content = record.content;
    content.payload.clear();
    const bool is_waiting =
        record.state == static_cast<std::int32_t>(records::request_state::waiting);
    if (is_waiting && !record.is_in_doubt) {
        record.state = static_cast<std::int32_t>(records::request_state::ended);
        content.kind = wire::packet_kind::refused;
        content.code = static_cast<std::int32_t>(result_code::queue_full);
        content.come_back_ms = 1;
        return;
    }
    if (is_waiting || content.kind == wire::packet_kind::answer) {
        record.state = static_cast<std::int32_t>(records::request_state::ended);
        content.kind = wire::packet_kind::unknown;
        content.code = static_cast<std::int32_t>(result_code::outcome_unknown);
    }
    record.attempts = records::max_attempts;
}

std::vector<wire::hand_over> split_into_parts(const wire::hand_over& head,
                                              std::vector<wire::flow_record> flows,
                                              std::vector<wire::request_record> requests) {
    std::vector<wire::hand_over> parts{head};
    std::size_t bytes = 0;
    const auto start_part_if_full = [&](std::size_t size) {
        if (bytes > 0 && bytes + size > max_part_bytes) {
            parts.push_back(head);
            bytes = 0;
        }
        bytes += size;
    };
    for (auto& record : flows) {
        start_part_if_full(max_encoded_size(record));
        parts.back().flows.push_back(std::move(record));
    }
    for (auto& record : requests) {
        if (max_encoded_size(record) > max_record_bytes) {
            drop_payload(record);
        }
        start_part_if_full(max_encoded_size(record));
        parts.back().requests.push_back(std::move(record));
    }
    for (std::size_t i = 0; i < parts.size(); ++i) {
        parts[i].part = static_cast<std::int32_t>(i);
        parts[i].parts = static_cast<std::int32_t>(parts.size());
    }
    return parts;
}

}  // namespace bramleytrack::hand_over
