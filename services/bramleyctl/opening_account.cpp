#include "opening_account.h"

#include <algorithm>
#include <array>

namespace bramleytrack::ctl {
namespace {

std::string field(const log_record& record, std::string_view key) {
    return std::string{record.text(key)};
}

bool is_forwarded(const log_record* opening) {
    return opening != nullptr && opening->text("decision") == "forward";
}

// The service that the weights of the route chose; empty without an overflow.
std::string_view overflowed_from(const log_record* opening) {
    const auto service =
        is_forwarded(opening) ? opening->text("overflowed_from") : std::string_view{};
    return service == "none" ? std::string_view{} : service;
}

// Why an opening was taken out of the queue and refused.
struct removal_cause {
    std::string_view reason;
    std::string_view cause;
};

constexpr std::array removal_causes{
    removal_cause{"queue_full",
                  "the queue was full, and more urgent openings or those of callers with fewer "
                  "entries came in its place"},
    removal_cause{"unknown_route", "its route was removed from the configuration"},
    removal_cause{"no_eligible_target", "no target of its service could take flows any more"},
    removal_cause{"not_ready", "the instance was stopping"},
};

}  // namespace

bool is_refused_for_capacity(const log_record& opening) {
    return opening.event == "opening" && opening.text("decision") == "refuse" &&
           opening.text("reason") == "queue_full" && opening.text("ground") == "none";
}

void opening_account::add(const log_record& record) {
    if (record.event == "opening_wait_ended") {
        wait_ended_ = &record;
    } else if (record.event == "opening" && record.text("decision") == "hold") {
        hold_ = &record;
        wait_ended_ = nullptr;
        decided_ = nullptr;
    } else if (record.event == "opening") {
        // A later flow from the same port, which did not wait.
        if (wait_ended_ != nullptr && record.number("waited_ms").value_or(0) == 0) {
            hold_ = nullptr;
            wait_ended_ = nullptr;
        }
        decided_ = &record;
    }
}

bool opening_account::has_waited() const {
    return hold_ != nullptr || wait_ended_ != nullptr ||
           (is_forwarded(decided_) && decided_->number("waited_ms").value_or(0) > 0);
}

std::string opening_account::wait_outcome() const {
    if (wait_ended_ != nullptr) {
        return field(*wait_ended_, "outcome");
    }
    return is_forwarded(decided_) ? "placed" : "";
}

std::string opening_account::outcome() const {
    auto ended = wait_outcome();
    if (ended == "expired" || ended == "abandoned") {
        return ended;
    }
    if (decided_ != nullptr && !is_forwarded(decided_)) {
        return field(*decided_, "reason");
    }
    if (ended == "refused") {
        return field(*wait_ended_, "reason");
    }
    if (has_waited()) {
        return is_wait_pending() && !is_forwarded(decided_) ? "waiting" : "waited";
    }
    return overflowed_from(decided_).empty() ? "" : "overflowed";
}

std::string opening_account::text() const {
    std::string result;
    const auto append = [&result](const std::string& sentence) {
        result += (result.empty() ? "" : " ") + sentence;
    };
    if (const auto from = overflowed_from(decided_); !from.empty()) {
        append("The opening went to another service of its split, since " + std::string{from} +
               ", which the weights had chosen, had no capacity for it.");
    }
    if (has_waited()) {
        append(wait_text());
    } else if (decided_ != nullptr && is_refused_for_capacity(*decided_)) {
        append("The opening was refused without a wait, since " + why_no_capacity() +
               "; the expected wait was too long for its objective, its route has no objective, or "
               "the queue was full.");
    }
    return result;
}

std::string opening_account::wait_text() const {
    const auto ended = wait_outcome();
    const auto& measured = wait_ended_ != nullptr ? wait_ended_ : decided_;
    const auto duration = measured == nullptr
                              ? std::string{"?"}
                              : std::to_string(measured->number("waited_ms").value_or(0));
    if (is_wait_pending() &&
        (decided_ == nullptr || decided_->number("waited_ms").value_or(0) == 0)) {
        return "The opening began to wait at " + hold_->instance + ", since " + why_no_capacity() +
               "; no line tells how the wait ended: the instance ended, or lines were left out.";
    }
    if (ended == "placed") {
        return "The opening waited " + duration + " ms, since " + why_no_capacity() + ".";
    }
    if (ended == "expired") {
        return "The opening waited " + duration +
               " ms and was refused when the wait that its objective allows was over, since " +
               why_no_capacity() + ".";
    }
    if (ended == "abandoned") {
        return "The caller reset or closed the flow after its opening had waited " + duration +
               " ms, since " + why_no_capacity() + ".";
    }
    const auto reason = wait_ended_ != nullptr ? field(*wait_ended_, "reason")
                        : decided_ != nullptr  ? field(*decided_, "reason")
                                               : std::string{};
    const auto* found = std::ranges::find(removal_causes, reason, &removal_cause::reason);
    return "The opening was refused after it had waited " + duration + " ms, since " +
           (found == removal_causes.end() ? "of " + reason : std::string{found->cause}) + ".";
}

std::string opening_account::why_no_capacity() const {
    // The lines of a hold and of a refusal have the numbers on which the decision was based.
    const auto* basis = hold_ != nullptr ? hold_ : decided_;
    constexpr std::string_view entitlement_is_used =
        "the route had used up its entitlement to the service";
    if (basis == nullptr || is_forwarded(basis)) {
        return "the service had no free capacity, and " + std::string{entitlement_is_used};
    }
    if (basis->text("caller_over_share") == "yes") {
        return "its caller had more than its share of the capacity in use";
    }
    const auto slots = basis->number("slots").value_or(0);
    const auto open =
        basis->number("open_here").value_or(0) + basis->number("open_elsewhere").value_or(0);
    if (slots > open) {
        return std::to_string(slots - open) + " idle slots of " + std::to_string(slots) +
               " were kept for more urgent routes or were on targets that took no flows, and " +
               std::string{entitlement_is_used};
    }
    const auto numbers = slots == 0 ? ""
                                    : " (" + std::to_string(open) + " requests open on " +
                                          std::to_string(slots) + " slots)";
    return "the service had no free capacity" + numbers + ", and " +
           std::string{entitlement_is_used};
}

}  // namespace bramleytrack::ctl
