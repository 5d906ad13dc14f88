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

// The largest body that a client may send: the store holds values up to a megabyte.
constexpr std::size_t max_body_size = std::size_t{2} * 1024 * 1024;
// More connections than every process of a host has to this one; others wait in the backlog.
constexpr std::size_t max_connections = 256;
// A client that neither asks nor reads holds its place no longer than this.
constexpr clock::duration longest_idle{60'000};
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

void split_target(std::string_view url, http_request& request) {
    const auto mark = std::min(url.find('?'), url.size());
    request.path = decode_percent(url.substr(0, mark));
    auto rest = mark < url.size() ? url.substr(mark + 1) : std::string_view{};
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto pair = rest.substr(0, end);
        const auto equals = std::min(pair.find('='), pair.size());
        const auto value = equals < pair.size() ? pair.substr(equals + 1) : std::string_view{};
        request.query[decode_percent(pair.substr(0, equals))] = decode_percent(value);
        rest.remove_prefix(std::min(end + 1, rest.size()));
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

    bool has_ended() const { return !socket_.is_open(); }
    bool is_stale(clock::time_point now) const {
        return !is_answering_ && now - active_at_ > longest_idle;
    }
    void end() {
        readable_.stop();
        writable_.stop();
        socket_ = descriptor{};
    }

private:
    void on_readable(ev::io& /*watcher*/, int /*events*/) {
        const auto self = shared_from_this();
        active_at_ = clock::now();
        const bool is_open = read_available(socket_.get(), input_);
        parse();
        if (!is_open) {
            end();
        }
    }

    // One request at a time: what a client sends ahead waits until its turn.
    void parse() {
        while (!is_answering_ && !has_ended() && !input_.empty()) {
            const auto used =
                http_parser_execute(&parser_, &settings_, input_.data(), input_.size());
            input_.erase(0, used);
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
        is_answering_ = true;
        must_close_ = http_should_keep_alive(&parser_) == 0;
        request_.method = http_method_str(static_cast<http_method>(parser_.method));
        split_target(url_, request_);
        url_.clear();
        const auto request = std::exchange(request_, {});
        handler_(request, [weak = weak_from_this()](const http_response& response) {
            if (const auto self = weak.lock()) {
                self->answer(response);
            }
        });
    }

    void answer(const http_response& response) {
        if (has_ended()) {
            return;
        }
        const auto status = static_cast<http_status>(response.status);
        output_ += "HTTP/1.1 " + std::to_string(response.status) + " " + http_status_str(status) +
                   "\r\nContent-Type: " + response.content_type +
                   "\r\nContent-Length: " + std::to_string(response.body.size()) +
                   (must_close_ ? "\r\nConnection: close\r\n\r\n" : "\r\n\r\n") + response.body;
        is_answering_ = false;
        write();
        parse();
    }

    void on_writable(ev::io& /*watcher*/, int /*events*/) {
        const auto self = shared_from_this();
        write();
    }

    void write() {
        active_at_ = clock::now();
        const bool is_open = write_available(socket_.get(), output_);
        if (!is_open || (output_.empty() && must_close_ && !is_answering_)) {
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
    clock::time_point active_at_ = clock::now();
    bool is_answering_ = false;  // a request was handed to the handler
    bool must_close_ = false;    // after the answer to it
};

struct http_server::implementation {
    http_handler handler;
    ev::loop_ref loop;
    descriptor listening;
    ev::io acceptable;
    ev::timer housekeeping;
    std::vector<std::shared_ptr<connection>> connections;

    implementation(ev::loop_ref on, http_handler with, const sockaddr_in& address)
        : handler{std::move(with)},
          loop{on},
          listening{listen_on(address)},
          acceptable{on},
          housekeeping{on} {
        acceptable.set<implementation, &implementation::on_acceptable>(this);
        acceptable.start(listening.get(), ev::READ);
        housekeeping.set<implementation, &implementation::on_housekeeping>(this);
        housekeeping.start(housekeeping_interval_seconds, housekeeping_interval_seconds);
    }

    void on_acceptable(ev::io& /*watcher*/, int /*events*/) {
        std::erase_if(connections, [](const auto& each) { return each->has_ended(); });
        while (connections.size() < max_connections) {
            auto accepted = accept_from(listening.get());
            if (!accepted.is_open()) {
                return;
            }
            connections.push_back(std::make_shared<connection>(loop, std::move(accepted), handler));
        }
    }

    void on_housekeeping(ev::timer& /*watcher*/, int /*events*/) {
        const auto now = clock::now();
        std::erase_if(connections,
                      [now](const auto& each) { return each->has_ended() || each->is_stale(now); });
    }
};

http_server::http_server(ev::loop_ref loop, std::string_view address, http_handler handler) {
    const auto local = parse_address(address);
    if (!local) {
        throw std::runtime_error("not an address: " + std::string{address});
    }
    implementation_ = std::make_unique<implementation>(loop, std::move(handler), *local);
}

http_server::~http_server() = default;

}  // namespace bramleytrack::net
