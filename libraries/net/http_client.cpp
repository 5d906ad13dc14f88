#include "net/http_client.h"

#include <http_parser.h>

#include <algorithm>

#include "net/tcp.h"
#include "net/udp_endpoint.h"

namespace bramleytrack::net {
namespace {

constexpr double milliseconds_per_second = 1000.0;
// An answer holds a page of the store: 500 items, or a megabyte that is a third longer in base64.
constexpr std::size_t max_answer_size = std::size_t{4} * 1024 * 1024;
// A connection that has been idle for longer may have been forgotten by whatever lies between.
constexpr clock::duration longest_idle{10'000};

std::string head_of(const http_call& call) {
    std::string text =
        call.method + " " + call.path + " HTTP/1.1\r\nHost: " + to_string(call.address) + "\r\n";
    if (!call.body.empty() || call.method != "GET") {
        text += "Content-Type: application/json\r\nContent-Length: " +
                std::to_string(call.body.size()) + "\r\n";
    }
    return text + "\r\n";
}

}  // namespace

class http_client::connection {
public:
    connection(http_client& owner, const sockaddr_in& address)
        : owner_{owner},
          address_{address},
          readable_{owner.loop_},
          writable_{owner.loop_},
          expiry_{owner.loop_} {
        settings_.on_body = &connection::on_body;
        settings_.on_message_complete = &connection::on_complete;
    }

    bool is_idle_for(const sockaddr_in& address) const {
        return is_idle_ && address.sin_addr.s_addr == address_.sin_addr.s_addr &&
               address.sin_port == address_.sin_port && clock::now() - idle_since_ < longest_idle;
    }
    bool has_ended() const { return has_ended_; }

    void begin(http_call wanted, http_callback done) {
        is_reused_ = socket_.is_open();
        is_idle_ = false;
        has_answer_begun_ = false;
        call_ = std::move(wanted);
        done_ = std::move(done);
        result_ = {};
        http_parser_init(&parser_, HTTP_RESPONSE);
        parser_.data = this;
        output_ = head_of(call_) + call_.body;
        expiry_.set<connection, &connection::on_expiry>(this);
        expiry_.start(static_cast<double>(call_.limit.count()) / milliseconds_per_second);
        if (!is_reused_ && !connect()) {
            // The caller must not be called back before its own call has returned.
            expiry_.stop();
            expiry_.start(0.0);
            return;
        }
        if (is_reused_) {
            write();
        } else {
            writable_.start();
        }
    }

private:
    bool connect() {
        socket_ = begin_connect(address_);
        if (!socket_.is_open()) {
            return false;
        }
        readable_.set<connection, &connection::on_readable>(this);
        writable_.set<connection, &connection::on_writable>(this);
        readable_.start(socket_.get(), ev::READ);
        writable_.set(socket_.get(), ev::WRITE);
        return true;
    }

    void on_writable(ev::io& /*watcher*/, int /*events*/) { write(); }

    void write() {
        if (!write_available(socket_.get(), output_)) {
            fail();
        } else if (output_.empty()) {
            writable_.stop();
        } else {
            writable_.start();
        }
    }

    void on_readable(ev::io& /*watcher*/, int /*events*/) {
        std::string input;
        const bool is_open = read_available(socket_.get(), input);
        if (!input.empty() && !is_idle_) {
            has_answer_begun_ = true;
            const auto parsed =
                http_parser_execute(&parser_, &settings_, input.data(), input.size());
            const bool is_broken =
                HTTP_PARSER_ERRNO(&parser_) != HPE_OK && HTTP_PARSER_ERRNO(&parser_) != HPE_PAUSED;
            if (is_broken || result_.body.size() > max_answer_size) {
                fail();
                return;
            }
            if (is_complete_) {
                finish(parsed == input.size() && is_open);
                return;
            }
        }
        if (!is_open) {
            fail();
        }
    }

    void on_expiry(ev::timer& /*watcher*/, int /*events*/) {
        is_reused_ = false;  // no second try: the time is over
        fail();
    }

    static int on_body(http_parser* parser, const char* data, std::size_t size) {
        static_cast<connection*>(parser->data)->result_.body.append(data, size);
        return 0;
    }

    static int on_complete(http_parser* parser) {
        auto& self = *static_cast<connection*>(parser->data);
        self.is_complete_ = true;
        self.result_.status = static_cast<int>(parser->status_code);
        http_parser_pause(parser, 1);
        return 0;
    }

    void finish(bool may_keep) {
        is_complete_ = false;
        expiry_.stop();
        http_parser_pause(&parser_, 0);
        const bool is_kept = may_keep && http_should_keep_alive(&parser_) != 0;
        if (is_kept) {
            is_idle_ = true;
            idle_since_ = clock::now();
        } else {
            end();
        }
        deliver(std::move(result_));
    }

    // Failure: a kept connection was closed by the other end while it was idle, and the call would
    // fail though the other end is well. A read is repeated once on a new connection; a write
    // isn't, since it may have taken effect.
    void fail() {
        const bool may_repeat =
            is_reused_ && !has_answer_begun_ && !is_idle_ && call_.method == "GET";
        const bool was_idle = is_idle_;
        end();
        if (may_repeat) {
            owner_.begin(std::move(call_), std::move(done_), false);
        } else if (!was_idle) {
            deliver({});
        }
    }

    void deliver(http_result result) {
        const auto done = std::move(done_);
        done_ = nullptr;
        if (done) {
            done(std::move(result));
        }
    }

    void end() {
        readable_.stop();
        writable_.stop();
        expiry_.stop();
        socket_ = descriptor{};
        is_idle_ = false;
        has_ended_ = true;
        owner_.collector_.start();
    }

    http_client& owner_;
    sockaddr_in address_;
    descriptor socket_;
    ev::io readable_;
    ev::io writable_;
    ev::timer expiry_;
    http_parser parser_{};
    http_parser_settings settings_{};
    http_call call_;
    http_callback done_;
    http_result result_;
    std::string output_;
    clock::time_point idle_since_;
    bool is_idle_ = false;           // open, no call in progress
    bool is_reused_ = false;         // has served a call before this one
    bool has_answer_begun_ = false;  // of the call in progress
    bool is_complete_ = false;       // its answer is
    bool has_ended_ = false;
};

http_client::http_client(ev::loop_ref loop) : loop_{loop}, collector_{loop} {
    collector_.set<http_client, &http_client::collect_ended>(this);
}

http_client::~http_client() {
    collector_.stop();
}

void http_client::collect_ended() {
    std::erase_if(connections_, [](const auto& each) { return each->has_ended(); });
    collector_.stop();
}

http_client::connection* http_client::find_idle(const sockaddr_in& address) {
    const auto found = std::ranges::find_if(
        connections_, [&](const auto& each) { return each->is_idle_for(address); });
    return found == connections_.end() ? nullptr : found->get();
}

void http_client::call(http_call wanted, http_callback done) {
    begin(std::move(wanted), std::move(done), true);
}

void http_client::begin(http_call wanted, http_callback done, bool may_reuse) {
    auto* chosen = may_reuse ? find_idle(wanted.address) : nullptr;
    if (chosen == nullptr) {
        connections_.push_back(std::make_unique<connection>(*this, wanted.address));
        chosen = connections_.back().get();
    }
    chosen->begin(std::move(wanted), std::move(done));
}

void http_client::start(std::string_view method, std::string_view url, std::string body,
                        clock::duration limit, http_callback done) {
    constexpr std::string_view scheme = "http://";
    const auto rest = url.starts_with(scheme) ? url.substr(scheme.size()) : std::string_view{};
    const auto slash = std::min(rest.find('/'), rest.size());
    const auto address = parse_address(rest.substr(0, slash));
    if (!address) {
        done({});
        return;
    }
    const auto path = rest.substr(slash);
    call({.method = std::string{method},
          .address = *address,
          .path = path.empty() ? "/" : std::string{path},
          .body = std::move(body),
          .limit = limit},
         std::move(done));
}

void http_client::get(std::string_view url, clock::duration limit, http_callback done) {
    start("GET", url, {}, limit, std::move(done));
}

void http_client::put(std::string_view url, std::string body, clock::duration limit,
                      http_callback done) {
    start("PUT", url, std::move(body), limit, std::move(done));
}

}  // namespace bramleytrack::net
