// Asynchronous HTTP/1.1 client on the event loop, with keep-alive connections and http_parser.
#pragma once

#include <ev++.h>
#include <netinet/in.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace bramleytrack::net {

struct http_result {
    // 0: no complete, valid response: connection refused, reset or closed early, timed out,
    // malformed or oversized response, or an invalid URL. Unless the request was never sent, it may
    // have taken effect.
    int status = 0;
    std::string body;
};

using http_callback = std::function<void(http_result)>;

// What the timeout of a call limits.
enum class timeout_scope {
    whole_response,  // the time from the start of an attempt to the complete response
    // The longest time without a byte of the response. For large responses that may pass through a
    // congested link: a slow one completes, a lost one is given up as early.
    between_bytes
};

struct http_call {
    std::string method = "GET";
    sockaddr_in address{};
    std::string path;  // including the query string
    std::string body;
    // A GET may be attempted twice, and the second attempt has the full timeout again.
    clock::duration timeout{0};
    timeout_scope scope = timeout_scope::whole_response;
};

class http_client {
public:
    explicit http_client(ev::loop_ref loop);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // Usually calls `done` from the event loop, after call() has returned. Calls it before
    // returning when a request other than a GET can't be written to a reused connection.
    void call(http_call request, http_callback done);

    // Accept URLs of the form http://ip:port/path. For any other URL, `done` is called with status
    // 0 before the function returns.
    void get(std::string_view url, clock::duration timeout, http_callback done,
             timeout_scope scope = timeout_scope::whole_response);
    void put(std::string_view url, std::string body, clock::duration timeout, http_callback done);

    // When a byte of any response last arrived; the epoch if never.
    clock::time_point last_received_at() const { return last_received_at_; }

private:
    class connection;

    void call_url(std::string_view url, http_call request, http_callback done);
    connection* find_idle(const sockaddr_in& address);
    void send_request(http_call request, http_callback done, bool may_reuse);
    void destroy_closed_connections();

    ev::loop_ref loop_;
    std::vector<std::unique_ptr<connection>> connections_;
    ev::idle cleanup_;  // destroys closed connections outside of their own callbacks
    clock::time_point last_received_at_;
};

}  // namespace bramleytrack::net
