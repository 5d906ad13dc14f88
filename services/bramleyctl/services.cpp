#include "services.h"

#include <cstdio>
#include <nlohmann/json.hpp>

#include "metrics_fetch.h"
#include "prometheus_text.h"
#include "service_table.h"

namespace bramleytrack::ctl {
namespace {

constexpr int usage_status = 2;
constexpr int incomplete_status = 6;

}  // namespace

int services(const options& options, std::span<const std::string> arguments) {
    if (arguments.size() < 2) {
        std::fprintf(stderr, "bramleyctl: services ADDRESS..., metrics addresses as ip:port\n");
        return usage_status;
    }
    const auto addresses = arguments.subspan(1);
    const auto texts = fetch_metrics(addresses, clock::duration{options.timeout_ms});
    service_table table;
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        const auto samples = parse_prometheus_text(texts[i]);
        if (samples.empty()) {
            table.add_silent_instance(addresses[i]);
        } else {
            table.add(samples);
        }
    }
    const auto text =
        options.is_json
            ? table.to_json().dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"
            : table.to_text();
    std::printf("%s", text.c_str());
    return table.has_all_answered() ? 0 : incomplete_status;
}

}  // namespace bramleytrack::ctl
