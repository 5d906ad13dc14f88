// Reconstructs the timeline of one flow from the logs of the instances that handled its packets.
//
// A flow is selected by its caller's ip:port alone, so flows that use the same port one after the
// other are merged into one timeline.
//
// The lines may come from several instances, in any order, and may be incomplete: instances omit
// lines under load and log how many. The timeline lists these counts as possible gaps.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "log_record.h"

namespace bramleytrack::ctl {

struct timeline_step {
    std::int64_t timestamp_ms = 0;
    std::string instance;
    std::string text;
};

struct flow_timeline {
    std::string caller;
    std::vector<timeline_step> steps;    // events of the flow itself, by time
    std::vector<timeline_step> context;  // events of its instances and targets near that time
    // A result code's name, "late", "unanswered", "no_fault", "not_found", or an outcome of
    // opening_account.
    std::string outcome;
    std::string cause;  // a few sentences
    // Counts of lines that instances omitted in the time range of the steps and the context, or in
    // the whole log if no line names the caller. Some of these lines may be of this flow.
    std::vector<std::string> gaps;
};

// `caller` is the ip:port of the flow's caller, as it appears in the log lines.
flow_timeline build_timeline(std::span<const log_record> records, std::string_view caller);

std::string to_text(const flow_timeline& timeline);
std::string to_json(const flow_timeline& timeline);

}  // namespace bramleytrack::ctl
