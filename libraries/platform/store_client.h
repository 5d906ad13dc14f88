// Client of the platform's key-value service; docs/PLATFORM.md gives its HTTP protocol.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include "base/result_code.h"
#include "net/http_client.h"

namespace bramleytrack::platform {

// Where the operators' configuration stands.
constexpr std::string_view configuration_key = "bramleytrack/configuration";

struct stored_value {
    std::int64_t version = 0;
    std::string value;

    bool operator==(const stored_value&) const = default;
};

using read_result = std::variant<stored_value, result_code>;
// Whether the store gave no answer; nothing is known of the key then.
bool is_unavailable(const read_result& result);

using read_callback = std::function<void(read_result)>;

class store_client {
public:
    // `name` tells the store who asks; it counts calls by it.
    store_client(net::http_client& client, std::string base_url, std::string name)
        : client_{client}, base_url_{std::move(base_url)}, name_{std::move(name)} {}

    // Answers when the key has a version above `after`, or with result_code::ok after `wait`.
    // result_code::store_unavailable when the store didn't answer.
    void watch(std::string_view key, std::int64_t after, clock::duration wait, read_callback done);

private:
    net::http_client& client_;
    std::string base_url_;
    std::string name_;
};

// Parses the body of an answer that carries a value.
read_result parse_stored_value(const net::http_result& answer);

}  // namespace bramleytrack::platform
