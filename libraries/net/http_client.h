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
    int status =
        0;  // 0: no response (refused, timed out, reset); the request may have taken effect
    std::string body;
};

using http_callback = std::function<void(http_result)>;

struct http_call {
    std::string method = "GET";
    sockaddr_in address{};
    std::string path;  // including the query string
    std::string body;
    clock::duration timeout{0};  // from the call to the complete response
};

class http_client {
public:
    explicit http_client(ev::loop_ref loop);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    void call(http_call request, http_callback done);

    // Accept URLs of the form http://ip:port/path; for any other `done` is called at once with
    // status 0.
    void get(std::string_view url, clock::duration timeout, http_callback done);
    void put(std::string_view url, std::string body, clock::duration timeout, http_callback done);

private:
    class connection;

    void call_url(std::string_view method, std::string_view url, std::string body,
                  clock::duration timeout, http_callback done);
    connection* find_idle(const sockaddr_in& address);
    void send_request(http_call request, http_callback done, bool may_reuse);
    void destroy_closed_connections();

    ev::loop_ref loop_;
    std::vector<std::unique_ptr<connection>> connections_;
    ev::idle cleanup_;  // destroys closed connections outside of their own callbacks
};

}  // namespace bramleytrack::net
