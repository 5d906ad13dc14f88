#include "distribution/configuration_sync.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "configuration/parse.h"
#include "configuration/patch.h"
#include "wire/codec.h"

namespace bramleytrack::distribution {
namespace {

constexpr std::size_t max_rejected = 16;
// Parts follow each other within a round trip. A transfer without progress for
// request_retry_interval is requested again on the next heartbeat of the same peer that announces a
// newer text. Each such repetition restarts the time-out, so another peer is used only once the
// first one has sent neither such heartbeats nor parts for peer_timeout.
constexpr clock::duration request_retry_interval{300};
constexpr clock::duration peer_timeout{1'000};

}  // namespace

bool configuration_sync::on_store(std::string_view text, std::int64_t version) {
    const auto& current = shared_.configuration;
    const auto digest = hash_of(text);
    if (version < current.version) {
        // A store that was restored from an older copy returns an older version. Accepting it would
        // revert the fleet: a zone that is out would get packets again.
        if (!is_rejected(version, digest)) {
            reject(version, digest, "store", "older than the version in force");
        }
        return false;
    }
    if (version == current.version && digest == current.digest) {
        shared_.is_configuration_confirmed = true;
        return false;
    }
    if (is_rejected(version, digest)) {
        return false;
    }
    if (version == current.version) {
        // Logged before the text is validated: if activate() rejects it, configuration_refused
        // follows and the current text stays active.
        shared_.out.log(log_event{"configuration_replaced"}
                            .with("version", version)
                            .with("reason", "the store shows another text under this version"));
    }
    const bool is_new = activate(text, version, "store");
    shared_.is_configuration_confirmed = shared_.is_configuration_confirmed || is_new;
    return is_new;
}

bool configuration_sync::supersedes_current(std::int64_t version, std::uint64_t digest,
                                            bool is_confirmed) const {
    const auto& current = shared_.configuration;
    if (version != current.version) {
        return version > current.version;
    }
    return digest != current.digest && is_confirmed && !shared_.is_configuration_confirmed;
}

void configuration_sync::on_heartbeat(const wire::peer_message& message, clock::time_point now) {
    const auto version = message.beat.configuration_version;
    const auto digest = static_cast<std::uint64_t>(message.beat.configuration_digest);
    if (version == shared_.configuration.version && digest != shared_.configuration.digest) {
        report_conflict(message.sender, digest);
    }
    if (!supersedes_current(version, digest, message.beat.configuration_confirmed) ||
        is_rejected(version, digest)) {
        return;
    }
    // If every peer with the newer text sent it at once, each change would cost one whole text per
    // peer. One transfer runs at a time, from one peer. A heartbeat of that peer repeats the
    // request and restarts the time-out, even if no part has arrived; a heartbeat of another peer
    // replaces the transfer only after peer_timeout without parts and repetitions.
    if (incoming_) {
        const auto idle_time = now - incoming_->last_progress();
        const bool is_same_peer = incoming_->peer() == message.sender;
        if (idle_time < (is_same_peer ? request_retry_interval : peer_timeout)) {
            return;
        }
        if (is_same_peer) {
            incoming_->restart_timeout(now);
            request_parts(incoming_->first_missing());
            return;
        }
    }
    incoming_.emplace(message.sender, version, digest, now);
    request_parts(0);
}

void configuration_sync::request_parts(std::int32_t offset) {
    wire::configuration_wanted request;
    request.known_version = shared_.configuration.version;
    request.known_digest =
        is_full_transfer_needed_ ? 0 : static_cast<std::int64_t>(shared_.configuration.digest);
    request.transfer = incoming_->transfer();
    request.offset = offset;
    wire::peer_message message;
    message.__set_configuration_request(request);
    shared_.out.send_peer(incoming_->peer(), std::move(message));
}

void configuration_sync::on_request(std::string_view sender,
                                    const wire::configuration_wanted& request) {
    const auto& current = shared_.configuration;
    const auto base_digest = static_cast<std::uint64_t>(request.known_digest);
    if (current.version == 0 || request.known_version > current.version ||
        (request.known_version == current.version && base_digest == current.digest)) {
        return;
    }
    const auto& bytes = patch_history_.transfer_from(base_digest, current.text);
    const auto transfer = static_cast<std::int64_t>(hash_of(bytes));
    const auto size = static_cast<std::int32_t>(bytes.size());
    // If this instance has activated a newer version since, the transfer starts from the beginning.
    const bool is_continued = request.transfer == transfer && request.offset > 0;
    auto offset = is_continued ? request.offset - request.offset % configuration::part_size : 0;
    for (int i = 0; i < configuration::parts_per_request && offset < size;
         ++i, offset += configuration::part_size) {
        wire::configuration_part part;
        part.version = current.version;
        part.digest = static_cast<std::int64_t>(current.digest);
        part.transfer = transfer;
        part.size = size;
        part.offset = offset;
        part.content = bytes.substr(static_cast<std::size_t>(offset), configuration::part_size);
        wire::peer_message message;
        message.__set_configuration(part);
        shared_.out.send_peer(sender, std::move(message));
    }
}

void configuration_sync::on_part(std::string_view sender, const wire::configuration_part& part,
                                 clock::time_point now) {
    if (!incoming_ || incoming_->peer() != sender || !incoming_->add(part, now)) {
        return;
    }
    if (incoming_->is_complete()) {
        finish_transfer();
    } else if (const auto offset = incoming_->next_request()) {
        request_parts(*offset);
    }
}

void configuration_sync::finish_transfer() {
    const auto received = std::move(*incoming_);
    incoming_.reset();
    // A newer text from the store or another peer may have become active during the transfer; the
    // older text must not revert it. The confirmation of the sender is passed as true because
    // on_heartbeat checked it before the transfer started.
    if (!supersedes_current(received.version(), received.digest(), /*is_confirmed=*/true)) {
        return;
    }
    auto decoded = wire::decode_transfer(received.bytes());
    auto* transfer = std::get_if<wire::configuration_transfer>(&decoded);
    if (transfer == nullptr || transfer->steps.empty()) {
        reject(received.version(), received.digest(), received.peer(), "malformed transfer");
        return;
    }
    const bool is_incremental = transfer->base_digest != 0;
    std::string text = is_incremental ? shared_.configuration.text : std::string{};
    for (const auto& step : transfer->steps) {
        auto next = configuration::apply_patch(text, step.patch);
        // A patch that is applied to another base than its own gives a text that no operator wrote.
        // The digest of the step detects it.
        if (!next || hash_of(*next) != static_cast<std::uint64_t>(step.digest)) {
            if (is_incremental) {
                is_full_transfer_needed_ = true;  // the next heartbeat triggers a full transfer
            } else {
                reject(received.version(), received.digest(), received.peer(), "wrong digest");
            }
            return;
        }
        text = std::move(*next);
    }
    const bool is_expected_text = hash_of(text) == received.digest();
    if (!is_expected_text) {
        reject(received.version(), received.digest(), received.peer(), "wrong digest");
        return;
    }
    is_full_transfer_needed_ = false;
    activate(text, received.version(), received.peer());
}

bool configuration_sync::activate(std::string_view text, std::int64_t version,
                                  std::string_view source) {
    auto parsed = configuration::parse_configuration(text, version);
    if (const auto* faults = std::get_if<std::vector<configuration::fault>>(&parsed)) {
        reject(version, hash_of(text), source, to_string(faults->front()));
        return false;
    }
    auto& next = std::get<configuration::configuration>(parsed);
    auto& current = shared_.configuration;
    if (current.version > 0) {
        wire::configuration_step step;
        step.version = version;
        step.digest = static_cast<std::int64_t>(next.digest);
        step.patch = configuration::make_patch(current.text, text);
        patch_history_.add(current.digest, std::move(step));
    }
    next.retain_removed_targets(current);
    shared_.previous.add(std::exchange(current, std::move(next)));
    shared_.is_configuration_confirmed = false;
    shared_.out.log(
        log_event{"configuration_in_force"}.with("version", version).with("source", source));
    return true;
}

bool configuration_sync::is_rejected(std::int64_t version, std::uint64_t digest) const {
    return std::ranges::find(rejected_, rejected_text{version, digest}) != rejected_.end();
}

void configuration_sync::reject(std::int64_t version, std::uint64_t digest, std::string_view source,
                                std::string_view fault) {
    shared_.out.log(log_event{"configuration_refused"}
                        .with("version", version)
                        .with("source", source)
                        .with("fault", fault));
    rejected_.push_back({version, digest});
    if (rejected_.size() > max_rejected) {
        rejected_.pop_front();
    }
}

void configuration_sync::report_conflict(std::string_view peer, std::uint64_t digest) {
    if (digest == conflicting_digest_) {
        return;
    }
    conflicting_digest_ = digest;
    is_store_reread_needed_ = true;
    shared_.out.log(log_event{"configuration_conflict"}
                        .with("version", shared_.configuration.version)
                        .with("peer", peer));
}

}  // namespace bramleytrack::distribution
