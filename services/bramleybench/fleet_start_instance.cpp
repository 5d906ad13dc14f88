#include "fleet_start_instance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bramleytrack::experiments {
namespace {

constexpr fleet_network::node store_node = 0;

}  // namespace

fleet_start_instance::fleet_start_instance(fleet_network& network, fleet_store_model& platform,
                                           const traits& own)
    : network_{network}, platform_{platform}, own_{own}, feed_{*this, mirror_, own.seed} {
    feed_.on_change([this](std::span<const store::event> /*events*/, clock::time_point now) {
        become_ready(now);
    });
}

void fleet_start_instance::hold_state() {
    mirror_.replace(platform_.items(), platform_.revision());
    become_ready(network_.now());
}

void fleet_start_instance::become_ready(clock::time_point now) {
    if (!has_state_) {
        has_state_ = true;
        ready_at_ = now;
    }
}

std::int64_t fleet_start_instance::copy_size() const {
    return platform_.entries_of(mirror_.size()) * costs_.bytes_per_copied_entry;
}

void fleet_start_instance::receive_copy(const fleet_start_instance& from) {
    const auto entries = static_cast<double>(platform_.entries_of(from.mirror_.size()));
    run_on_processor(entries * costs_.copied_entry_ms, [this, &from](clock::time_point now) {
        if (!has_state_) {
            mirror_.replace(from.mirror_.items(), from.mirror_.revision());
            become_ready(now);
        }
    });
}

void fleet_start_instance::range(std::string_view /*prefix*/, std::string_view after_key,
                                 store::read_freshness /*freshness*/, clock::duration timeout,
                                 store::callback<store::page> done) {
    auto sent = platform_.read_page(after_key);
    const fleet_network::transfer_request request{.from = store_node,
                                                  .to = own_.node,
                                                  .bytes = platform_.bytes_of(sent),
                                                  .latency = platform_.limits().answer_time,
                                                  .timeout = timeout,
                                                  .restarts_timeout = own_.restarts_timeout};
    network_.send(request, [this, sent = std::move(sent), done = std::move(done)](
                               bool is_complete, clock::time_point now) {
        if (is_complete) {
            on_page(sent, done);
        } else {
            done(result_code::store_unavailable, now);
        }
    });
}

void fleet_start_instance::on_page(const store::page& received,
                                   const store::callback<store::page>& done) {
    const auto entries = static_cast<double>(platform_.entries_of(received.items.size()));
    run_on_processor(entries * costs_.page_entry_ms,
                     [received, done](clock::time_point now) { done(received, now); });
}

void fleet_start_instance::run_on_processor(double work_ms, fleet_network::event_callback done) {
    const clock::duration occupied{std::lround(work_ms / own_.cpu_share)};
    processor_free_at_ = std::max(processor_free_at_, network_.now()) + occupied;
    network_.schedule(processor_free_at_, std::move(done));
}

}  // namespace bramleytrack::experiments
