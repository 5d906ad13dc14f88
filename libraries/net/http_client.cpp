#include "net/http_client.h"

#include <http_parser.h>

#include <algorithm>

#include "net/tcp.h"
#include "net/udp_endpoint.h"

namespace bramleytrack::net {
namespace {

constexpr double milliseconds_per_second = 1000.0;
// The largest response is a page of the store: 500 items, or 1 MB of values, which base64 makes a
// third larger.
constexpr std::size_t max_response_size = std::size_t{4} * 1024 * 1024;
// After a longer idle time, a NAT or firewall on the path may have dropped the connection's state.
// Such a connection is no longer selected for a call. It stays open until the server closes it or
// it fails.
constexpr clock::duration max_idle_time{10'000};

std::string format_request_head(const http_call& call) {
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
          timeout_timer_{owner.loop_} {
        settings_.on_body = &connection::on_body;
        settings_.on_message_complete = &connection::on_complete;
    }

    bool is_reusable_for(const sockaddr_in& address) const {
        return is_idle_ && address.sin_addr.s_addr == address_.sin_addr.s_addr &&
               address.sin_port == address_.sin_port && clock::now() - idle_since_ < max_idle_time;
    }
    bool is_closed() const { return is_closed_; }

    void send_request(http_call request, http_callback done) {
        is_reused_ = socket_.is_open();
        is_idle_ = false;
        has_response_data_ = false;
        call_ = std::move(request);
        done_ = std::move(done);
        result_ = {};
        http_parser_init(&parser_, HTTP_RESPONSE);
        parser_.data = this;
        output_ = format_request_head(call_) + call_.body;
        timeout_timer_.set<connection, &connection::on_timeout>(this);
        start_timeout();
        if (!is_reused_ && !connect()) {
            // Reports the failure from the event loop, so that the callback doesn't run before
            // call() has returned. This doesn't hold for a reused connection: if write() fails
            // below and the request isn't a GET, fail() runs the callback at once.
            timeout_timer_.stop();
            timeout_timer_.start(0.0);
            return;
        }
        if (is_reused_) {
            write();
        } else {
            writable_.start();
        }
    }

private:
    void start_timeout() {
        timeout_timer_.stop();
        timeout_timer_.start(static_cast<double>(call_.timeout.count()) / milliseconds_per_second);
    }

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
            has_response_data_ = true;
            owner_.last_received_at_ = clock::now();
            if (call_.scope == timeout_scope::between_bytes) {
                start_timeout();
            }
            const auto parsed =
                http_parser_execute(&parser_, &settings_, input.data(), input.size());
            const bool is_malformed =
                HTTP_PARSER_ERRNO(&parser_) != HPE_OK && HTTP_PARSER_ERRNO(&parser_) != HPE_PAUSED;
            if (is_malformed || result_.body.size() > max_response_size) {
                fail();
                return;
            }
            if (is_response_complete_) {
                finish(parsed == input.size() && is_open);
                return;
            }
        }
        if (!is_open) {
            fail();
        }
    }

    void on_timeout(ev::timer& /*watcher*/, int /*events*/) {
        // Prevents a retry after a timeout. The timeout is per attempt: a GET that fail() retries
        // gets the full timeout again.
        is_reused_ = false;
        fail();
    }

    static int on_body(http_parser* parser, const char* data, std::size_t size) {
        static_cast<connection*>(parser->data)->result_.body.append(data, size);
        return 0;
    }

    static int on_complete(http_parser* parser) {
        auto& self = *static_cast<connection*>(parser->data);
        self.is_response_complete_ = true;
        self.result_.status = static_cast<int>(parser->status_code);
        http_parser_pause(parser, 1);
        return 0;
    }

    void finish(bool may_keep_open) {
        is_response_complete_ = false;
        timeout_timer_.stop();
        http_parser_pause(&parser_, 0);
        const bool stays_open = may_keep_open && http_should_keep_alive(&parser_) != 0;
        if (stays_open) {
            is_idle_ = true;
            idle_since_ = clock::now();
        } else {
            close();
        }
        invoke_callback(std::move(result_));
    }

    // The server may close a keep-alive connection while it is idle; the next call on it would
    // then fail although the server is healthy. A GET is retried once on a new connection. Any
    // other method isn't retried, since the request may have taken effect.
    void fail() {
        const bool may_repeat =
            is_reused_ && !has_response_data_ && !is_idle_ && call_.method == "GET";
        const bool was_idle = is_idle_;
        close();
        if (may_repeat) {
            owner_.send_request(std::move(call_), std::move(done_), false);
        } else if (!was_idle) {
            invoke_callback({});
        }
    }

    void invoke_callback(http_result result) {
        const auto done = std::move(done_);
        done_ = nullptr;
        if (done) {
            done(std::move(result));
        }
    }

    void close() {
        readable_.stop();
        writable_.stop();
        timeout_timer_.stop();
        socket_ = descriptor{};
        is_idle_ = false;
        is_closed_ = true;
        owner_.cleanup_.start();
    }

    http_client& owner_;
    sockaddr_in address_;
    descriptor socket_;
    ev::io readable_;
    ev::io writable_;
    ev::timer timeout_timer_;
    http_parser parser_{};
    http_parser_settings settings_{};
    http_call call_;
    http_callback done_;
    http_result result_;
    std::string output_;
    clock::time_point idle_since_;
    bool is_idle_ = false;               // open, no call in progress
    bool is_reused_ = false;             // has served a call before this one
    bool has_response_data_ = false;     // of the call in progress
    bool is_response_complete_ = false;  // of the call in progress
    bool is_closed_ = false;
};

http_client::http_client(ev::loop_ref loop) : loop_{loop}, cleanup_{loop} {
    cleanup_.set<http_client, &http_client::destroy_closed_connections>(this);
}

http_client::~http_client() {
    cleanup_.stop();
}

void http_client::destroy_closed_connections() {
    std::erase_if(connections_, [](const auto& each) { return each->is_closed(); });
    cleanup_.stop();
}

http_client::connection* http_client::find_idle(const sockaddr_in& address) {
    const auto found = std::ranges::find_if(
        connections_, [&](const auto& each) { return each->is_reusable_for(address); });
    return found == connections_.end() ? nullptr : found->get();
}

void http_client::call(http_call request, http_callback done) {
    send_request(std::move(request), std::move(done), true);
}

void http_client::send_request(http_call request, http_callback done, bool may_reuse) {
    auto* selected = may_reuse ? find_idle(request.address) : nullptr;
    if (selected == nullptr) {
        connections_.push_back(std::make_unique<connection>(*this, request.address));
        selected = connections_.back().get();
    }
    selected->send_request(std::move(request), std::move(done));
}

void http_client::call_url(std::string_view url, http_call request, http_callback done) {
    constexpr std::string_view scheme = "http://";
    const auto authority_and_path =
        url.starts_with(scheme) ? url.substr(scheme.size()) : std::string_view{};
    const auto slash = std::min(authority_and_path.find('/'), authority_and_path.size());
    const auto address = parse_address(authority_and_path.substr(0, slash));
    if (!address) {
        done({});
        return;
    }
    const auto path = authority_and_path.substr(slash);
    request.address = *address;
    request.path = path.empty() ? "/" : std::string{path};
    call(std::move(request), std::move(done));
}

void http_client::get(std::string_view url, clock::duration timeout, http_callback done,
                      timeout_scope scope) {
    call_url(url, {.method = "GET", .path = {}, .body = {}, .timeout = timeout, .scope = scope},
             std::move(done));
}

void http_client::put(std::string_view url, std::string body, clock::duration timeout,
                      http_callback done) {
    call_url(url, {.method = "PUT", .path = {}, .body = std::move(body), .timeout = timeout},
             std::move(done));
}

}  // namespace bramleytrack::net
