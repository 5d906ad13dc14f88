// The requests on the targets that this instance owns, and their outcomes: makes retransmitted
// copies of a request idempotent, and counts the slots that dispatched requests hold.
//
// Invariant: once a request has an outcome, every later copy gets that same outcome; only `unknown`
// may still be followed by the request's own answer. So a request that was refused as not run never
// runs afterwards, and one that ran never runs again.
// Invariant: dispatched_on(target) equals the records of the target that hold a slot.
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

// No copy of a request comes later than this after the copy before it. Deadlines are cut to it, and
// an outcome is kept for so long after the last copy.
constexpr clock::duration max_request_lifetime{10'000};
// A target that enforces the deadline may still be answering this long after it.
constexpr clock::duration deadline_grace{250};
// Dispatches of one repeatable request that the target sheds.
constexpr int max_attempts = 2;
// Records of one flow, so that one caller can't fill the table: 25 requests a second, far above
// what a person's flow asks for.
constexpr std::size_t max_records_per_flow = 256;
// Records and bytes of payload in all. At 700 requests a second for each of 5 owned targets, kept
// for some 12 s, an owner holds 42,000.
constexpr std::size_t max_records = 100'000;
constexpr std::size_t max_payload_bytes = std::size_t{128} << 20U;

enum class request_state : std::int32_t {
    waiting = 1,     // in the queue, not sent to the target
    dispatched = 2,  // sent to the target, no outcome yet
    ended = 3,       // has its outcome; kept for copies that arrive late
};

struct request_id {
    routing::flow_key flow = 0;
    std::int64_t number = 0;
    auto operator<=>(const request_id&) const = default;
};

struct request {
    request_id id;
    request_state state = request_state::waiting;
    wire::packet content;  // as the caller sent it; once ended, the outcome
    std::string target;
    std::int64_t dispatch = 0;      // of the last dispatch to the target
    int attempts = 0;               // dispatches so far
    std::uint64_t fingerprint = 0;  // see fingerprint_of
    bool is_in_doubt = false;       // an owner before this one may have dispatched it
    bool holds_slot = false;        // the target may be running it, also when it has ended here
    bool is_flow_closed = false;    // its number may be used again by a new flow
    clock::time_point arrived;      // when the first copy reached an owner
    clock::time_point deadline;     // of the first copy, cut; later copies don't change it
    clock::time_point forget_at;    // when no copy can come any more
    clock::time_point due;          // when the table has to look at it; see due_at
    std::size_t payload_bytes = 0;  // counted in the table's total
};

// Fingerprint of a record that was made before a copy of the request itself came.
constexpr std::uint64_t any_content = 0;

// Hash of what makes two packets copies of one request besides the number.
std::uint64_t fingerprint_of(const wire::packet& content);

class request_table {
public:
    request* find(const request_id& id);

    // False when the flow, or all flows together, have as many records as are kept.
    bool has_room(routing::flow_key flow, std::size_t payload_bytes) const;
    request& add(const request_id& id, wire::packet content, std::string_view target,
                 clock::time_point now);
    void dispatch(request& subject, std::int64_t dispatch);
    // The target has not run it: it waits again.
    void requeue(request& subject);
    // Gives the request its outcome. A slot that it holds stays counted until free_slot.
    void end(request& subject, wire::packet outcome, clock::time_point now);
    void free_slot(request& subject);
    // A copy has come: the outcome is kept for the copies after it.
    void renew(request& subject, clock::time_point now);
    void erase(const request_id& id);

    // Numbers of the flow's requests.
    std::vector<std::int64_t> numbers_of(routing::flow_key flow) const;
    // Requests that have passed their deadline or can be forgotten, the longest due first.
    std::vector<request_id> due(clock::time_point now) const;

    // Slots of the target that requests hold.
    int dispatched_on(std::string_view target) const;
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
    void set_due(request& subject);
    void set_slot(request& subject, bool holds_slot);
    void count_payload(request& subject);
    void remove(request& subject);

    // Node-based, so that a reference to a request stays valid while others come and go.
    std::unordered_map<routing::flow_key, std::map<std::int64_t, request>> flows_;
    std::set<std::pair<clock::time_point, request_id>> due_;  // one entry per request
    std::unordered_map<std::string, int> slots_;              // held slots by target
    std::size_t size_ = 0;
    std::size_t payload_bytes_ = 0;
};

}  // namespace bramleytrack::records
