// Wire messages: packets exchanged with callers and targets, and messages between peers.
// The generated code in generated/ is committed; meta/bramleytrack.sh generate updates it.
namespace cpp bramleytrack.wire

// Type of a packet. Numbers are never reused for another meaning.
enum packet_kind {
  open = 1,           // caller: start a flow
  open_accepted = 2,  // target: the flow is open
  data = 3,           // caller: bytes of an established flow
  request = 4,        // caller: a request, which occupies a slot of the target
  answer = 5,         // target: the complete response to one request
  cancel = 6,         // caller: the response is no longer needed
  close = 7,          // caller: end of the flow
  push = 8,           // target: unsolicited bytes
  acknowledge = 9,    // caller: all pushes up to `sequence` were received
  reset = 10,         // target or balancer: no such flow
  shed = 11,          // target: the request was rejected without being run
  refused = 12,       // balancer: the request or flow was rejected; retry after come_back_ms
  unknown = 13,       // balancer: it can't be determined whether the request ran
  report_wanted = 14, // balancer: requests a load report
  report = 15         // target: slots and connections in use, as counted by the target
}

// Whether a request may be run more than once.
enum repetition { repeatable = 1, at_most_once = 2 }

struct target_report {
  1: i32 slots_in_use,
  2: i32 connections,
  3: bool is_cold
}

struct packet {
  1: packet_kind kind,
  2: string service_address, // the address that the caller sent to
  3: string caller,          // ip:port of the caller as received by the fabric
  4: i64 flow,               // unique per caller address; not reused within 10 s of the flow's end
  5: string member,          // the customer organisation on whose behalf the caller acts
  6: i64 request,            // request number, unique within the flow
  7: repetition may_repeat,
  8: i64 deadline,           // milliseconds since the Unix epoch; targets enforce it
  9: i32 come_back_ms,
  10: i32 code,              // a result code, see docs/RESULT-CODES.md
  11: i64 sequence,          // of a push or acknowledgement; a report echoes that of its query
  12: i64 dispatch,          // id of one dispatch to a target; echoed with the response
  13: optional target_report report_of_target,
  14: binary payload
}

// The instance that has to process a forwarded packet.
enum forward_role { to_home = 1, to_owner = 2 }

struct forward {
  1: packet content,
  2: forward_role role,
  3: string service_name,   // the service that the first instance resolved; verified at every hop
  4: string target,    // for to_owner: the target that the flow is assigned to
  5: i32 hops,
  6: bool is_new         // the flow's home is certain that the flow was never open on any target
}

// The target's owner could not admit the flow; the flow's home tries another candidate.
struct placement_declined { 1: packet content, 2: string target, 3: i32 code }

struct flow_record {
  1: i64 key,
  2: string service_address,
  3: string service_name,
  4: string caller,
  5: i64 flow,
  6: string member,
  7: string target,
  8: i64 in_doubt_until // until then a dead owner may have run requests without a record
}

// A request whose state the new owner of a target needs.
struct request_record {
  1: i64 flow_key,
  2: i64 request,
  3: i32 state,          // a requests::request_state
  4: i64 deadline,
  6: packet content,     // the request; once it has ended, its outcome
  7: i64 dispatch,       // the packet's field of that name, of the last dispatch
  8: i64 forget_at,
  9: i64 fingerprint,    // hash of the content: tells a retransmission from a reused number
  10: bool is_in_doubt,  // a previous owner may have dispatched it
  11: bool holds_slot,
  12: bool is_flow_closed,
  13: i32 attempts,
  14: i64 arrived        // when the owner received the first copy
}

// Informs the home of the flows about the targets that they are assigned to.
// Retransmitted until it is acknowledged with the number of the batch.
struct flow_location_group { 1: string target, 2: list<i64> keys }
struct flow_locations { 1: list<flow_location_group> groups, 2: i64 batch }
struct flow_locations_acknowledged { 1: i64 batch }

// Requests the ownership of a target that the receiver claims.
struct ownership_wanted {
  1: string target,
  2: i64 epoch // highest that the sender has received; the granted one has to be higher
}

// Transfers the ownership of a target; retransmitted until acknowledged. Missing field numbers were
// used by earlier versions and are not reused.
struct hand_over {
  1: string target,
  3: i32 part,
  4: i32 parts,
  5: list<flow_record> flows,       // on the target, and on other targets if this one is their home
  6: list<request_record> requests,
  7: i64 epoch,          // of the receiver's ownership
  8: i64 fence_ms,       // how long requests of an earlier owner may still be running
  9: i64 cold_left_ms,   // remaining time of the cold start; if negative, the time since its end
  11: i32 assumed_slots, // slots that requests of a dead owner may still occupy
  12: bool is_merge      // the receiver already owns the target but lacks these records
}
struct hand_over_acknowledged { 1: string target, 2: i64 epoch, 3: i32 part }

// A packet from a target, received by an instance that no longer owns the target.
struct target_packet { 1: string target, 2: packet content }

// Queries the owner of content.target whether the flow is open there. The owner answers from its
// records. With ask_target it also queries the target, in case its records are incomplete.
struct flow_query { 1: forward content, 2: bool ask_target }
// is_known: the flow is open on `target`. Otherwise is_certain means that it is definitely not open
// on content.target.
struct flow_query_answer { 1: forward content, 2: bool is_known, 3: bool is_certain, 4: string target }

struct target_load {
  1: string target,
  2: i32 connections,
  3: i32 slots_in_use,
  4: i32 bound,
  5: i64 epoch // of the sender's ownership; of two claims, the higher epoch wins
}

struct heartbeat {
  1: string zone,
  2: string address,
  3: i64 configuration_version,
  4: i64 configuration_digest,
  5: bool is_leaving,
  6: list<target_load> owned,
  7: i64 stamp, // sender's clock when it was sent
  8: i64 echo,  // stamp of the latest heartbeat that the sender received from the receiver
  9: bool is_stopping, // the last heartbeat: the sender owns no target and is stopping
  20: bool configuration_confirmed  // the sender has read exactly this version from the store
}

// Requests the parts from `offset` on of a transfer that leads from the configuration with this
// digest (0: from none) to the receiver's current one.
struct configuration_wanted {
  1: i64 known_version,
  2: i64 known_digest,
  3: i64 transfer,   // transfer that the parts received so far belong to; 0 at first
  4: i32 offset
}

// One change: a patch against the previous text, see libraries/configuration/patch.h.
struct configuration_step { 1: i64 version, 2: i64 digest, 3: binary patch }

// Changes in order of their versions; the content of the reassembled parts.
struct configuration_transfer { 1: i64 base_digest, 2: list<configuration_step> steps }

struct configuration_part {
  1: i64 version,   // version after the complete transfer
  2: i64 digest,
  3: i64 transfer,  // hash of the complete transfer
  4: i32 size,      // of the complete transfer
  5: i32 offset,
  6: binary content
}

// The load of one target as observed by an instance that routes by token.
struct load_report {
  1: i32 token,
  2: i32 open_requests,
  // 3 was silence
  4: optional i32 speed    // percent of the usual speed; only of a target that the sender found slow
}

// A target that several instances found unreachable.
struct dead_target_report {
  1: i32 token,
  2: i32 age_ms            // since it was found dead
}

// An indirect probe: requests whether the receiver can reach a target.
struct reach_question { 1: i32 token }
struct reach_answer { 1: i32 token, 2: bool is_reachable }

// A flow that more than one target may have accepted, and the target that holds it.
struct held_flow {
  1: i32 caller_address,
  2: i32 caller_port,
  3: i32 route_address,
  4: i32 route_port,
  5: i32 holder,           // token
  6: i32 acknowledged,
  7: i32 next_sequence
}

// Flows whose opening and first packet after it the sender has seen.
struct held_flows { 1: list<held_flow> flows }

// The demand for a service that callers send through the sender.
struct demand_report {
  1: i32 service_hash,
  2: i32 asked,            // requests and openings received in about the last half second
  3: i32 open              // currently open requests, on all targets together
}

// One route's use of a service, by callers who send through the sender.
struct route_report {
  1: i32 key,              // hash of the names of the service and the route
  2: i32 asked,            // requests and openings received in about the last half second
  3: i32 open,             // currently open requests, on all targets together
  4: i32 work              // of one request, in tenths of a millisecond; 0: unknown
}

// State that an instance that routes by token sends to its peers every few hundred milliseconds.
struct digest {
  1: i64 known_revision,     // the sender holds all store changes up to this revision
  2: i64 confirmed_ms_ago,   // age of the confirmation that this was the newest; -1: never
  3: bool has_lost_store,
  4: bool is_stopping,
  5: list<load_report> loads, // of the most loaded targets
  6: list<demand_report> demands, // the largest demands
  7: list<dead_target_report> dead,
  8: list<route_report> routes  // the largest demands; services in it are left out of demands
}

struct store_record {
  1: string key,
  2: binary value,
  3: i64 revision,
  4: bool is_removed,
  5: i64 value_revision      // of the last value, when it is sent along with a removed key
}

// Store entries that a peer holds and the requesting instance lacks.
struct store_changes {
  1: i64 revision,
  2: bool is_whole,          // all entries, not only the changed ones
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
  // 13 was a configuration text sent in one piece
  14: optional target_packet from_target,
  20: optional flow_locations_acknowledged locations_acknowledged,
  30: optional configuration_part configuration,
  31: optional digest fleet_digest,
  32: optional reach_question reach_asked,
  33: optional reach_answer reach_answered,
  34: optional held_flows flow_holders
}
