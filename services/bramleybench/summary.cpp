#include "summary.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bramleytrack::experiments {
namespace {

void append(std::vector<int>& to, const std::vector<int>& from) {
    to.insert(to.end(), from.begin(), from.end());
}

void add(member_result& to, const member_result& from) {
    to.offered += from.offered;
    to.answered += from.answered;
    to.refused += from.refused;
    to.unknown += from.unknown;
    to.demand += from.demand;
    to.completed += from.completed;
    append(to.waits, from.waits);
    append(to.short_waits, from.short_waits);
}

}  // namespace

double quantile(std::vector<int> values, double probability) {
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values);
    const auto rank = std::ceil(probability * static_cast<double>(values.size()));
    return values[static_cast<std::size_t>(std::max(1.0, rank)) - 1];
}

std::vector<double> fair_shares(std::span<const double> demands, double capacity) {
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::sort(order, {}, [&](std::size_t i) { return demands[i]; });
    std::vector<double> shares(demands.size());
    auto remaining = static_cast<double>(demands.size());
    for (const auto i : order) {
        shares[i] = std::min(demands[i], capacity / remaining);
        capacity -= shares[i];
        --remaining;
    }
    return shares;
}

double jain_index(std::span<const double> values) {
    const double sum = std::accumulate(values.begin(), values.end(), 0.0);
    const double squares = std::transform_reduce(values.begin(), values.end(), 0.0, std::plus<>{},
                                                 [](double each) { return each * each; });
    return squares > 0 ? sum * sum / (static_cast<double>(values.size()) * squares) : 1;
}

std::vector<figure> figures_of(const request_result& result) {
    std::vector<double> demands;
    std::vector<double> completed;
    member_result all;
    for (const auto& [name, each] : result.members) {
        demands.push_back(each.demand);
        completed.push_back(each.completed);
        add(all, each);
    }
    const auto shares = fair_shares(demands, result.capacity);
    std::vector<double> relative_shares;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        relative_shares.push_back(shares[i] > 0 ? completed[i] / shares[i] : 1);
    }
    const double total_fair_share = std::accumulate(shares.begin(), shares.end(), 0.0);
    const double total_completed = std::accumulate(completed.begin(), completed.end(), 0.0);
    const auto offered = static_cast<double>(std::max(1, all.offered));
    std::vector<figure> figures{
        {"answered", all.answered / offered},
        {"refused", all.refused / offered},
        {"unknown", all.unknown / offered},
        {"useful", total_completed / total_fair_share},
        {"jain", jain_index(relative_shares)},
        {"worst_share", *std::ranges::min_element(relative_shares)},
        {"refusal_p50", quantile(result.refusal_delays, 0.5)},
        {"refusal_p99", quantile(result.refusal_delays, 0.99)},
        {"short_wait_p99", quantile(all.short_waits, 0.99)},
        {"rounds_mean", result.refusals.empty()
                            ? 0
                            : std::accumulate(result.refusals.begin(), result.refusals.end(), 0.0) /
                                  static_cast<double>(result.refusals.size())},
        {"back_at_once", static_cast<double>(result.max_simultaneous_retries)},
        {"most_in_use", static_cast<double>(result.max_in_use)},
    };
    for (const auto& [name, each] : result.members) {
        figures.push_back({"answered_" + name, each.answered / std::max(1.0, 1.0 * each.offered)});
        figures.push_back({"wait_p50_" + name, quantile(each.waits, 0.5)});
        figures.push_back({"wait_p99_" + name, quantile(each.waits, 0.99)});
    }
    return figures;
}

request_result merge(std::span<const request_result> results) {
    request_result merged;
    for (const auto& each : results) {
        for (const auto& [name, member] : each.members) {
            add(merged.members[name], member);
        }
        append(merged.refusal_delays, each.refusal_delays);
        append(merged.refusals, each.refusals);
        merged.capacity += each.capacity;
        merged.max_in_use = std::max(merged.max_in_use, each.max_in_use);
        merged.max_simultaneous_retries =
            std::max(merged.max_simultaneous_retries, each.max_simultaneous_retries);
    }
    return merged;
}

}  // namespace bramleytrack::experiments
