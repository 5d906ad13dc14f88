// Finds items by name or address in constant time: an open-addressing hash table of positions. It
// stores neither text nor pointers, so it stays valid when it is copied or moved together with the
// items.
#pragma once

#include <bit>
#include <cstdint>
#include <functional>
#include <limits>
#include <string_view>
#include <vector>

#include "base/hash.h"

namespace bramleytrack::configuration {

class name_index {
public:
    // Indexes `items` by `projection`. Among items with the same name the first one wins.
    template <typename Item, typename Projection>
    void build(const std::vector<Item>& items, Projection projection) {
        constexpr std::size_t slots_per_item = 2;  // load factor below 1/2: short probe sequences
        slots_.assign(std::bit_ceil(items.size() * slots_per_item + 1), empty);
        for (std::size_t i = 0; i < items.size(); ++i) {
            const std::string_view name = std::invoke(projection, items[i]);
            auto slot = first_slot(name);
            while (slots_[slot] != empty && std::invoke(projection, items[slots_[slot]]) != name) {
                slot = next_slot(slot);
            }
            if (slots_[slot] == empty) {
                slots_[slot] = static_cast<std::uint32_t>(i);
            }
        }
    }

    // The item with this name, or null. `items` must be the list given to build() or a copy of it.
    template <typename Item, typename Projection>
    const Item* find(const std::vector<Item>& items, std::string_view name,
                     Projection projection) const {
        if (slots_.empty()) {
            return nullptr;
        }
        for (auto slot = first_slot(name); slots_[slot] != empty; slot = next_slot(slot)) {
            const auto position = slots_[slot];
            if (position < items.size() && std::invoke(projection, items[position]) == name) {
                return &items[position];
            }
        }
        return nullptr;
    }

private:
    static constexpr std::uint32_t empty = std::numeric_limits<std::uint32_t>::max();

    std::size_t first_slot(std::string_view name) const {
        return hash_of(name) & (slots_.size() - 1);
    }
    std::size_t next_slot(std::size_t slot) const { return (slot + 1) & (slots_.size() - 1); }

    std::vector<std::uint32_t> slots_;  // size is zero or a power of two; at least one is empty
};

}  // namespace bramleytrack::configuration
