#include "discovery/bulk_removal_detector.h"

namespace bramleytrack::discovery {
namespace {

constexpr std::size_t min_removals = 2;

}  // namespace

void bulk_removal_detector::on_unexpected_removal(std::string_view id, clock::time_point now) {
    numbers_[std::string{id}] = first_number_ + removals_.size();
    removals_.push_back({.id = std::string{id}, .at = now});
    ++counted_removals_;
}

void bulk_removal_detector::on_relisted(std::string_view id) {
    const auto found = numbers_.find(std::string{id});
    if (found != numbers_.end()) {
        removals_[found->second - first_number_].is_relisted = true;
        --counted_removals_;
        numbers_.erase(found);
    }
}

std::vector<std::string> bulk_removal_detector::take_expired_entries(clock::time_point now) {
    drop_old_removals(now);
    std::vector<std::string> result;
    if (counted_removals_ < min_removals || counted_removals_ < listed_) {
        return result;
    }
    for (; returned_ < removals_.size(); ++returned_) {
        if (!removals_[returned_].is_relisted) {
            result.push_back(removals_[returned_].id);
        }
    }
    return result;
}

void bulk_removal_detector::drop_old_removals(clock::time_point now) {
    while (!removals_.empty() && now - removals_.front().at > window_) {
        if (!removals_.front().is_relisted) {
            --counted_removals_;
            numbers_.erase(removals_.front().id);
        }
        returned_ -= returned_ > 0 ? 1 : 0;
        ++first_number_;
        removals_.pop_front();
    }
}

}  // namespace bramleytrack::discovery
