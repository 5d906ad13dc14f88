// Operator commands that read and change the configuration in the platform's store.
#pragma once

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/result_code.h"

namespace bramleytrack::ctl {

struct options {
    std::string store_address;
    std::string instance_list_url;
    bool is_json = false;
    bool should_wait = false;
    int timeout_ms = 10'000;
};

// Runs one command and prints its result; returns the process's exit status.
int run(const options& options, std::span<const std::string> arguments);

}  // namespace bramleytrack::ctl
