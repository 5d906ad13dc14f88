#include "support/flow_fleet.h"

#include <algorithm>

namespace bramleytrack::testing {

flow_fleet::flow_fleet(int zones, int instances_per_zone, int targets_per_zone) {
    session_.run("service board 10.0.0.1:443");
    for (int zone = 0; zone < zones; ++zone) {
        const std::string name(1, static_cast<char>('a' + zone));
        session_.run("zone " + name);
        for (int i = 1; i <= targets_per_zone; ++i) {
            targets_.push_back("board-" + name + "-" + std::to_string(i));
            session_.run("target " + targets_.back() + " " + name +
                         " board slots=100 connections=1000");
        }
        for (int i = 1; i <= instances_per_zone; ++i) {
            instances_.push_back(name + "-" + std::to_string(i));
            session_.run("instance " + instances_.back() + " " + name);
        }
    }
    running_instances_ = instances_;
    run("apply");
    run("advance 15000");
}

void flow_fleet::run(std::string_view line) {
    session_.run(line);
    const auto lines = session_.take_transcript();
    transcript_.insert(transcript_.end(), lines.begin(), lines.end());
}

void flow_fleet::open(int first, int last) {
    send("open", first, last);
}

void flow_fleet::send(std::string_view kind, int first, int last) {
    for (int flow = first; flow <= last; ++flow) {
        const auto& via =
            running_instances_[static_cast<std::size_t>(flow) % running_instances_.size()];
        run(std::string{kind} + " flow=" + std::to_string(flow) + " via=" + via +
            (kind == "request" ? " request=1" : ""));
    }
}

void flow_fleet::change_instance(std::string_view verb, const std::string& instance) {
    run(std::string{verb} + " " + instance);
    if (verb == "resume" || verb == "restart") {
        running_instances_.push_back(instance);
    } else {
        std::erase(running_instances_, instance);
    }
}

std::vector<std::string> flow_fleet::targets_holding(int flow) {
    std::vector<std::string> result;
    std::ranges::copy_if(targets_, std::back_inserter(result), [&](const std::string& name) {
        return session_.target(name).has_flow(flow);
    });
    return result;
}

int flow_fleet::count_broken(int first, int last) {
    int count = 0;
    for (int flow = first; flow <= last; ++flow) {
        const bool was_reset =
            std::ranges::any_of(session_.caller_packets(), [flow](const wire::packet& packet) {
                return packet.flow == flow && packet.kind == wire::packet_kind::reset;
            });
        if (was_reset || targets_holding(flow).size() != 1) {
            ++count;
        }
    }
    return count;
}

int flow_fleet::take_delivered_count(std::string_view kind) {
    int count = 0;
    for (const auto& line : transcript_) {
        for (const auto& target : targets_) {
            const auto start = "-> " + target + ": " + std::string{kind} + " flow=";
            const auto found = line.find(start);
            if (found != std::string::npos) {
                const int flow = std::stoi(line.substr(found + start.size()));
                count += session_.target(target).has_flow(flow) ? 1 : 0;
            }
        }
    }
    transcript_.clear();
    return count;
}

int flow_fleet::count_sent_to_callers(wire::packet_kind kind) const {
    return static_cast<int>(
        std::ranges::count(session_.caller_packets(), kind, &wire::packet::kind));
}

}  // namespace bramleytrack::testing
