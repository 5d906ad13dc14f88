// Cuts the records of one target into datagrams.
//
// Requests carry whole packets, so parts are bounded by bytes and not by a number of records.
#pragma once

#include <cstddef>
#include <vector>

#include "wire/generated/bramleytrack_types.h"

namespace bramleytrack::hand_over {

// Few enough fragments on Ethernet that a single loss stays cheap, large enough that the
// acknowledgements of 200,000 flows are some thousands.
constexpr std::size_t max_part_bytes = 8'000;
// A record above this goes alone in its part and has to fit into a datagram with what surrounds it.
constexpr std::size_t max_record_bytes = 60'000;

// Upper bounds of the encoded size.
std::size_t size_bound(const wire::flow_record& record);
std::size_t size_bound(const wire::request_record& record);

// Makes a record fit: the payload is dropped, and an outcome without its payload becomes unknown.
void shrink(wire::request_record& record);

// At least one part. `head` has the fields that every part repeats.
std::vector<wire::hand_over> split(const wire::hand_over& head,
                                   std::vector<wire::flow_record> flows,
                                   std::vector<wire::request_record> requests);

}  // namespace bramleytrack::hand_over
