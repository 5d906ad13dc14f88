#include "explain.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <vector>

#include "flow_timeline.h"

namespace bramleytrack::ctl {
namespace {

constexpr int usage_status = 2;
constexpr int unreadable_status = 3;
constexpr int not_found_status = 6;

void read_records(std::istream& input, std::vector<log_record>& records) {
    for (std::string line; std::getline(input, line);) {
        if (auto record = parse_log_line(line)) {
            records.push_back(std::move(*record));
        }
    }
}

}  // namespace

int explain(const options& options, std::span<const std::string> arguments) {
    if (arguments.size() < 2) {
        std::fprintf(stderr, "bramleyctl: explain CALLER [LOG...], CALLER as ip:port\n");
        return usage_status;
    }
    std::vector<log_record> records;
    for (const auto& path : arguments.subspan(2)) {
        std::ifstream file{path};
        if (!file) {
            std::fprintf(stderr, "bramleyctl: can't read \"%s\"\n", path.c_str());
            return unreadable_status;
        }
        read_records(file, records);
    }
    if (arguments.size() == 2) {
        read_records(std::cin, records);
    }
    const auto timeline = build_timeline(records, arguments[1]);
    std::printf("%s", (options.is_json ? to_json(timeline) + "\n" : to_text(timeline)).c_str());
    return timeline.steps.empty() ? not_found_status : 0;
}

}  // namespace bramleytrack::ctl
