// The messages of the system: packets as callers and targets see them, and messages between peers.
// Generated code stands in generated/ and is committed; meta/bramleytrack.sh generate renews it.
namespace cpp bramleytrack.wire

// What a packet asks for or tells. Numbers are never used again for another meaning.
enum packet_kind {
  open = 1,           // caller: start a flow
  open_accepted = 2,  // target: the flow is open
  data = 3,           // caller: bytes of an established flow
  request = 4,        // caller: one piece of work that occupies a slot
  answer = 5,         // target: the whole answer to one request
  cancel = 6,         // caller: the answer is no longer wanted
  close = 7,          // caller: end of the flow
  push = 8,           // target: bytes that no request asked for
  acknowledge = 9,    // caller: pushes up to `sequence` have arrived
  reset = 10,         // target or balancer: no such flow
  shed = 11,          // target: the request was not run
  refused = 12,       // balancer: the request or flow was not run; come back after come_back_ms
  unknown = 13,       // balancer: nobody can say whether the request ran
  report_wanted = 14, // balancer: how loaded are you?
  report = 15         // target: slots and connections in use, as far as it knows
}

// Whether a request may run more than once.
enum repetition { repeatable = 1, at_most_once = 2 }

struct target_report {
  1: i32 slots_in_use,
  2: i32 connections,
  3: bool is_cold
}

struct packet {
  1: packet_kind kind,
  2: string service_address, // the address that the caller sent to
  3: string caller,          // ip:port of the caller as the fabric saw it
  4: i64 flow,               // of the caller's address; not used again within 10 s of its end
  5: string member,          // the firm on whose behalf the caller acts
  6: i64 request,            // request number, unique within the flow
  7: repetition may_repeat,
  8: i64 deadline,           // milliseconds since the Unix epoch; targets enforce it
  9: i32 come_back_ms,
  10: i32 code,              // a result code, see docs/RESULT-CODES.md
  11: i64 sequence,          // number of a push or acknowledgement; a report echoes its question's
  12: i64 dispatch,          // names one dispatch to a target; echoed with the answer
  13: optional target_report report_of_target,
  14: binary payload
}

// Where a forwarded packet is to be treated.
enum forward_role { to_home = 1, to_owner = 2 }

struct forward {
  1: packet content,
  2: forward_role role,
  3: string service_name,   // the service that the first instance resolved; checked at every hop
  4: string target,    // for to_owner: the target that the flow is placed on
  5: i32 hops,
  6: bool is_new         // its home is certain that the flow was never open anywhere
}

// The target's owner could not admit the flow; its home tries another candidate.
struct placement_declined { 1: packet content, 2: string target, 3: i32 code }

struct flow_record {
  1: i64 key,
  2: string service_address,
  3: string service_name,
  4: string caller,
  5: i64 flow,
  6: string member,
  7: string target,
  8: i64 in_doubt_until // until then an unknown request may have run under an owner that died
}

// A request whose outcome the new owner of a target has to know.
struct request_record {
  1: i64 flow_key,
  2: i64 request,
  3: i32 state,          // a requests::request_state
  4: i64 deadline,
  6: packet content,     // the request; once it has ended, its outcome
  7: i64 dispatch,       // the packet's field of that name, of the last dispatch
  8: i64 forget_at,
  9: i64 fingerprint,    // of the request's content: tells a copy from a number used again
  10: bool is_in_doubt,  // an owner before may have dispatched it
  11: bool holds_slot,
  12: bool is_flow_closed,
  13: i32 attempts,
  14: i64 arrived        // when the first copy reached the owner
}

// Tells the home of the flows where they are placed.
// Acknowledged with the number of the batch; repeated until then.
struct flow_location_group { 1: string target, 2: list<i64> keys }
struct flow_locations { 1: list<flow_location_group> groups, 2: i64 batch }
struct flow_locations_acknowledged { 1: i64 batch }

// Asks for the ownership of a target that the receiver claims.
struct ownership_wanted {
  1: string target,
  2: i64 epoch // highest that the sender has seen: the one it gets has to be above it
}

// Hands a target over; repeated until acknowledged. A field number that is missing was used before.
struct hand_over {
  1: string target,
  3: i32 part,
  4: i32 parts,
  5: list<flow_record> flows,       // on the target, and those elsewhere that it is the home of
  6: list<request_record> requests,
  7: i64 epoch,          // of the receiver's ownership
  8: i64 fence_ms,       // an earlier owner's requests may still run for so long
  9: i64 cold_left_ms,   // how long the cold start goes on; below 0: since when it is over
  11: i32 assumed_slots, // slots that a dead owner may have in use
  12: bool is_merge      // the receiver owns the target already and lacks these records
}
struct hand_over_acknowledged { 1: string target, 2: i64 epoch, 3: i32 part }

// A target's packet that arrived at an instance which no longer owns the target.
struct target_packet { 1: string target, 2: packet content }

// Asks the owner of content.target whether the flow is there. Its records answer; with ask_target it
// asks the target itself too, where its records may have gaps.
struct flow_query { 1: forward content, 2: bool ask_target }
// is_known: the flow is on `target`. Else is_certain says that it is not on content.target.
struct flow_query_answer { 1: forward content, 2: bool is_known, 3: bool is_certain, 4: string target }

struct target_load {
  1: string target,
  2: i32 connections,
  3: i32 slots_in_use,
  4: i32 bound,
  5: i64 epoch // of the sender's ownership; the higher of two claims is valid
}

struct heartbeat {
  1: string zone,
  2: string address,
  3: i64 configuration_version,
  4: i64 configuration_digest,
  5: bool is_leaving,
  6: list<target_load> owned,
  7: i64 stamp, // sender's time of sending
  8: i64 echo,  // stamp of the receiver's latest heartbeat that the sender has got
  9: bool is_stopping, // the last one: the sender owns nothing and stops now
  20: bool configuration_confirmed  // the sender has read this very text from the store
}

// Asks for the parts of a transfer that leads from the text with this digest (0: from no text) to
// the receiver's own, from `offset` on.
struct configuration_wanted {
  1: i64 known_version,
  2: i64 known_digest,
  3: i64 transfer,   // of the parts that are here already; 0 at first
  4: i32 offset
}

// One change: a patch against the text before it, see libraries/configuration/patch.h.
struct configuration_step { 1: i64 version, 2: i64 digest, 3: binary patch }

// Changes in their order; what the parts hold when they are put together.
struct configuration_transfer { 1: i64 base_digest, 2: list<configuration_step> steps }

struct configuration_part {
  1: i64 version,   // that the whole transfer leads to
  2: i64 digest,
  3: i64 transfer,  // hash of the whole
  4: i32 size,      // of the whole
  5: i32 offset,
  6: binary content
}

// What an instance that routes by token sees of one target.
struct load_report {
  1: i32 token,
  2: i32 open_requests
  // 3 was silence
}

// A target that several instances couldn't reach.
struct dead_target_report {
  1: i32 token,
  2: i32 age_ms            // since it was found
}

// Whether the receiver reaches a target.
struct reach_question { 1: i32 token }
struct reach_answer { 1: i32 token, 2: bool is_reachable }

// How much callers ask of a service through the sender.
struct demand_report {
  1: i32 service_hash,
  2: i32 asked,            // requests and openings of about the last half second
  3: i32 open              // requests that are open now, on all targets together
}

// What an instance that routes by token tells its peers every few hundred milliseconds.
struct digest {
  1: i64 known_revision,     // everything up to it is known
  2: i64 confirmed_ms_ago,   // age of the word that nothing newer was in the store; -1 is never
  3: bool has_lost_store,
  4: bool is_stopping,
  5: list<load_report> loads, // the most loaded
  6: list<demand_report> demands, // the largest
  7: list<dead_target_report> dead
}

struct store_record {
  1: string key,
  2: binary value,
  3: i64 revision,
  4: bool is_removed,
  5: i64 value_revision      // of a removed key whose last value is told
}

// What a peer holds of the store that the asking instance lacks.
struct store_changes {
  1: i64 revision,
  2: bool is_whole,          // everything, not only what changed
  3: list<store_record> records,
  4: i64 confirmed_ms_ago    // as in a digest
}

struct peer_message {
  1: string sender,
  2: i64 incarnation,
  3: optional forward forwarded,
  4: optional placement_declined declined,
  5: optional flow_locations locations,
  6: optional ownership_wanted wanted,
  7: optional hand_over handed_over,
  8: optional hand_over_acknowledged acknowledged,
  9: optional flow_query query,
  10: optional flow_query_answer query_answer,
  11: optional heartbeat beat,
  12: optional configuration_wanted configuration_request,
  // 13 was a text sent whole
  14: optional target_packet from_target,
  20: optional flow_locations_acknowledged locations_acknowledged,
  30: optional configuration_part configuration,
  31: optional digest fleet_digest,
  32: optional reach_question reach_asked,
  33: optional reach_answer reach_answered
}
