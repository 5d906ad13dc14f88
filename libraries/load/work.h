// A request as the load decisions use it, and the class by which its service time is estimated.
//
// Before a request has run, a layer-4 balancer has only its member, whether it may be repeated
// (lodgements may not, reads may) and its length. These three are the class.
#pragma once

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "base/clock.h"
#include "records/request_table.h"

namespace bramleytrack::load {

using work_class = std::uint8_t;

// Payload lengths are classed by powers of four from 64 bytes on.
constexpr int size_classes = 4;
constexpr std::size_t work_classes = 2 * size_classes;

constexpr work_class class_of(bool may_repeat, std::size_t payload_size) {
    constexpr int smallest_bits = 6;
    const int bits = static_cast<int>(std::bit_width(payload_size));
    const int size = std::clamp((bits - smallest_bits + 1) / 2, 0, size_classes - 1);
    return static_cast<work_class>((may_repeat ? size_classes : 0) + size);
}

struct work {
    records::request_id id;
    std::string_view member;
    work_class kind = 0;
    clock::time_point deadline;
};

}  // namespace bramleytrack::load
