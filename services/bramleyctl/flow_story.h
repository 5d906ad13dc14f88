// What became of one flow, told from the logs of the instances that saw it.
//
// The lines may come from several instances, in any order, with lines missing: those that were left
// out under load are counted by the instances themselves, and the story says where it may have
// gaps.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "log_record.h"

namespace bramleytrack::ctl {

struct story_step {
    std::int64_t at = 0;
    std::string instance;
    std::string text;
};

struct flow_story {
    std::string caller;
    std::vector<story_step> steps;    // of the flow itself, in order
    std::vector<story_step> context;  // what its instances and targets went through around it
    std::string outcome;  // a result code's name, "late", "unanswered", "no_fault" or "not_found"
    std::string cause;    // in a sentence
    std::vector<std::string> gaps;
};

// `caller` is ip:port of the flow's caller, as the lines give it.
flow_story tell_story(std::span<const log_record> records, std::string_view caller);

std::string to_text(const flow_story& story);
std::string to_json(const flow_story& story);

}  // namespace bramleytrack::ctl
