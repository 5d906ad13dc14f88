#include "flow_timeline.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>

#include "opening_account.h"

namespace bramleytrack::ctl {
namespace {

// Range of the context around a flow's own log lines. The state changes that explain a flow happen
// shortly before it, since every change has to reach all instances within seconds.
constexpr std::int64_t context_before_ms = 6'000;
constexpr std::int64_t context_after_ms = 4'000;

std::string field(const log_record& record, std::string_view key) {
    return std::string{record.text(key)};
}

// The part that tells why the opening was admitted or not, for lines that have these fields.
std::string format_admission(const log_record& record) {
    std::string text;
    if (const auto ground = field(record, "ground"); !ground.empty() && ground != "none") {
        text += ", admitted by " + ground;
    }
    if (const auto waited = record.number("waited_ms").value_or(0); waited > 0) {
        text += ", after a wait of " + std::to_string(waited) + " ms";
    }
    if (const auto from = field(record, "overflowed_from"); !from.empty() && from != "none") {
        text += ", instead of " + from;
    }
    return text;
}

std::string format_opening(const log_record& record) {
    const auto copy = record.number("copy").value_or(0);
    std::string text =
        copy == 0 ? "opening packet" : "copy " + std::to_string(copy) + " of the opening packet";
    if (record.text("decision") == "forward") {
        return text + " forwarded to " + field(record, "target") + " in " +
               field(record, "target_zone") + " (one of " + field(record, "candidates") +
               " candidates, " + field(record, "open_requests") +
               " requests open there; its entry was received " + field(record, "target_age_ms") +
               " ms before" + format_admission(record) + ")";
    }
    if (record.text("decision") == "hold") {
        return text + " waits: " + field(record, "reason") + " (route " + field(record, "route") +
               ", version " + field(record, "version") + ")";
    }
    return text + (record.text("decision") == "refuse" ? " refused: " : " dropped: ") +
           field(record, "reason") + " (route " + field(record, "route") + ", version " +
           field(record, "version") + ", state confirmed " + field(record, "confirmed_ms_ago") +
           " ms before" + format_admission(record) + ")";
}

std::string format_wait_ended(const log_record& record) {
    return "wait of the opening ended after " + field(record, "waited_ms") +
           " ms: " + field(record, "outcome") + " (" + field(record, "reason") + ")";
}

std::string format_packet(const log_record& record) {
    return "packet with sequence " + field(record, "sequence") +
           (record.text("decision") == "refuse" ? " reset: " : " dropped: ") +
           field(record, "reason") + " (token " + field(record, "token") + ", version " +
           field(record, "version") + ")";
}

std::string format_flow_ended(const log_record& record) {
    return "flow reset with all others of " + field(record, "target") + ": " +
           field(record, "reason") + " (version " + field(record, "version") + ")";
}

std::string format_token_mismatch(const log_record& record) {
    return "packet with sequence " + field(record, "sequence") + " returned the token of " +
           field(record, "token_target") + "; the flow is open at " + field(record, "target");
}

std::string format_unanswered(const log_record& record) {
    return field(record, "target") + " left the opening unanswered for " +
           field(record, "after_ms") + " ms; it last answered any flow " +
           field(record, "target_answered_ms_ago") + " ms before";
}

std::string format_late_answer(const log_record& record) {
    return field(record, "target") + " answered after " + field(record, "took_ms") +
           " ms, objective " + field(record, "objective_ms") + " ms, usual " +
           field(record, "usual_ms") + " ms, " + field(record, "open_requests") +
           " requests still open there";
}

struct event_formatter {
    std::string_view event;
    std::string (*format)(const log_record& record);
};

constexpr std::array flow_events{event_formatter{"opening", &format_opening},
                                 event_formatter{"opening_wait_ended", &format_wait_ended},
                                 event_formatter{"packet", &format_packet},
                                 event_formatter{"flow_ended", &format_flow_ended},
                                 event_formatter{"token_mismatch", &format_token_mismatch},
                                 event_formatter{"unanswered", &format_unanswered},
                                 event_formatter{"late_answer", &format_late_answer}};

// The cause of a flow's outcome, by the reason in the log line of the decision.
struct explanation {
    std::string_view reason;
    std::string_view cause;
};

constexpr std::array explanations{
    explanation{
        "unknown_route",
        "No route of the version in force had this address: it was never there, or removed."},
    explanation{
        "queue_full",
        "Every target had as many requests open as it answers in time: too much load, or slow "
        "targets."},
    explanation{
        "no_eligible_target",
        "No target could take flows: all draining, gone, cold, or in zones taken out of service."},
    explanation{"not_ready", "The instance had just started and held no configuration yet."},
    explanation{
        "unknown_token",
        "The packet's token belongs to no target that the instance held: it had just started, or "
        "the target's entry was removed before the target stopped."},
    explanation{
        "target_gone",
        "The flow's target had been removed from the store and acknowledged nothing since: it had "
        "stopped."},
    explanation{
        "target_silent",
        "The flow's target acknowledged nothing, of this flow or others: it had died or was cut "
        "off."},
};

bool concerns_flow(const log_record& record, std::string_view caller) {
    return record.text("caller") == caller &&
           std::ranges::find(flow_events, record.event, &event_formatter::event) !=
               flow_events.end();
}

// True for lines that report no failure.
bool is_harmless(const log_record& record) {
    const auto decision = record.text("decision");
    return record.event == "opening_wait_ended" || record.event == "token_mismatch" ||
           (record.event == "opening" && (decision == "forward" || decision == "hold")) ||
           (record.event == "packet" && decision == "forward");
}

std::string format_context(const log_record& record) {
    std::string text = record.event;
    for (const auto& [key, value] : record.fields) {
        const bool is_header =
            key == "time" || key == "process" || key == "level" || key == "event";
        text += is_header ? "" : " " + key + "=" + value;
    }
    return text;
}

class timeline_builder {
public:
    timeline_builder(std::span<const log_record> records, std::string_view caller) {
        timeline_.caller = caller;
        for (const auto& record : records) {
            if (concerns_flow(record, caller)) {
                flow_records_.push_back(&record);
                instances_.insert(record.instance);
                targets_.emplace(record.text("target"));
            }
        }
        std::ranges::stable_sort(flow_records_, {}, &log_record::timestamp_ms);
        targets_.erase("");
    }

    flow_timeline build(std::span<const log_record> records) {
        if (flow_records_.empty()) {
            timeline_.outcome = "not_found";
            timeline_.cause = "No log line names this caller.";
            collect_gaps(records, 0, std::numeric_limits<std::int64_t>::max());
            return timeline_;
        }
        for (const auto* record : flow_records_) {
            const auto* formatter =
                std::ranges::find(flow_events, record->event, &event_formatter::event);
            timeline_.steps.push_back({.timestamp_ms = record->timestamp_ms,
                                       .instance = record->instance,
                                       .text = formatter->format(*record)});
        }
        const auto from = flow_records_.front()->timestamp_ms - context_before_ms;
        const auto to = flow_records_.back()->timestamp_ms + context_after_ms;
        collect_context(records, from, to);
        collect_gaps(records, from, to);
        determine_outcome();
        return timeline_;
    }

private:
    void collect_context(std::span<const log_record> records, std::int64_t from, std::int64_t to) {
        static const std::set<std::string, std::less<>> state_events{
            "started",        "stopping", "stopped",   "store_lost",
            "store_regained", "paused",   "not_ready", "ready"};
        for (const auto& record : records) {
            const bool is_state_change =
                state_events.contains(record.event) && instances_.contains(record.instance);
            const bool concerns_target =
                (record.event == "learned" || record.event == "target_dead") &&
                targets_.contains(record.text("target")) && instances_.contains(record.instance);
            if ((is_state_change || concerns_target) && record.timestamp_ms >= from &&
                record.timestamp_ms <= to) {
                timeline_.context.push_back({.timestamp_ms = record.timestamp_ms,
                                             .instance = record.instance,
                                             .text = format_context(record)});
            }
        }
        std::ranges::stable_sort(timeline_.context, {}, &timeline_step::timestamp_ms);
    }

    void collect_gaps(std::span<const log_record> records, std::int64_t from, std::int64_t to) {
        std::map<std::pair<std::string, std::string>, std::int64_t> omitted_counts;
        for (const auto& record : records) {
            if (record.event == "lines_left_out" && record.timestamp_ms >= from &&
                record.timestamp_ms <= to) {
                omitted_counts[{record.instance, field(record, "kind")}] +=
                    record.number("count").value_or(0);
            }
        }
        for (const auto& record : records) {
            if (record.event == "turned_away" && record.timestamp_ms >= from &&
                record.timestamp_ms <= to) {
                timeline_.gaps.push_back(
                    record.instance + " rejected " + field(record, "openings_without_line") +
                    " openings of " + field(record, "service") + " from " + field(record, "zone") +
                    " without a log line for each: " + field(record, "reason"));
            }
        }
        for (const auto& [source, count] : omitted_counts) {
            timeline_.gaps.push_back(source.first + " left out " + std::to_string(count) +
                                     " lines of kind " + source.second + " around that time");
        }
    }

    // The last line that reports a failure determines the outcome. Without a failure, a wait or an
    // overflow does.
    void determine_outcome() {
        opening_account account;
        bool needs_account = false;
        for (const auto* record : flow_records_) {
            account.add(*record);
            const bool is_failure_of_opening =
                (record->event == "opening" && is_refused_for_capacity(*record)) ||
                (record->event == "opening_wait_ended" && record->text("outcome") != "placed");
            if (is_failure_of_opening) {
                timeline_.outcome = account.outcome();
                timeline_.cause = account.text();
                needs_account = false;
                continue;
            }
            if (is_harmless(*record)) {
                continue;
            }
            needs_account = true;
            if (record->event == "late_answer") {
                timeline_.outcome = "late";
                timeline_.cause =
                    "The answer came after its objective. Check the requests open at the "
                    "target, and whether its usual time has grown.";
            } else if (record->event == "unanswered") {
                timeline_.outcome = "unanswered";
                timeline_.cause =
                    "The target that was chosen first did not answer the opening, so the "
                    "caller's copy went to another one. The first was full, dead, or cut off.";
            } else {
                const auto reason = field(*record, "reason");
                const auto* found = std::ranges::find(explanations, reason, &explanation::reason);
                timeline_.outcome = reason;
                timeline_.cause = found == explanations.end() ? "See docs/RESULT-CODES.md."
                                                              : std::string{found->cause};
            }
        }
        if (timeline_.outcome.empty()) {
            timeline_.outcome = account.outcome();
            timeline_.cause = account.text();
        } else if (const auto text = account.text(); needs_account && !text.empty()) {
            timeline_.cause += " " + text;
        }
        if (timeline_.outcome.empty()) {
            timeline_.outcome = "no_fault";
            timeline_.cause =
                "Every logged packet of the flow was forwarded; nothing in the log reports a "
                "delay.";
        }
    }

    flow_timeline timeline_;
    std::vector<const log_record*> flow_records_;
    std::set<std::string, std::less<>> instances_;
    std::set<std::string, std::less<>> targets_;
};

std::string format_step(const timeline_step& step, std::int64_t start) {
    const auto offset = step.timestamp_ms - start;
    return "  " + std::string{offset < 0 ? "" : "+"} + std::to_string(offset) + " ms  " +
           step.instance + "  " + step.text + "\n";
}

nlohmann::ordered_json steps_to_json(const std::vector<timeline_step>& steps) {
    auto result = nlohmann::ordered_json::array();
    for (const auto& each : steps) {
        result.push_back(
            {{"at_ms", each.timestamp_ms}, {"instance", each.instance}, {"text", each.text}});
    }
    return result;
}

}  // namespace

flow_timeline build_timeline(std::span<const log_record> records, std::string_view caller) {
    return timeline_builder{records, caller}.build(records);
}

std::string to_text(const flow_timeline& timeline) {
    std::string text =
        "flow of " + timeline.caller + ": " + timeline.outcome + "\n" + timeline.cause + "\n";
    const auto start = timeline.steps.empty() ? 0 : timeline.steps.front().timestamp_ms;
    for (const auto& each : timeline.steps) {
        text += format_step(each, start);
    }
    if (!timeline.context.empty()) {
        text += "events around that time:\n";
    }
    for (const auto& each : timeline.context) {
        text += format_step(each, start);
    }
    for (const auto& each : timeline.gaps) {
        text += "may be incomplete: " + each + "\n";
    }
    return text;
}

std::string to_json(const flow_timeline& timeline) {
    return nlohmann::ordered_json{{"caller", timeline.caller},
                                  {"outcome", timeline.outcome},
                                  {"cause", timeline.cause},
                                  {"steps", steps_to_json(timeline.steps)},
                                  {"around", steps_to_json(timeline.context)},
                                  {"gaps", timeline.gaps}}
        .dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace bramleytrack::ctl
