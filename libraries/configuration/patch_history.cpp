#include "configuration/patch_history.h"

#include <algorithm>

#include "configuration/patch.h"

namespace bramleytrack::configuration {
namespace {

// 200 changes cover 80 minutes at 3,400 changes per day. A patch takes about 100 bytes or a few
// hundred, a compressed text 40 KB: a longer chain would be larger than a full transfer.
constexpr std::size_t max_entries = 200;
constexpr std::size_t max_patch_bytes = 32'768;
// Number of cached encoded transfers. Peers are at few different versions; the cache is cleared
// when it is full, and transfers are encoded again on demand.
constexpr std::size_t max_transfers = 8;

}  // namespace

void patch_history::add(std::uint64_t base, wire::configuration_step step) {
    transfers_.clear();
    const bool is_chained =
        !entries_.empty() && static_cast<std::uint64_t>(entries_.back().step.digest) == base;
    if (!is_chained) {
        entries_.clear();
        patch_bytes_ = 0;
    }
    patch_bytes_ += step.patch.size();
    entries_.push_back({base, std::move(step)});
    while (entries_.size() > max_entries || patch_bytes_ > max_patch_bytes) {
        patch_bytes_ -= entries_.front().step.patch.size();
        entries_.pop_front();
        if (entries_.empty()) {
            return;
        }
    }
}

const std::string& patch_history::transfer_from(std::uint64_t base_digest, std::string_view text) {
    const auto found = transfers_.find(base_digest);
    if (found != transfers_.end()) {
        return found->second;
    }
    if (transfers_.size() == max_transfers) {
        transfers_.clear();
    }
    auto encoded = encode_patches(base_digest);
    if (encoded.empty()) {
        encoded = encode_full(text);
    }
    return transfers_[base_digest] = std::move(encoded);
}

std::string patch_history::encode_patches(std::uint64_t base_digest) const {
    const auto begin = std::ranges::find(entries_, base_digest, &entry::base);
    if (base_digest == 0 || begin == entries_.end()) {
        return {};
    }
    wire::configuration_transfer transfer;
    transfer.base_digest = static_cast<std::int64_t>(base_digest);
    std::transform(begin, entries_.end(), std::back_inserter(transfer.steps),
                   [](const entry& each) { return each.step; });
    return wire::encode_transfer(transfer);
}

std::string patch_history::encode_full(std::string_view text) const {
    wire::configuration_transfer transfer;
    auto& step = transfer.steps.emplace_back();
    step.digest = static_cast<std::int64_t>(hash_of(text));
    step.patch = make_patch({}, text);
    return wire::encode_transfer(transfer);
}

}  // namespace bramleytrack::configuration
