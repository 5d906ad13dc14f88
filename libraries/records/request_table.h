// The requests on the targets that this instance owns, and their outcomes. Callers retransmit
// requests; the records make the retransmissions idempotent. The table also counts the slots that
// dispatched requests hold.
//
// Invariant: once a request has an outcome, every retransmission gets the same outcome; only
// `unknown` may still be followed by the target's answer, and an answer too large for a hand-over
// becomes `unknown` (hand_over::drop_payload). So a request that was refused as not run never runs
// afterwards, and one that ran never runs again.
// Invariant: slots_held_on(target) equals the number of the target's records that hold a slot.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "routing/candidates.h"
#include "wire/generated/bramleytrack_types.h"

namespace bramleytrack::records {

// Maximum time between two transmissions of a request. Deadlines are capped to it, and an outcome
// is kept for this long after the last copy of its request.
constexpr clock::duration max_request_lifetime{10'000};
// A target that enforces deadlines may still send an answer this long after the deadline.
constexpr clock::duration deadline_grace{250};
// Maximum number of dispatches of a repeatable request that the target sheds.
constexpr int max_attempts = 2;
// Maximum number of records of one flow, so that a single caller can't fill the table. It allows 25
// requests per second, far more than an interactive flow sends.
constexpr std::size_t max_records_per_flow = 256;
// Maximum number of records and payload bytes in the table. At 700 requests per second for each of
// 5 owned targets, kept for about 12 s, an owner holds 42,000 records.
constexpr std::size_t max_records = 100'000;
constexpr std::size_t max_payload_bytes = std::size_t{128} << 20U;

enum class request_state : std::int32_t {
    waiting = 1,     // in the queue, not sent to the target
    dispatched = 2,  // sent to the target, no outcome yet
    ended = 3,       // has its outcome; kept for late copies
};

struct request_id {
    routing::flow_key flow = 0;
    std::int64_t number = 0;
    auto operator<=>(const request_id&) const = default;
};

struct request {
    request_id id;
    request_state state = request_state::waiting;
    wire::packet content;  // the caller's packet; once ended, the outcome
    std::string target;
    std::int64_t dispatch = 0;      // number of the last dispatch to the target
    int attempts = 0;               // number of dispatches
    std::uint64_t fingerprint = 0;  // see fingerprint_of
    bool may_have_run = false;      // an earlier owner may have dispatched it; wire: is_in_doubt
    bool holds_slot = false;        // the target may be running it, even if its outcome is final
    bool is_flow_closed = false;    // a new flow may reuse its number
    clock::time_point arrived;      // when the first copy reached an owner
    clock::time_point deadline;     // of the first copy, capped; later copies don't change it
    clock::time_point forget_at;    // when no further copy can arrive
    clock::time_point due;          // when it next needs processing; see due_at
    std::size_t payload_bytes = 0;  // its share of the table's total
};

// Fingerprint of a record that was created before any copy of its request arrived.
constexpr std::uint64_t unknown_fingerprint = 0;

// Hash of the contents that two packets with one request number share if they are copies of one
// request.
std::uint64_t fingerprint_of(const wire::packet& content);

class request_table {
public:
    request* find(const request_id& id);

    // False if the flow or the whole table has reached its maximum number of records or bytes.
    bool has_capacity(routing::flow_key flow, std::size_t payload_bytes) const;
    request& add(const request_id& id, wire::packet content, std::string_view target,
                 clock::time_point now);
    void dispatch(request& entry, std::int64_t dispatch);
    // Returns a request that the target has not run to the waiting state.
    void requeue(request& entry);
    // Sets the outcome of the request. A slot that it holds stays counted until free_slot.
    void end(request& entry, wire::packet outcome, clock::time_point now);
    void free_slot(request& entry);
    // Extends the retention of the record after a copy of its request has arrived.
    void extend_retention(request& entry, clock::time_point now);
    void erase(const request_id& id);

    std::vector<std::int64_t> numbers_of(routing::flow_key flow) const;
    // Requests that have passed their deadline or whose record has expired, earliest first.
    std::vector<request_id> due(clock::time_point now) const;

    int slots_held_on(std::string_view target) const;
    std::vector<request_id> waiting_on(std::string_view target) const;
    std::vector<wire::request_record> records_on(std::string_view target) const;
    void restore(const wire::request_record& record, std::string_view target);
    void erase_on(std::string_view target);
    std::size_t size() const { return size_; }

    template <typename Visitor>
    void for_each(Visitor visit) const {
        for (const auto& [flow, numbers] : flows_) {
            for (const auto& [number, each] : numbers) {
                visit(each);
            }
        }
    }

private:
    void reschedule(request& entry);
    void set_holds_slot(request& entry, bool holds_slot);
    void update_payload_bytes(request& entry);
    void remove(request& entry);

    // Node-based, so that references to a request stay valid while others are added and removed.
    std::unordered_map<routing::flow_key, std::map<std::int64_t, request>> flows_;
    std::set<std::pair<clock::time_point, request_id>> due_;  // one entry per request
    std::unordered_map<std::string, int> slots_;              // slots held, by target
    std::size_t size_ = 0;
    std::size_t payload_bytes_ = 0;
};

}  // namespace bramleytrack::records
