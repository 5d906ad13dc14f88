#include "routing/candidates.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

#include "base/hash.h"

namespace bramleytrack::routing {
namespace {

// -weight / ln(u) with u uniform in (0, 1): a target has the highest score with a probability in
// proportion to its weight.
double weighted_score(std::uint64_t hash, double weight) {
    constexpr int fraction_bits = 53;
    const auto fraction = static_cast<double>(hash >> (64 - fraction_bits)) + 0.5;
    const double uniform = std::ldexp(fraction, -fraction_bits);
    return -weight / std::log(uniform);
}

std::size_t end_of_equal_weights(std::span<const configuration::scored_target> all,
                                 std::size_t begin) {
    auto end = begin + 1;
    while (end < all.size() && all[end].weight == all[begin].weight) {
        ++end;
    }
    return end;
}

// Keeps the max_candidates highest scores of all targets added, without allocating.
class best_candidates {
public:
    // Among targets of equal weight the score rises with the hash. The hash alone therefore selects
    // them, and the logarithm, which costs more than all the rest, is computed for those only.
    void add_equal_weights(std::span<const configuration::scored_target> targets, flow_key key) {
        ranking<std::uint64_t> by_hash;
        for (const auto& each : targets) {
            by_hash.add(hash_of(each.name_hash, key), each.position);
        }
        for (std::size_t i = 0; i < by_hash.size; ++i) {
            const auto& selected = by_hash.entries[i];
            by_score_.add(weighted_score(selected.score, targets.front().weight),
                          selected.position);
        }
    }

    std::vector<const configuration::target*> targets(
        const configuration::configuration& configuration) const {
        std::vector<const configuration::target*> result;
        result.reserve(by_score_.size);
        for (std::size_t i = 0; i < by_score_.size; ++i) {
            result.push_back(&configuration.targets[by_score_.entries[i].position]);
        }
        return result;
    }

private:
    template <typename Score>
    struct ranking {
        struct entry {
            Score score{};
            std::uint32_t position = 0;
        };
        std::array<entry, max_candidates> entries;  // by descending score, up to `size`
        std::size_t size = 0;

        void add(Score score, std::uint32_t position) {
            if (size == max_candidates && !(score > entries.back().score)) {
                return;
            }
            size = std::min(size + 1, max_candidates);
            auto index = size - 1;
            for (; index > 0 && score > entries[index - 1].score; --index) {
                entries[index] = entries[index - 1];
            }
            entries[index] = {score, position};
        }
    };

    ranking<double> by_score_;
};

}  // namespace

flow_key key_of(std::string_view service_address, std::string_view caller, std::int64_t flow) {
    const auto endpoints_hash = hash_of(hash_of(service_address), hash_of(caller));
    return hash_of(endpoints_hash, static_cast<std::uint64_t>(flow));
}

flow_key key_of(const wire::packet& packet) {
    return key_of(packet.service_address, packet.caller, packet.flow);
}

std::vector<const configuration::target*> candidates_of(
    const configuration::configuration& configuration, std::string_view service, flow_key key) {
    const auto all = configuration.scored_targets_of(service);
    best_candidates best;
    for (std::size_t begin = 0; begin < all.size();) {
        const auto end = end_of_equal_weights(all, begin);
        best.add_equal_weights(all.subspan(begin, end - begin), key);
        begin = end;
    }
    return best.targets(configuration);
}

std::string_view rendezvous_winner(std::span<const std::string> names, std::string_view key) {
    std::string_view winner;
    std::uint64_t best_score = 0;
    const auto key_hash = hash_of(key);
    for (const auto& name : names) {
        const auto score = hash_of(hash_of(name), key_hash);
        if (winner.empty() || score > best_score) {
            winner = name;
            best_score = score;
        }
    }
    return winner;
}

}  // namespace bramleytrack::routing
