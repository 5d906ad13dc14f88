// The targets that a flow may be placed on, in order of preference. Every instance with the same
// configuration computes the same list without exchanging messages.
//
// Weighted rendezvous hashing (Thaler and Ravishankar 1998; logarithmic method of Schindelhauer and
// Schomaker 2005): adding or removing one target of n moves the first candidate of 1/n of the
// flows.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/configuration.h"
#include "wire/generated/bramleytrack_types.h"

namespace bramleytrack::routing {

// Hash that identifies a flow on all instances; on a match the whole record is compared (see
// flow_table.h).
using flow_key = std::uint64_t;

flow_key key_of(std::string_view service_address, std::string_view caller, std::int64_t flow);
flow_key key_of(const wire::packet& packet);

// Maximum number of candidates tried for one flow: bounds hops and recovery queries.
constexpr std::size_t max_candidates = 4;

// The candidates of a flow of `service`, highest score first, at most max_candidates. All targets
// of the service whose zone is in are scored, draining ones included, so a drain never moves a
// flow's home.
std::vector<const configuration::target*> candidates_of(
    const configuration::configuration& configuration, std::string_view service, flow_key key);

// The winner of rendezvous hashing among `names`; empty when there is none.
std::string_view rendezvous_winner(std::span<const std::string> names, std::string_view key);

}  // namespace bramleytrack::routing
