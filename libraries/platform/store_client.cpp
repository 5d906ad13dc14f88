#include "platform/store_client.h"

#include <nlohmann/json.hpp>

namespace bramleytrack::platform {
namespace {

constexpr int http_ok = 200;
constexpr int http_not_modified = 304;
constexpr int http_not_found = 404;
// An answer that is later than this is not coming; the store answers in milliseconds.
constexpr clock::duration answer_timeout{2'000};

}  // namespace

bool is_unavailable(const read_result& result) {
    const auto* code = std::get_if<result_code>(&result);
    return code != nullptr && *code == result_code::store_unavailable;
}

read_result parse_stored_value(const net::http_result& answer) {
    if (answer.status == http_not_modified || answer.status == http_not_found) {
        return result_code::ok;
    }
    if (answer.status != http_ok) {
        return result_code::store_unavailable;
    }
    const auto root = nlohmann::json::parse(answer.body, nullptr, false);
    const bool is_whole = root.is_object() && root.contains("version") && root.contains("value") &&
                          root["version"].is_number_integer() && root["value"].is_string();
    if (!is_whole) {
        return result_code::store_unavailable;
    }
    return stored_value{.version = root["version"].get<std::int64_t>(),
                        .value = root["value"].get<std::string>()};
}

void store_client::watch(std::string_view key, std::int64_t after, clock::duration wait,
                         read_callback done) {
    const auto url = base_url_ + "/v1/kv/" + std::string{key} + "?after=" + std::to_string(after) +
                     "&wait_ms=" + std::to_string(wait.count()) + "&client=" + name_;
    client_.get(url, wait + answer_timeout,
                [done = std::move(done)](const net::http_result& answer) {
                    done(parse_stored_value(answer));
                });
}

}  // namespace bramleytrack::platform
