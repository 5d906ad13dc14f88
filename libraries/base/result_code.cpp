#include "base/result_code.h"

#include <algorithm>
#include <array>

namespace bramleytrack {
namespace {

using enum result_code;

constexpr std::array descriptions{
    result_code_description{ok, "ok", "done"},
    result_code_description{malformed_datagram, "malformed_datagram",
                            "a datagram could not be decoded; it was counted and dropped"},
    result_code_description{unauthenticated_datagram, "unauthenticated_datagram",
                            "a peer datagram carried a wrong tag; it was counted and dropped"},
    result_code_description{unknown_service, "unknown_service",
                            "no service of the configuration has this address"},
    result_code_description{wrong_service, "wrong_service",
                            "a hop found that the packet was meant for another service"},
    result_code_description{too_many_hops, "too_many_hops",
                            "a packet was forwarded too often; it was dropped"},
    result_code_description{unknown_route, "unknown_route",
                            "no route of the configuration has this address and port"},
    result_code_description{unknown_token, "unknown_token",
                            "the packet's token names no target that is known here"},
    result_code_description{target_gone, "target_gone",
                            "the flow's target has ended and doesn't answer any more"},
    result_code_description{not_ready, "not_ready",
                            "the instance hasn't read the configuration and targets yet"},
    result_code_description{target_silent, "target_silent",
                            "the flow's target acknowledges nothing, of this flow or of others"},
    result_code_description{opening_too_late, "opening_too_late",
                            "an opening arrived or waited until its caller sent another one, or "
                            "until its flow was open; it was dropped"},
    result_code_description{unknown_flow, "unknown_flow", "no instance or target knows this flow"},
    result_code_description{no_eligible_target, "no_eligible_target",
                            "no target of the service takes new flows now"},
    result_code_description{target_full, "target_full",
                            "the target holds as many connections as it bears"},
    result_code_description{zone_unreachable, "zone_unreachable",
                            "the flow's zone can't be reached from here"},
    result_code_description{flow_in_doubt, "flow_in_doubt",
                            "the flow's target is not known yet; send again"},
    result_code_description{zone_out, "zone_out",
                            "the flow's target is in a zone that operators have taken out"},
    result_code_description{queue_full, "queue_full", "the target's queue has no room"},
    result_code_description{deadline_too_near, "deadline_too_near",
                            "the request could not have ended before its deadline; it was not run"},
    result_code_description{deadline_passed, "deadline_passed",
                            "the deadline passed before the target answered"},
    result_code_description{shed_by_target, "shed_by_target",
                            "the target said that it did not run the request"},
    result_code_description{outcome_unknown, "outcome_unknown",
                            "the request may have run; it must not be repeated blindly"},
    result_code_description{cancelled, "cancelled", "the caller cancelled the request"},
    result_code_description{too_many_requests, "too_many_requests",
                            "more requests are remembered than are kept, of this flow or in all"},
    result_code_description{number_reused, "number_reused",
                            "the flow has used this request number for another request"},
    result_code_description{unknown_request, "unknown_request",
                            "a target's packet names no request that is known; it was dropped"},
    result_code_description{not_owner, "not_owner", "this instance doesn't own the target"},
    result_code_description{configuration_invalid, "configuration_invalid",
                            "the operators' text was refused; every fault is listed"},
    result_code_description{version_conflict, "version_conflict",
                            "another change was accepted first; nothing was written"},
    result_code_description{unknown_name, "unknown_name",
                            "the configuration has no such zone, target, service or instance"},
    result_code_description{store_unavailable, "store_unavailable",
                            "the platform's store did not answer"},
    result_code_description{write_in_doubt, "write_in_doubt",
                            "the store's answer to a write was lost and could not be resolved"},
    result_code_description{store_throttled, "store_throttled",
                            "the store refused the call because too many were made"},
    result_code_description{history_gone, "history_gone",
                            "the store no longer has the history that the watch asked for"},
    result_code_description{condition_failed, "condition_failed",
                            "a key had another revision than the transaction expected"},
    result_code_description{lease_ended, "lease_ended", "the lease has run out or was revoked"},
    result_code_description{unreadable_record, "unreadable_record",
                            "a value in the store could not be understood; it was left out"},
    result_code_description{settings_invalid, "settings_invalid",
                            "the settings file was refused; every fault is listed"},
    result_code_description{usage, "usage", "the command line was not understood"},
};

}  // namespace

std::span<const result_code_description> all_result_codes() {
    return descriptions;
}

std::string_view name_of(result_code code) {
    const auto* found = std::ranges::find(descriptions, code, &result_code_description::code);
    return found == descriptions.end() ? "unlisted" : found->name;
}

}  // namespace bramleytrack
