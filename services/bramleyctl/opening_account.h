// Tells from log lines why an opening waited, went to another service of its split, or was refused.
#pragma once

#include <string>

#include "log_record.h"

namespace bramleytrack::ctl {

// True if the field `ground` of the line says that no admission rule allowed the opening.
bool is_refused_for_capacity(const log_record& opening);

class opening_account {
public:
    // Lines of one flow, in the order of their time; only those of its openings count. `record`
    // must outlive this object.
    void add(const log_record& record);

    // "expired", "abandoned", "waiting", "waited", "overflowed", or the reason of a refusal; empty
    // if the last opening was placed at once in the service that its weights chose. A refusal goes
    // before a wait, and a wait before an overflow.
    std::string outcome() const;
    // One sentence for each of overflow, wait and refusal; empty if there was none of them.
    std::string text() const;

private:
    bool is_wait_pending() const { return hold_ != nullptr && wait_ended_ == nullptr; }
    bool has_waited() const;
    std::string wait_outcome() const;
    std::string wait_text() const;
    std::string why_no_capacity() const;

    // The newest line of each kind; null if there is none.
    const log_record* hold_ = nullptr;
    const log_record* wait_ended_ = nullptr;
    const log_record* decided_ = nullptr;  // an opening that was forwarded, refused or dropped
};

}  // namespace bramleytrack::ctl
