// The latest changes of the text as patches, so that a peer that is a few versions behind receives
// a few hundred bytes instead of the whole text.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "base/hash.h"
#include "wire/codec.h"

namespace bramleytrack::configuration {

class patch_history {
public:
    // Appends the change from the text with digest `base` to the text with the digest of `step`.
    void add(std::uint64_t base, wire::configuration_step step);

    // Encoded transfer from the text with digest `base_digest` to `text`, the current one; a full
    // transfer if the patches don't reach back to `base_digest`. Valid until the next call.
    const std::string& transfer_from(std::uint64_t base_digest, std::string_view text);

private:
    struct entry {
        std::uint64_t base = 0;
        wire::configuration_step step;
    };

    std::string encode_patches(std::uint64_t base_digest) const;
    std::string encode_full(std::string_view text) const;

    // Invariant: the base of each step is the digest of the previous step.
    std::deque<entry> entries_;
    std::size_t patch_bytes_ = 0;                     // of all entries
    std::map<std::uint64_t, std::string> transfers_;  // encoded, by base digest
};

}  // namespace bramleytrack::configuration
