// Blocking access to the store for the command-line tool.
#pragma once

#include <ev++.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/result_code.h"
#include "net/http_client.h"
#include "platform/kv_store.h"
#include "store/store.h"

namespace bramleytrack::ctl {

struct write_result {
    std::int64_t version = 0;  // current version in the store
    bool is_replaced = false;  // a later write by someone else has replaced the value

    bool operator==(const write_result&) const = default;
};

class store_session {
public:
    // `address` is the store's; read() and compare_and_swap() fail unless it is a numeric ip:port.
    store_session(std::string_view address, clock::duration timeout);

    store::outcome<store::lookup_result> read(std::string_view key);

    // Writes `value` if the key still has version `expected_version` (0: must not exist). A value's
    // version is the store's revision of its last write. `change_id` is the id of the newest entry
    // of the change log in `value` (see configuration/change_log.h).
    //
    // A lost response leaves it open whether the write took effect. The write is then retried,
    // which the compare-and-swap makes idempotent, and the change log of the stored value is
    // searched for the entry. The entry tells apart a write that took effect and was replaced later
    // from one that lost to a concurrent write; the latter returns version_conflict. Returns
    // write_in_doubt when it could not be determined before the timeout whether the write took
    // effect.
    std::variant<write_result, result_code> compare_and_swap(std::string_view key,
                                                             std::int64_t expected_version,
                                                             const std::string& value,
                                                             std::string_view change_id);

    net::http_result get(const std::string& url);

private:
    store::outcome<store::committed> commit(const store::transaction& transaction);
    std::optional<std::variant<write_result, result_code>> resolve_outcome(
        std::string_view key, std::int64_t expected_version, std::string_view change_id);
    void sleep_for(clock::duration duration);

    ev::default_loop loop_;
    net::http_client client_;
    platform_adapter::kv_store store_;
    clock::duration timeout_;
};

}  // namespace bramleytrack::ctl
