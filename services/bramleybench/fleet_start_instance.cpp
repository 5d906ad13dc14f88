#include "fleet_start_instance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bramleytrack::experiments {
namespace {

constexpr fleet_network::node store_node = 0;
constexpr clock::duration peer_latency{1};
// As in the daemon's exchange with peers.
constexpr clock::duration copy_timeout{700};
constexpr clock::duration failed_query_pause{200};
constexpr clock::duration max_copy_age{1'000};

std::vector<std::string> all_shard_prefixes() {
    std::vector<std::string> result;
    for (std::size_t shard = 0; shard < discovery::peer_shards; ++shard) {
        result.push_back(shard_prefix(shard));
    }
    return result;
}

}  // namespace

fleet_start_instance::fleet_start_instance(fleet_network& network, fleet_store_model& platform,
                                           const traits& own)
    : network_{network},
      platform_{platform},
      own_{own},
      feed_{*this, mirror_, own.seed},
      startup_{*this, feed_, platform_, fleet::startup_plan{own.name, own.link_mbps, {}, own.seed},
               all_shard_prefixes()},
      copy_budget_{own.link_mbps} {
    startup_.on_copy_due(
        [this](const fleet::pull_source& from, clock::time_point now) { query(from, now); });
    feed_.on_change([this](std::span<const store::event> /*events*/, clock::time_point now) {
        become_ready(now);
    });
}

void fleet_start_instance::tick(clock::time_point now) {
    if (own_.uses_peers) {
        startup_.tick(copy_, now);
    } else {
        feed_.tick(now);
    }
}

void fleet_start_instance::query(const fleet::pull_source& from, clock::time_point now) {
    copy_ = fleet::copy_progress::requested;
    auto* peer = find_peer_(from.address);
    network_.schedule(now + peer_latency, [this, peer](clock::time_point asked_at) {
        const auto answer = peer->admit_copy(asked_at);
        const auto* size = std::get_if<std::int64_t>(&answer);
        if (size == nullptr) {
            on_refused(std::get<fleet::copy_refusal>(answer), asked_at);
            return;
        }
        copy_ = fleet::copy_progress::arriving;
        network_.send({.from = peer->node(),
                       .to = own_.node,
                       .bytes = *size,
                       .latency = peer_latency,
                       .timeout = copy_timeout,
                       .restarts_timeout = true},
                      [this, peer](bool is_complete, clock::time_point ended_at) {
                          if (is_complete) {
                              receive_copy(*peer);
                              return;
                          }
                          network_.schedule(
                              ended_at + failed_query_pause,
                              [this](clock::time_point) { copy_ = fleet::copy_progress::none; });
                      });
    });
}

void fleet_start_instance::on_refused(fleet::copy_refusal reason, clock::time_point now) {
    copy_ = fleet::copy_progress::none;
    startup_.on_copy_refused(reason, now);
}

std::variant<std::int64_t, fleet::copy_refusal> fleet_start_instance::admit_copy(
    clock::time_point now) {
    if (!has_state_) {
        return feed_.is_first_read_progressing(now) ? fleet::copy_refusal::reading
                                                    : fleet::copy_refusal::no_state;
    }
    const auto entries = platform_.entries_of(mirror_.size());
    const auto size = entries * costs_.bytes_per_copied_entry;
    if (!copy_budget_.admits(size, now)) {
        return fleet::copy_refusal::busy;
    }
    if (now - copy_encoded_at_ > max_copy_age) {
        copy_encoded_at_ = now;
        run_on_processor(static_cast<double>(entries) * costs_.encoded_entry_ms,
                         [](clock::time_point) {});
    }
    return size;
}

void fleet_start_instance::hold_state() {
    mirror_.replace(platform_.items(), platform_.revision());
    become_ready(network_.now());
}

void fleet_start_instance::become_ready(clock::time_point now) {
    if (!has_state_) {
        has_state_ = true;
        ready_at_ = now;
        startup_.finish();
        feed_.skip_first_read(now);
    }
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

void fleet_start_instance::range(std::string_view prefix, std::string_view after_key,
                                 store::read_freshness /*freshness*/, clock::duration timeout,
                                 store::callback<store::page> done) {
    auto sent = platform_.read_page(prefix, after_key);
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
    const auto entries = static_cast<double>(platform_.entries_of(received));
    run_on_processor(entries * costs_.page_entry_ms,
                     [received, done](clock::time_point now) { done(received, now); });
}

void fleet_start_instance::run_on_processor(double work_ms, fleet_network::event_callback done) {
    const clock::duration occupied{std::lround(work_ms / own_.cpu_share)};
    processor_free_at_ = std::max(processor_free_at_, network_.now()) + occupied;
    network_.schedule(processor_free_at_, std::move(done));
}

}  // namespace bramleytrack::experiments
