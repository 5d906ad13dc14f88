// HTTP/1.1 requests on the loop, parsed by http_parser, over connections that are kept open.
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
        0;  // 0: no answer (refused, timed out, cut off); the request may have taken effect
    std::string body;
};

using http_callback = std::function<void(http_result)>;

struct http_call {
    std::string method = "GET";
    sockaddr_in address{};
    std::string path;  // with its query
    std::string body;
    clock::duration limit{0};  // for the whole call
};

class http_client {
public:
    explicit http_client(ev::loop_ref loop);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    void call(http_call wanted, http_callback done);

    // For URLs of the form http://ip:port/path; any other gets no answer.
    void get(std::string_view url, clock::duration limit, http_callback done);
    void put(std::string_view url, std::string body, clock::duration limit, http_callback done);

private:
    class connection;

    void start(std::string_view method, std::string_view url, std::string body,
               clock::duration limit, http_callback done);
    connection* find_idle(const sockaddr_in& address);
    void begin(http_call wanted, http_callback done, bool may_reuse);
    void collect_ended();

    ev::loop_ref loop_;
    std::vector<std::unique_ptr<connection>> connections_;
    ev::idle collector_;  // connections that have ended are destroyed outside their own callbacks
};

}  // namespace bramleytrack::net
