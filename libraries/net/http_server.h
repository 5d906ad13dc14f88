// A small HTTP/1.1 server on the event loop; http_parser parses the requests.
#pragma once

#include <ev++.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace bramleytrack::net {

struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string, std::less<>> query;
    std::string body;

    // The decoded value of a query parameter, or `fallback` when it is absent.
    std::string query_or(std::string_view key, std::string_view fallback) const;
};

struct http_response {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
};

// Sends the response to one request, from within the handler or later. Must be called at most once,
// and not after the server has been destroyed.
using http_responder = std::function<void(http_response)>;
using http_handler = std::function<void(const http_request&, http_responder)>;

class http_server {
public:
    // Throws std::runtime_error when the address can't be bound.
    http_server(ev::loop_ref loop, std::string_view address, http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

private:
    class connection;
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace bramleytrack::net
