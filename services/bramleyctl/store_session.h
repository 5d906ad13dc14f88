// Blocking reads and writes of the store for the command-line tool.
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

struct written {
    std::int64_t version = 0;  // that the store holds now
    bool is_replaced = false;  // others have written since

    bool operator==(const written&) const = default;
};

class store_session {
public:
    // Without a valid numeric ip:port every call fails.
    store_session(std::string_view address, clock::duration timeout);

    store::outcome<store::lookup_result> read(std::string_view key);

    // Writes when the key still has version `expected` (0: must not exist). A value's version is
    // the store's revision of its last write. `id` is the value's newest mark (see
    // configuration/change_log.h).
    //
    // An answer that is lost is resolved by trying again, which the compare-and-swap makes
    // idempotent, and then by looking for the mark: it tells "mine took effect, then another" from
    // "another came first". version_conflict in the latter case; write_in_doubt when the store
    // stays silent until the timeout.
    std::variant<written, result_code> compare_and_swap(std::string_view key, std::int64_t expected,
                                                        const std::string& value,
                                                        std::string_view id);

    net::http_result get(const std::string& url);

private:
    store::outcome<store::committed> commit(const store::transaction& wanted);
    std::optional<std::variant<written, result_code>> resolve(std::string_view key,
                                                              std::int64_t expected,
                                                              std::string_view id);
    void pause(clock::duration duration);

    ev::default_loop loop_;
    net::http_client client_;
    platform_adapter::kv_store store_;
    clock::duration timeout_;
};

}  // namespace bramleytrack::ctl
