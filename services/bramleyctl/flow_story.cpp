#include "flow_story.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>

namespace bramleytrack::ctl {
namespace {

// Beliefs and states that explain a flow lie shortly before it: the bounds for changes are seconds.
constexpr std::int64_t context_before = 6'000;
constexpr std::int64_t context_after = 4'000;

std::string field(const log_record& record, std::string_view key) {
    return std::string{record.text(key)};
}

std::string tell_opening(const log_record& record) {
    const auto copy = record.number("copy").value_or(0);
    std::string text =
        copy == 0 ? "opening packet" : "copy " + std::to_string(copy) + " of the opening packet";
    if (record.text("decision") == "forward") {
        return text + " forwarded to " + field(record, "target") + " in " +
               field(record, "target_zone") + " (one of " + field(record, "candidates") + ", " +
               field(record, "open_requests") + " requests open there; known since " +
               field(record, "target_age_ms") + " ms)";
    }
    return text + (record.text("decision") == "refuse" ? " refused: " : " dropped: ") +
           field(record, "reason") + " (route " + field(record, "route") + ", version " +
           field(record, "version") + ", confirmed " + field(record, "confirmed_ms_ago") +
           " ms before)";
}

std::string tell_packet(const log_record& record) {
    return "packet with sequence " + field(record, "sequence") +
           (record.text("decision") == "refuse" ? " reset: " : " dropped: ") +
           field(record, "reason") + " (token " + field(record, "token") + ", version " +
           field(record, "version") + ")";
}

std::string tell_ended(const log_record& record) {
    return "flow reset with all others of " + field(record, "target") + ": " +
           field(record, "reason") + " (version " + field(record, "version") + ")";
}

std::string tell_unanswered(const log_record& record) {
    return field(record, "target") + " left the opening unanswered for " +
           field(record, "after_ms") + " ms; it last answered anybody " +
           field(record, "target_answered_ms_ago") + " ms before";
}

std::string tell_late(const log_record& record) {
    return field(record, "target") + " answered after " + field(record, "took_ms") +
           " ms, objective " + field(record, "objective_ms") + " ms, usual " +
           field(record, "usual_ms") + " ms, " + field(record, "open_requests") +
           " requests still open there";
}

struct teller {
    std::string_view event;
    std::string (*tell)(const log_record& record);
};

constexpr std::array flow_events{teller{"opening", &tell_opening}, teller{"packet", &tell_packet},
                                 teller{"flow_ended", &tell_ended},
                                 teller{"unanswered", &tell_unanswered},
                                 teller{"late_answer", &tell_late}};

// Why a flow ended as it did, by the reason of the line that tells it.
struct explanation {
    std::string_view reason;
    std::string_view cause;
};

constexpr std::array explanations{
    explanation{
        "unknown_route",
        "No route of the version in force had this address: it was never there, or dropped."},
    explanation{
        "queue_full",
        "Every target had as many requests open as it answers in time: too much load, or slow "
        "targets."},
    explanation{"no_eligible_target",
                "No target could take flows: all draining, gone, cold, or in zones that are out."},
    explanation{"not_ready", "The instance had just started and knew no configuration yet."},
    explanation{
        "unknown_token",
        "The packet named a target that the instance didn't know: it had just started, or the "
        "target's entry went before it did."},
    explanation{
        "target_gone",
        "The flow's target had left the store and acknowledged nothing since: it had ended."},
    explanation{
        "target_silent",
        "The flow's target acknowledged nothing, of this flow or others: it had died or was cut "
        "off."},
};

bool is_about_flow(const log_record& record, std::string_view caller) {
    return record.text("caller") == caller &&
           std::ranges::find(flow_events, record.event, &teller::event) != flow_events.end();
}

std::string tell_context(const log_record& record) {
    std::string text = record.event;
    for (const auto& [key, value] : record.fields) {
        const bool is_head = key == "time" || key == "process" || key == "level" || key == "event";
        text += is_head ? "" : " " + key + "=" + value;
    }
    return text;
}

class storyteller {
public:
    storyteller(std::span<const log_record> records, std::string_view caller) {
        story_.caller = caller;
        for (const auto& record : records) {
            if (is_about_flow(record, caller)) {
                own_.push_back(&record);
                instances_.insert(record.instance);
                targets_.emplace(record.text("target"));
            }
        }
        std::ranges::stable_sort(own_, {}, &log_record::at);
        targets_.erase("");
    }

    flow_story tell(std::span<const log_record> records) {
        if (own_.empty()) {
            story_.outcome = "not_found";
            story_.cause = "No line names this caller.";
            note_gaps(records, 0, std::numeric_limits<std::int64_t>::max());
            return story_;
        }
        for (const auto* record : own_) {
            const auto* found = std::ranges::find(flow_events, record->event, &teller::event);
            story_.steps.push_back(
                {.at = record->at, .instance = record->instance, .text = found->tell(*record)});
        }
        const auto from = own_.front()->at - context_before;
        const auto to = own_.back()->at + context_after;
        collect_context(records, from, to);
        note_gaps(records, from, to);
        explain();
        return story_;
    }

private:
    void collect_context(std::span<const log_record> records, std::int64_t from, std::int64_t to) {
        static const std::set<std::string, std::less<>> states{
            "started",        "stopping", "stopped",   "store_lost",
            "store_regained", "paused",   "not_ready", "ready"};
        for (const auto& record : records) {
            const bool is_state =
                states.contains(record.event) && instances_.contains(record.instance);
            const bool is_of_target =
                (record.event == "learned" || record.event == "target_dead") &&
                targets_.contains(record.text("target")) && instances_.contains(record.instance);
            if ((is_state || is_of_target) && record.at >= from && record.at <= to) {
                story_.context.push_back(
                    {.at = record.at, .instance = record.instance, .text = tell_context(record)});
            }
        }
        std::ranges::stable_sort(story_.context, {}, &story_step::at);
    }

    void note_gaps(std::span<const log_record> records, std::int64_t from, std::int64_t to) {
        std::map<std::pair<std::string, std::string>, std::int64_t> left_out;
        for (const auto& record : records) {
            if (record.event == "lines_left_out" && record.at >= from && record.at <= to) {
                left_out[{record.instance, field(record, "kind")}] +=
                    record.number("count").value_or(0);
            }
        }
        for (const auto& record : records) {
            if (record.event == "turned_away" && record.at >= from && record.at <= to) {
                story_.gaps.push_back(record.instance + " turned away " +
                                      field(record, "openings_without_line") + " openings of " +
                                      field(record, "service") + " from " + field(record, "zone") +
                                      " without a line: " + field(record, "reason"));
            }
        }
        for (const auto& [who, count] : left_out) {
            story_.gaps.push_back(who.first + " left out " + std::to_string(count) +
                                  " lines of kind " + who.second + " around that time");
        }
    }

    // The last line that says that something failed decides.
    void explain() {
        for (const auto* record : own_) {
            if (record->event == "late_answer") {
                story_.outcome = "late";
                story_.cause =
                    "The answer came after its objective: see the requests open at the "
                    "target, and whether its usual time has grown.";
            } else if (record->event == "unanswered") {
                story_.outcome = "unanswered";
                story_.cause =
                    "The target that was chosen first didn't answer the opening, so the "
                    "caller's copy went to another one: full, dead, or cut off.";
            } else if (record->text("decision") != "forward") {
                const auto reason = field(*record, "reason");
                const auto* found = std::ranges::find(explanations, reason, &explanation::reason);
                story_.outcome = reason;
                story_.cause =
                    found == explanations.end() ? "See RESULT-CODES." : std::string{found->cause};
            }
        }
        if (story_.outcome.empty()) {
            story_.outcome = "no_fault";
            story_.cause = "Every line of the flow was forwarded; nothing here delayed it.";
        }
    }

    flow_story story_;
    std::vector<const log_record*> own_;
    std::set<std::string, std::less<>> instances_;
    std::set<std::string, std::less<>> targets_;
};

std::string line_of(const story_step& step, std::int64_t start) {
    const auto offset = step.at - start;
    return "  " + std::string{offset < 0 ? "" : "+"} + std::to_string(offset) + " ms  " +
           step.instance + "  " + step.text + "\n";
}

nlohmann::ordered_json json_of(const std::vector<story_step>& steps) {
    auto result = nlohmann::ordered_json::array();
    for (const auto& each : steps) {
        result.push_back({{"at_ms", each.at}, {"instance", each.instance}, {"text", each.text}});
    }
    return result;
}

}  // namespace

flow_story tell_story(std::span<const log_record> records, std::string_view caller) {
    return storyteller{records, caller}.tell(records);
}

std::string to_text(const flow_story& story) {
    std::string text = "flow of " + story.caller + ": " + story.outcome + "\n" + story.cause + "\n";
    const auto start = story.steps.empty() ? 0 : story.steps.front().at;
    for (const auto& each : story.steps) {
        text += line_of(each, start);
    }
    if (!story.context.empty()) {
        text += "around it:\n";
    }
    for (const auto& each : story.context) {
        text += line_of(each, start);
    }
    for (const auto& each : story.gaps) {
        text += "may be incomplete: " + each + "\n";
    }
    return text;
}

std::string to_json(const flow_story& story) {
    return nlohmann::ordered_json{
        {"caller", story.caller},        {"outcome", story.outcome},         {"cause", story.cause},
        {"steps", json_of(story.steps)}, {"around", json_of(story.context)}, {"gaps", story.gaps}}
        .dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace bramleytrack::ctl
