#include "distribution/configuration_sync.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "configuration/parse.h"
#include "configuration/patch.h"
#include "wire/codec.h"

namespace bramleytrack::distribution {
namespace {

constexpr std::size_t max_refused = 16;
// Parts follow each other within a round trip. A request or a part that was lost is asked for again
// after repeat_after, and of another peer after give_up_after.
constexpr clock::duration repeat_after{300};
constexpr clock::duration give_up_after{1'000};

}  // namespace

bool configuration_sync::on_store(std::string_view text, std::int64_t version) {
    const auto& current = shared_.configuration;
    const auto digest = hash_of(text);
    if (version < current.version) {
        // Failure: a store that was restarted from an older copy shows an older version, and the
        // fleet would fall back to it: a zone that is out would get packets again.
        if (!is_refused(version, digest)) {
            refuse(version, digest, "store", "older than the version in force");
        }
        return false;
    }
    if (version == current.version && digest == current.digest) {
        shared_.is_configuration_confirmed = true;
        return false;
    }
    if (is_refused(version, digest)) {
        return false;
    }
    if (version == current.version) {
        shared_.out.log(log_event{"configuration_replaced"}
                            .with("version", version)
                            .with("reason", "the store shows another text under this version"));
    }
    const bool is_new = put_in_force(text, version, "store");
    shared_.is_configuration_confirmed = shared_.is_configuration_confirmed || is_new;
    return is_new;
}

bool configuration_sync::is_better(std::int64_t version, std::uint64_t digest,
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
        note_conflict(message.sender, digest);
    }
    if (!is_better(version, digest, message.beat.configuration_confirmed) ||
        is_refused(version, digest)) {
        return;
    }
    // Failure: every peer that has the newer text sends it at once, eight whole texts for one
    // change. One transfer runs at a time, from one peer, and another peer is asked only when this
    // one has fallen silent.
    if (incoming_) {
        const auto silence = now - incoming_->last_progress();
        const bool is_same = incoming_->peer() == message.sender;
        if (silence < (is_same ? repeat_after : give_up_after)) {
            return;
        }
        if (is_same) {
            incoming_->note_attempt(now);
            ask(incoming_->first_missing());
            return;
        }
    }
    incoming_.emplace(message.sender, version, digest, now);
    ask(0);
}

void configuration_sync::ask(std::int32_t offset) {
    wire::configuration_wanted wanted;
    wanted.known_version = shared_.configuration.version;
    wanted.known_digest =
        is_whole_wanted_ ? 0 : static_cast<std::int64_t>(shared_.configuration.digest);
    wanted.transfer = incoming_->transfer();
    wanted.offset = offset;
    wire::peer_message message;
    message.__set_configuration_request(wanted);
    shared_.out.send_peer(incoming_->peer(), std::move(message));
}

void configuration_sync::on_wanted(std::string_view sender,
                                   const wire::configuration_wanted& wanted) {
    const auto& current = shared_.configuration;
    const auto known = static_cast<std::uint64_t>(wanted.known_digest);
    if (current.version == 0 || wanted.known_version > current.version ||
        (wanted.known_version == current.version && known == current.digest)) {
        return;
    }
    const auto& bytes = history_.transfer_from(known, current.text);
    const auto transfer = static_cast<std::int64_t>(hash_of(bytes));
    const auto size = static_cast<std::int32_t>(bytes.size());
    // The transfer that was begun is gone when this instance has come to a newer version.
    const bool is_continued = wanted.transfer == transfer && wanted.offset > 0;
    auto offset = is_continued ? wanted.offset - wanted.offset % configuration::part_size : 0;
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
    if (incoming_->is_whole()) {
        complete();
    } else if (const auto offset = incoming_->next_request()) {
        ask(*offset);
    }
}

void configuration_sync::complete() {
    const auto received = std::move(*incoming_);
    incoming_.reset();
    // Failure: the store or another peer was faster than this transfer, and the older text that it
    // carries would revert the change.
    if (!is_better(received.version(), received.digest(), true)) {
        return;
    }
    auto decoded = wire::decode_transfer(received.bytes());
    auto* transfer = std::get_if<wire::configuration_transfer>(&decoded);
    if (transfer == nullptr || transfer->steps.empty()) {
        refuse(received.version(), received.digest(), received.peer(), "malformed transfer");
        return;
    }
    const bool is_chain = transfer->base_digest != 0;
    std::string text = is_chain ? shared_.configuration.text : std::string{};
    for (const auto& step : transfer->steps) {
        auto next = configuration::apply_patch(text, step.patch);
        // Failure: a patch meets another base than it was made for and gives a text that no
        // operator wrote. Its digest can't be that of the step.
        if (!next || hash_of(*next) != static_cast<std::uint64_t>(step.digest)) {
            if (is_chain) {
                is_whole_wanted_ = true;  // the next heartbeat leads to a full fetch
            } else {
                refuse(received.version(), received.digest(), received.peer(), "wrong digest");
            }
            return;
        }
        text = std::move(*next);
    }
    const bool is_announced = hash_of(text) == received.digest();
    if (!is_announced) {
        refuse(received.version(), received.digest(), received.peer(), "wrong digest");
        return;
    }
    is_whole_wanted_ = false;
    put_in_force(text, received.version(), received.peer());
}

bool configuration_sync::put_in_force(std::string_view text, std::int64_t version,
                                      std::string_view source) {
    auto parsed = configuration::parse_configuration(text, version);
    if (const auto* faults = std::get_if<std::vector<configuration::fault>>(&parsed)) {
        refuse(version, hash_of(text), source, to_string(faults->front()));
        return false;
    }
    auto& next = std::get<configuration::configuration>(parsed);
    auto& current = shared_.configuration;
    if (current.version > 0) {
        wire::configuration_step step;
        step.version = version;
        step.digest = static_cast<std::int64_t>(next.digest);
        step.patch = configuration::make_patch(current.text, text);
        history_.add(current.digest, std::move(step));
    }
    next.keep_removed(current);
    shared_.previous.remember(std::exchange(current, std::move(next)));
    shared_.is_configuration_confirmed = false;
    shared_.out.log(
        log_event{"configuration_in_force"}.with("version", version).with("source", source));
    return true;
}

bool configuration_sync::is_refused(std::int64_t version, std::uint64_t digest) const {
    return std::ranges::find(refused_, refused_text{version, digest}) != refused_.end();
}

void configuration_sync::refuse(std::int64_t version, std::uint64_t digest, std::string_view source,
                                std::string_view fault) {
    shared_.out.log(log_event{"configuration_refused"}
                        .with("version", version)
                        .with("source", source)
                        .with("fault", fault));
    refused_.push_back({version, digest});
    if (refused_.size() > max_refused) {
        refused_.pop_front();
    }
}

void configuration_sync::note_conflict(std::string_view peer, std::uint64_t digest) {
    if (digest == conflicting_digest_) {
        return;
    }
    conflicting_digest_ = digest;
    is_store_wanted_ = true;
    shared_.out.log(log_event{"configuration_conflict"}
                        .with("version", shared_.configuration.version)
                        .with("peer", peer));
}

}  // namespace bramleytrack::distribution
