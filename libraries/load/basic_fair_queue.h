// A queue that shares what serves it fairly between members, by the cost of their entries.
//
// Handles a member that sends many times its share, and expensive entries among cheap ones. A
// first-come queue serves members in proportion to what they send, and a cheap entry waits for
// every expensive one ahead of it.
// Start-time fair queueing (Goyal, Vin and Cheng 1996) on two levels: service is divided between
// members, and a member's service between its classes. Each entry is charged its cost at dispatch.
// Whenever the queue is empty this history is dropped. Deficit round robin would need a quantum
// that fits costs which differ a hundredfold.
//
// Selection, insertion and removal are logarithmic in the members and linear in the classes.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iterator>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace bramleytrack::load {

// An Entry has the data members `member`, `kind` (its class) and `cost`, which don't change while
// it is queued, and `rank`: members whose turns start at the same virtual time are served by the
// rank of their oldest entries, smallest first, and then in the order of the members.
template <typename Entry>
class basic_fair_queue {
public:
    using member_name = decltype(Entry::member);
    using class_name = decltype(Entry::kind);
    using position = typename std::list<Entry>::iterator;  // valid until the entry is removed

    basic_fair_queue() = default;
    // The index by start time points into the members, whose addresses a move preserves.
    basic_fair_queue(const basic_fair_queue&) = delete;
    basic_fair_queue& operator=(const basic_fair_queue&) = delete;
    basic_fair_queue(basic_fair_queue&&) noexcept = default;
    basic_fair_queue& operator=(basic_fair_queue&&) noexcept = default;
    ~basic_fair_queue() = default;

    position push(Entry entry);
    // The next entry in fair order of those whose class is not excluded, to be dispatched or left.
    std::optional<position> next(const std::function<bool(const class_name&)>& is_excluded = {});
    // Removes the entry and charges its member and class for it.
    Entry dispatch(position entry);
    // Removes the entry without a charge.
    Entry remove(position entry);
    // Removes the next entry in fair order; nothing if the queue is empty.
    std::optional<Entry> take();
    // Removes the entry that has waited longest: the order of a first-come queue.
    std::optional<Entry> take_oldest();

    // Takes the member with the most entries. If it has more than `member` would have with one
    // more, removes the newest entry of its longest class; otherwise removes nothing. So a flood
    // can't keep other members out of a full queue.
    std::optional<Entry> evict_for(const auto& member);

    // Cost that the member is served until an entry pushed now would end, that entry included. Its
    // other classes are served ahead of it only up to an equal share.
    double member_work_until_completion(const auto& member, const class_name& kind,
                                        double cost) const;
    // Cost of the member `other` that is served before `member` has received `own_work`, if `other`
    // adds `additional_work` to what it has queued.
    double other_member_work_ahead(const auto& member, double own_work, const auto& other,
                                   double additional_work) const;

    // Removes and returns the entries for which `predicate` returns true.
    std::vector<Entry> take_if(const std::function<bool(const Entry&)>& predicate);

    std::vector<Entry> take_all() {
        return take_if([](const Entry&) { return true; });
    }

    // Charges a member the amount by which an entry exceeded its cost; negative if it fell short.
    // The class is not charged, so that a wrong estimate favours no member for long. Ignored if the
    // queue has been empty since and the member has queued nothing again.
    void charge(const auto& member, double difference);

    // Drops the history of members that have nothing queued if there are more of them than this.
    void limit_idle_members(std::size_t max_idle);

    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    std::size_t waiting_members() const { return waiting_members_; }
    double cost() const;  // sum over all entries

private:
    struct class_queue {
        std::list<Entry> entries;  // oldest first
        double cost = 0;           // sum over the entries
        double next_start = 0;     // virtual time
    };
    struct member_queue {
        std::map<class_name, class_queue> classes;
        double cost = 0;        // sum over the classes
        std::size_t count = 0;  // sum over the classes
        double next_start = 0;  // virtual time
        double virtual_time = 0;
    };
    using members = std::map<member_name, member_queue, std::less<>>;
    using member_entry = typename members::value_type;
    struct start {
        double next_start;   // of the member
        std::uint64_t rank;  // of the oldest entry of the class
        member_entry* member;

        bool operator<(const start& other) const {
            return std::tie(next_start, rank, member->first) <
                   std::tie(other.next_start, other.rank, other.member->first);
        }
    };

    // A member is taken from the index before its starts or oldest entries change, and added again
    // afterwards.
    void add_to_index(member_entry& member);
    void remove_from_index(member_entry& member);
    Entry extract(member_entry& member, position entry);
    void reset_if_empty();

    members members_;
    std::map<class_name, std::set<start>> starts_;  // of the members that wait, by class
    std::size_t size_ = 0;                          // sum over the members
    std::size_t waiting_members_ = 0;
    double virtual_time_ = 0;
};

template <typename Entry>
void basic_fair_queue<Entry>::add_to_index(member_entry& member) {
    for (const auto& [kind, queue] : member.second.classes) {
        if (!queue.entries.empty()) {
            starts_[kind].insert({member.second.next_start, queue.entries.front().rank, &member});
        }
    }
    waiting_members_ += member.second.count > 0 ? 1 : 0;
}

template <typename Entry>
void basic_fair_queue<Entry>::remove_from_index(member_entry& member) {
    for (const auto& [kind, queue] : member.second.classes) {
        if (!queue.entries.empty()) {
            const auto found = starts_.find(kind);
            found->second.erase({member.second.next_start, queue.entries.front().rank, &member});
            if (found->second.empty()) {
                starts_.erase(found);
            }
        }
    }
    waiting_members_ -= member.second.count > 0 ? 1 : 0;
}

template <typename Entry>
typename basic_fair_queue<Entry>::position basic_fair_queue<Entry>::push(Entry entry) {
    auto& indexed = *members_.try_emplace(entry.member).first;
    auto& member = indexed.second;
    remove_from_index(indexed);
    auto& queue = member.classes[entry.kind];
    // An idle member or class starts at the current virtual time: unused time earns no credit.
    if (member.count == 0) {
        member.next_start = std::max(member.next_start, virtual_time_);
    }
    if (queue.entries.empty()) {
        queue.next_start = std::max(queue.next_start, member.virtual_time);
    }
    queue.cost += entry.cost;
    member.cost += entry.cost;
    queue.entries.push_back(std::move(entry));
    ++member.count;
    ++size_;
    add_to_index(indexed);
    return std::prev(queue.entries.end());
}

template <typename Entry>
std::optional<typename basic_fair_queue<Entry>::position> basic_fair_queue<Entry>::next(
    const std::function<bool(const class_name&)>& is_excluded) {
    const auto is_eligible = [&](const class_name& kind) {
        return !is_excluded || !is_excluded(kind);
    };
    const start* first = nullptr;
    for (const auto& [kind, starts] : starts_) {
        if (is_eligible(kind) && (first == nullptr || *starts.begin() < *first)) {
            first = &*starts.begin();
        }
    }
    if (first == nullptr) {
        return std::nullopt;
    }
    class_queue* chosen = nullptr;
    const auto order = [](const class_queue& queue) {
        return std::tuple<double, std::uint64_t>{queue.next_start, queue.entries.front().rank};
    };
    for (auto& [kind, queue] : first->member->second.classes) {
        if (!queue.entries.empty() && is_eligible(kind) &&
            (chosen == nullptr || order(queue) < order(*chosen))) {
            chosen = &queue;
        }
    }
    return chosen->entries.begin();
}

template <typename Entry>
Entry basic_fair_queue<Entry>::dispatch(position entry) {
    auto& indexed = *members_.find(entry->member);
    auto& member = indexed.second;
    auto& queue = member.classes.find(entry->kind)->second;
    remove_from_index(indexed);
    virtual_time_ = member.next_start;
    member.virtual_time = queue.next_start;
    member.next_start += entry->cost;
    queue.next_start += entry->cost;
    auto removed = extract(indexed, entry);
    add_to_index(indexed);
    reset_if_empty();
    return removed;
}

template <typename Entry>
Entry basic_fair_queue<Entry>::remove(position entry) {
    auto& member = *members_.find(entry->member);
    remove_from_index(member);
    auto removed = extract(member, entry);
    add_to_index(member);
    reset_if_empty();
    return removed;
}

template <typename Entry>
Entry basic_fair_queue<Entry>::extract(member_entry& member, position entry) {
    auto& queue = member.second.classes.find(entry->kind)->second;
    auto removed = std::move(*entry);
    queue.entries.erase(entry);
    queue.cost -= removed.cost;
    member.second.cost -= removed.cost;
    --member.second.count;
    --size_;
    return removed;
}

template <typename Entry>
std::optional<Entry> basic_fair_queue<Entry>::take() {
    const auto found = next();
    return found ? std::optional{dispatch(*found)} : std::nullopt;
}

template <typename Entry>
std::optional<Entry> basic_fair_queue<Entry>::take_oldest() {
    std::optional<position> oldest;
    for (auto& [name, member] : members_) {
        for (auto& [kind, queue] : member.classes) {
            if (!queue.entries.empty() &&
                (!oldest || queue.entries.front().queued_at < (*oldest)->queued_at)) {
                oldest = queue.entries.begin();
            }
        }
    }
    return oldest ? std::optional{remove(*oldest)} : std::nullopt;
}

// When the queue is empty, what the members were charged so far is dropped. Entries may still be in
// service then; their differences are ignored for members that have queued nothing since, see
// charge().
template <typename Entry>
void basic_fair_queue<Entry>::reset_if_empty() {
    if (size_ == 0) {
        members_.clear();
        virtual_time_ = 0;
    }
}

template <typename Entry>
std::optional<Entry> basic_fair_queue<Entry>::evict_for(const auto& member) {
    const auto found = members_.find(member);
    const std::size_t count_with_new = 1 + (found == members_.end() ? 0 : found->second.count);
    const auto longest = std::ranges::max_element(
        members_, {}, [](const auto& entry) { return entry.second.count; });
    if (longest == members_.end() || longest->second.count <= count_with_new) {
        return std::nullopt;
    }
    const auto queue = std::ranges::max_element(
        longest->second.classes, {}, [](const auto& entry) { return entry.second.entries.size(); });
    return remove(std::prev(queue->second.entries.end()));
}

template <typename Entry>
double basic_fair_queue<Entry>::member_work_until_completion(const auto& member,
                                                             const class_name& kind,
                                                             double cost) const {
    const auto found = members_.find(member);
    if (found == members_.end()) {
        return cost;
    }
    const auto& classes = found->second.classes;
    const auto same_class = classes.find(kind);
    const double in_class = cost + (same_class == classes.end() ? 0 : same_class->second.cost);
    double work_until_completion = in_class;
    for (const auto& [other, queue] : classes) {
        work_until_completion += other == kind ? 0 : std::min(queue.cost, in_class);
    }
    return work_until_completion;
}

template <typename Entry>
double basic_fair_queue<Entry>::other_member_work_ahead(const auto& member, double own_work,
                                                        const auto& other,
                                                        double additional_work) const {
    const auto start_of = [this](typename members::const_iterator found) {
        return found == members_.end() ? virtual_time_
                                       : std::max(virtual_time_, found->second.next_start);
    };
    const auto other_member = members_.find(other);
    const double waiting = other_member == members_.end() ? 0 : other_member->second.cost;
    const double lead = start_of(members_.find(member)) - start_of(other_member);
    return std::clamp(own_work + lead, 0.0, waiting + additional_work);
}

template <typename Entry>
std::vector<Entry> basic_fair_queue<Entry>::take_if(
    const std::function<bool(const Entry&)>& predicate) {
    std::vector<Entry> taken;
    for (auto& member : members_) {
        remove_from_index(member);
        for (auto& [kind, queue] : member.second.classes) {
            for (auto each = queue.entries.begin(); each != queue.entries.end();) {
                const auto entry = each++;
                if (predicate(*entry)) {
                    taken.push_back(extract(member, entry));
                }
            }
        }
        add_to_index(member);
    }
    reset_if_empty();
    return taken;
}

template <typename Entry>
void basic_fair_queue<Entry>::charge(const auto& member, double difference) {
    const auto found = members_.find(member);
    if (found != members_.end()) {
        remove_from_index(*found);
        found->second.next_start += difference;
        add_to_index(*found);
    }
}

template <typename Entry>
void basic_fair_queue<Entry>::limit_idle_members(std::size_t max_idle) {
    if (members_.size() - waiting_members_ > max_idle) {
        std::erase_if(members_, [](const auto& member) { return member.second.count == 0; });
    }
}

template <typename Entry>
double basic_fair_queue<Entry>::cost() const {
    double sum = 0;
    for (const auto& [name, member] : members_) {
        sum += member.cost;
    }
    return sum;
}

}  // namespace bramleytrack::load
