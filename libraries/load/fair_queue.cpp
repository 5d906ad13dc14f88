#include "load/fair_queue.h"

#include <algorithm>

namespace bramleytrack::load {

void fair_queue::push(const work& request, double cost, clock::time_point now) {
    auto found = members_.find(request.member);
    if (found == members_.end()) {
        found = members_.try_emplace(std::string{request.member}).first;
    }
    auto& member = found->second;
    auto& queue = member.classes[request.kind];
    // An idle member or class starts at the current virtual time: unused time earns no credit.
    if (member.count == 0) {
        member.next_start = std::max(member.next_start, virtual_time_);
    }
    if (queue.requests.empty()) {
        queue.next_start = std::max(queue.next_start, member.virtual_time);
    }
    queue.requests.push_back({.id = request.id,
                              .member = found->first,
                              .kind = request.kind,
                              .cost = cost,
                              .deadline = request.deadline,
                              .queued_at = now});
    queue.cost += cost;
    member.cost += cost;
    ++member.count;
    ++size_;
}

std::optional<waiting_request> fair_queue::take() {
    auto chosen = members_.end();
    for (auto each = members_.begin(); each != members_.end(); ++each) {
        const bool is_waiting = each->second.count > 0;
        if (is_waiting &&
            (chosen == members_.end() || each->second.next_start < chosen->second.next_start)) {
            chosen = each;
        }
    }
    if (chosen == members_.end()) {
        return std::nullopt;
    }
    auto& member = chosen->second;
    auto queue = member.classes.end();
    for (auto each = member.classes.begin(); each != member.classes.end(); ++each) {
        const bool is_waiting = !each->second.requests.empty();
        if (is_waiting &&
            (queue == member.classes.end() || each->second.next_start < queue->second.next_start)) {
            queue = each;
        }
    }
    const double cost = queue->second.requests.front().cost;
    virtual_time_ = member.next_start;
    member.virtual_time = queue->second.next_start;
    member.next_start += cost;
    queue->second.next_start += cost;
    return remove(chosen, queue->first, 0);
}

std::optional<waiting_request> fair_queue::take_oldest() {
    auto chosen = members_.end();
    work_class kind = 0;
    clock::time_point oldest = clock::time_point::max();
    for (auto each = members_.begin(); each != members_.end(); ++each) {
        for (const auto& [each_kind, each_class] : each->second.classes) {
            if (!each_class.requests.empty() && each_class.requests.front().queued_at < oldest) {
                oldest = each_class.requests.front().queued_at;
                chosen = each;
                kind = each_kind;
            }
        }
    }
    return chosen == members_.end() ? std::nullopt : remove(chosen, kind, 0);
}

std::optional<waiting_request> fair_queue::remove(members::iterator member, work_class kind,
                                                  std::size_t index) {
    auto& queue = member->second.classes.at(kind);
    const auto position = queue.requests.begin() + static_cast<std::ptrdiff_t>(index);
    auto removed = std::move(*position);
    queue.requests.erase(position);
    queue.cost -= removed.cost;
    member->second.cost -= removed.cost;
    --member->second.count;
    --size_;
    reset_if_empty();
    return removed;
}

// When the queue is empty, what the members were charged so far is dropped. Requests may still run
// then; their differences are ignored for members that have queued nothing since, see charge().
void fair_queue::reset_if_empty() {
    if (size_ == 0) {
        members_.clear();
        virtual_time_ = 0;
    }
}

bool fair_queue::erase(const records::request_id& id) {
    return !take_if([&id](const waiting_request& each) { return each.id == id; }).empty();
}

std::optional<waiting_request> fair_queue::evict_for(std::string_view member) {
    const auto found = members_.find(member);
    const std::size_t count_with_new = 1 + (found == members_.end() ? 0 : found->second.count);
    const auto longest = std::ranges::max_element(
        members_, {}, [](const auto& entry) { return entry.second.count; });
    if (longest == members_.end() || longest->second.count <= count_with_new) {
        return std::nullopt;
    }
    const auto& classes = longest->second.classes;
    const auto queue = std::ranges::max_element(
        classes, {}, [](const auto& entry) { return entry.second.requests.size(); });
    return remove(longest, queue->first, queue->second.requests.size() - 1);
}

double fair_queue::member_work_until_completion(std::string_view member, work_class kind,
                                                double cost) const {
    const auto found = members_.find(member);
    if (found == members_.end()) {
        return cost;
    }
    const auto& classes = found->second.classes;
    const auto same_class = classes.find(kind);
    const double in_class = cost + (same_class == classes.end() ? 0 : same_class->second.cost);
    double work_until_completion = in_class;
    for (const auto& [other, each_class] : classes) {
        work_until_completion += other == kind ? 0 : std::min(each_class.cost, in_class);
    }
    return work_until_completion;
}

double fair_queue::other_member_work_ahead(std::string_view member, double own_work,
                                           std::string_view other, double additional_work) const {
    const auto start_of = [this](members::const_iterator found) {
        return found == members_.end() ? virtual_time_
                                       : std::max(virtual_time_, found->second.next_start);
    };
    const auto other_member = members_.find(other);
    const double waiting = other_member == members_.end() ? 0 : other_member->second.cost;
    const double lead = start_of(members_.find(member)) - start_of(other_member);
    return std::clamp(own_work + lead, 0.0, waiting + additional_work);
}

std::vector<waiting_request> fair_queue::take_if(
    const std::function<bool(const waiting_request&)>& predicate) {
    std::vector<waiting_request> taken;
    for (auto& [name, member] : members_) {
        for (auto& [kind, each_class] : member.classes) {
            const auto first = std::stable_partition(
                each_class.requests.begin(), each_class.requests.end(),
                [&](const waiting_request& each) { return !predicate(each); });
            for (auto each = first; each != each_class.requests.end(); ++each) {
                each_class.cost -= each->cost;
                member.cost -= each->cost;
                --member.count;
                --size_;
                taken.push_back(std::move(*each));
            }
            each_class.requests.erase(first, each_class.requests.end());
        }
    }
    reset_if_empty();
    return taken;
}

void fair_queue::charge(std::string_view member, double difference) {
    const auto found = members_.find(member);
    if (found != members_.end()) {
        found->second.next_start += difference;
    }
}

std::size_t fair_queue::waiting_members() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(members_, [](const auto& entry) { return entry.second.count > 0; }));
}

double fair_queue::cost() const {
    double sum = 0;
    for (const auto& [name, member] : members_) {
        sum += member.cost;
    }
    return sum;
}

}  // namespace bramleytrack::load
