#include "settings/command_line.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <memory>

namespace bramleytrack::settings {
namespace {

constexpr int usage_exit_status = 2;

struct context_deleter {
    void operator()(poptContext context) const { poptFreeContext(context); }
};

}  // namespace

command_line::command_line(std::string usage) : usage_{std::move(usage)} {}

command_line& command_line::option(std::string name, std::string& value, std::string help) {
    auto& added = entries_.emplace_back();
    added.name = std::move(name);
    added.help = std::move(help);
    added.text = &value;
    return *this;
}

command_line& command_line::option(std::string name, int& value, std::string help) {
    auto& added = entries_.emplace_back();
    added.name = std::move(name);
    added.help = std::move(help);
    added.integer = &value;
    return *this;
}

command_line& command_line::option(std::string name, double& value, std::string help) {
    auto& added = entries_.emplace_back();
    added.name = std::move(name);
    added.help = std::move(help);
    added.floating_point = &value;
    return *this;
}

command_line& command_line::flag(std::string name, bool& value, std::string help) {
    auto& added = entries_.emplace_back();
    added.name = std::move(name);
    added.help = std::move(help);
    added.flag = &value;
    return *this;
}

std::vector<std::string> command_line::parse(int argc, const char** argv) {
    std::vector<poptOption> table;
    for (auto& each : entries_) {
        poptOption option{};
        option.longName = each.name.c_str();
        option.descrip = each.help.c_str();
        if (each.text != nullptr) {
            option.argInfo = POPT_ARG_STRING;
            option.arg = static_cast<void*>(&each.popt_text);
        } else if (each.integer != nullptr) {
            option.argInfo = POPT_ARG_INT;
            option.arg = each.integer;
        } else if (each.floating_point != nullptr) {
            option.argInfo = POPT_ARG_DOUBLE;
            option.arg = each.floating_point;
        } else {
            option.argInfo = POPT_ARG_NONE;
            option.arg = &each.popt_flag;
        }
        table.push_back(option);
    }
    table.push_back(
        {nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0, "Help options:", nullptr});
    table.push_back({});
    const std::unique_ptr<poptContext_s, context_deleter> context{
        poptGetContext(nullptr, argc, argv, table.data(), 0)};
    poptSetOtherOptionHelp(context.get(), usage_.c_str());
    int code = 0;
    while ((code = poptGetNextOpt(context.get())) >= 0) {
    }
    if (code < -1) {
        std::fprintf(stderr, "%s: %s\n", poptBadOption(context.get(), 0), poptStrerror(code));
        std::exit(usage_exit_status);  // NOLINT(concurrency-mt-unsafe)
    }
    for (auto& each : entries_) {
        if (each.popt_text != nullptr) {
            *each.text = each.popt_text;
            std::free(each.popt_text);  // NOLINT(*-no-malloc): allocated by popt
        }
        if (each.flag != nullptr) {
            *each.flag = each.popt_flag != 0;
        }
    }
    std::vector<std::string> positional;
    while (const char* argument = poptGetArg(context.get())) {
        positional.emplace_back(argument);
    }
    return positional;
}

}  // namespace bramleytrack::settings
