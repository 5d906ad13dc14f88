// Splits the records of one target into parts that fit into datagrams.
//
// Request records contain whole packets, so parts are limited by size and not by record count.
#pragma once

#include <cstddef>
#include <vector>

#include "wire/generated/bramleytrack_types.h"

namespace bramleytrack::hand_over {

// Small enough that the loss of one IP fragment on Ethernet costs little, large enough that 200,000
// flows need only a few thousand acknowledgements.
constexpr std::size_t max_part_bytes = 8'000;
// Maximum size of a record. A large one is sent alone in its part, and must fit into a datagram
// together with the rest of the message.
constexpr std::size_t max_record_bytes = 60'000;

// Upper bound of the encoded size.
std::size_t max_encoded_size(const wire::flow_record& record);
std::size_t max_encoded_size(const wire::request_record& record);

// Drops the payload of a record that exceeds max_record_bytes. An answer becomes an unknown
// outcome. A waiting request is refused, or gets an unknown outcome if an earlier owner may have
// run it. A dispatched request is not dispatched again.
void drop_payload(wire::request_record& record);

// Returns at least one part. `head` holds the fields that are repeated in each part.
std::vector<wire::hand_over> split_into_parts(const wire::hand_over& head,
                                              std::vector<wire::flow_record> flows,
                                              std::vector<wire::request_record> requests);

}  // namespace bramleytrack::hand_over
