#include "net/http_server.h"

#include <http_parser.h>

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "net/tcp.h"
#include "net/udp_endpoint.h"

namespace bramleytrack::net {
namespace {

// The largest request body: the store holds values of up to 1 MB.
constexpr std::size_t max_body_size = std::size_t{2} * 1024 * 1024;
// More than all processes of a host open to this server; further ones wait in the listen backlog.
constexpr std::size_t max_connections = 256;
// A connection with no request pending that neither sends nor receives for this long is closed, so
// that it doesn't count against max_connections.
constexpr clock::duration max_idle_time{60'000};
constexpr double housekeeping_interval_seconds = 5.0;

std::string decode_percent(std::string_view text) {
    constexpr int hexadecimal = 16;
    constexpr std::size_t digits = 2;
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned code = 0;
        const auto* first = text.data() + i + 1;
        const bool is_escape =
            text[i] == '%' && i + digits < text.size() &&
            std::from_chars(first, first + digits, code, hexadecimal).ptr == first + digits;
        result += is_escape ? static_cast<char>(code) : text[i];
        i += is_escape ? digits : 0;
    }
    return result;
}

void parse_request_target(std::string_view url, http_request& request) {
    const auto query_start = std::min(url.find('?'), url.size());
    request.path = decode_percent(url.substr(0, query_start));
    auto remaining = query_start < url.size() ? url.substr(query_start + 1) : std::string_view{};
    while (!remaining.empty()) {
        const auto pair_end = std::min(remaining.find('&'), remaining.size());
        const auto pair = remaining.substr(0, pair_end);
        const auto equals = std::min(pair.find('='), pair.size());
        const auto value = equals < pair.size() ? pair.substr(equals + 1) : std::string_view{};
        request.query[decode_percent(pair.substr(0, equals))] = decode_percent(value);
        remaining.remove_prefix(std::min(pair_end + 1, remaining.size()));
    }
}

}  // namespace

std::string http_request::query_or(std::string_view key, std::string_view fallback) const {
    const auto found = query.find(key);
    return found == query.end() ? std::string{fallback} : found->second;
}

class http_server::connection : public std::enable_shared_from_this<http_server::connection> {
public:
    connection(ev::loop_ref loop, descriptor socket, const http_handler& handler)
        : socket_{std::move(socket)}, handler_{handler}, readable_{loop}, writable_{loop} {
        settings_.on_url = &connection::on_url;
        settings_.on_body = &connection::on_body;
        settings_.on_message_complete = &connection::on_complete;
        http_parser_init(&parser_, HTTP_REQUEST);
        parser_.data = this;
        readable_.set<connection, &connection::on_readable>(this);
        writable_.set<connection, &connection::on_writable>(this);
        readable_.start(socket_.get(), ev::READ);
        writable_.set(socket_.get(), ev::WRITE);
    }
    ~connection() { end(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    bool is_closed() const { return !socket_.is_open(); }
    bool is_idle_too_long(clock::time_point now) const {
        return !has_pending_request_ && now - last_active_at_ > max_idle_time;
    }
    void end() {
        readable_.stop();
        writable_.stop();
        socket_ = descriptor{};
    }

private:
    void on_readable(ev::io& /*watcher*/, int /*events*/) {
        const auto self = shared_from_this();
        last_active_at_ = clock::now();
        const bool is_open = read_available(socket_.get(), input_);
        parse();
        if (!is_open) {
            end();
        }
    }

    // Handles one request at a time: pipelined requests stay in the input buffer until the response
    // to the current one has been queued.
    void parse() {
        while (!has_pending_request_ && !is_closed() && !input_.empty()) {
            const auto consumed =
                http_parser_execute(&parser_, &settings_, input_.data(), input_.size());
            input_.erase(0, consumed);
            const auto error = HTTP_PARSER_ERRNO(&parser_);
            if (error == HPE_PAUSED) {
                http_parser_pause(&parser_, 0);
                dispatch();
            } else if (error != HPE_OK || parser_.upgrade != 0) {
                end();
            }
        }
        if (input_.size() > max_body_size) {
            end();
        }
    }

    void dispatch() {
        has_pending_request_ = true;
        must_close_ = http_should_keep_alive(&parser_) == 0;
        request_.method = http_method_str(static_cast<http_method>(parser_.method));
        parse_request_target(url_, request_);
        url_.clear();
        const auto request = std::exchange(request_, {});
        handler_(request, [weak = weak_from_this()](const http_response& response) {
            if (const auto self = weak.lock()) {
                self->send_response(response);
            }
        });
    }

    void send_response(const http_response& response) {
        if (is_closed()) {
            return;
        }
        const auto status = static_cast<http_status>(response.status);
        output_ += "HTTP/1.1 " + std::to_string(response.status) + " " + http_status_str(status) +
                   "\r\nContent-Type: " + response.content_type +
                   "\r\nContent-Length: " + std::to_string(response.body.size()) +
                   (must_close_ ? "\r\nConnection: close\r\n\r\n" : "\r\n\r\n") + response.body;
        has_pending_request_ = false;
        write();
        parse();
    }

    void on_writable(ev::io& /*watcher*/, int /*events*/) {
        const auto self = shared_from_this();
        write();
    }

    void write() {
        last_active_at_ = clock::now();
        const bool is_open = write_available(socket_.get(), output_);
        if (!is_open || (output_.empty() && must_close_ && !has_pending_request_)) {
            end();
        } else if (output_.empty()) {
            writable_.stop();
        } else {
            writable_.start();
        }
    }

    static int on_url(http_parser* parser, const char* data, std::size_t size) {
        static_cast<connection*>(parser->data)->url_.append(data, size);
        return 0;
    }

    static int on_body(http_parser* parser, const char* data, std::size_t size) {
        auto& body = static_cast<connection*>(parser->data)->request_.body;
        body.append(data, size);
        return body.size() > max_body_size ? 1 : 0;
    }

    static int on_complete(http_parser* parser) {
        http_parser_pause(parser, 1);
        return 0;
    }

    descriptor socket_;
    const http_handler& handler_;
    ev::io readable_;
    ev::io writable_;
    http_parser parser_{};
    http_parser_settings settings_{};
    http_request request_;
    std::string url_;
    std::string input_;
    std::string output_;
    clock::time_point last_active_at_ = clock::now();
    bool has_pending_request_ = false;  // the handler hasn't responded yet
    bool must_close_ = false;           // after the response to it
};

struct http_server::implementation {
    http_handler handler;
    ev::loop_ref loop;
    descriptor listener;
    ev::io acceptable;
    ev::timer housekeeping;
    std::vector<std::shared_ptr<connection>> connections;

    implementation(ev::loop_ref event_loop, http_handler request_handler,
                   const sockaddr_in& address)
        : handler{std::move(request_handler)},
          loop{event_loop},
          listener{listen_on(address)},
          acceptable{event_loop},
          housekeeping{event_loop} {
        acceptable.set<implementation, &implementation::on_acceptable>(this);
        acceptable.start(listener.get(), ev::READ);
        housekeeping.set<implementation, &implementation::on_housekeeping>(this);
        housekeeping.start(housekeeping_interval_seconds, housekeeping_interval_seconds);
    }

    void on_acceptable(ev::io& /*watcher*/, int /*events*/) {
        std::erase_if(connections, [](const auto& each) { return each->is_closed(); });
        while (connections.size() < max_connections) {
            auto accepted = accept_from(listener.get());
            if (!accepted.is_open()) {
                return;
            }
            connections.push_back(std::make_shared<connection>(loop, std::move(accepted), handler));
        }
    }

    void on_housekeeping(ev::timer& /*watcher*/, int /*events*/) {
        const auto now = clock::now();
        std::erase_if(connections, [now](const auto& each) {
            return each->is_closed() || each->is_idle_too_long(now);
        });
    }
};

http_server::http_server(ev::loop_ref loop, std::string_view address, http_handler handler) {
    const auto local = parse_address(address);
    if (!local) {
        throw std::runtime_error("invalid listen address: " + std::string{address});
    }
    implementation_ = std::make_unique<implementation>(loop, std::move(handler), *local);
}

http_server::~http_server() = default;

}  // namespace bramleytrack::net
