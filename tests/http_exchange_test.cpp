// Tests net::http_client against net::http_server over loopback, including failures between them.
#include <gtest/gtest.h>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/tcp.h"
#include "net/udp_endpoint.h"

namespace bramleytrack {
namespace {

constexpr clock::duration timeout{500};

class http_exchange : public ::testing::Test {
protected:
    ev::dynamic_loop loop_;
    net::http_client client_{loop_};
    // Binds a free port and releases it, so that the server under test can bind it.
    std::string address_ = free_address();

    static std::string free_address() {
        const auto socket = net::listen_on(*net::parse_address("127.0.0.1:0"));
        sockaddr_in local{};
        socklen_t size = sizeof(local);
        getsockname(socket.get(), reinterpret_cast<sockaddr*>(&local), &size);
        return net::to_string(local);
    }

    net::http_result call(const std::string& method, const std::string& path,
                          const std::string& body = {}) {
        net::http_result result{.status = -1, .body = {}};
        client_.call({.method = method,
                      .address = *net::parse_address(address_),
                      .path = path,
                      .body = body,
                      .timeout = timeout},
                     [&](net::http_result answer) {
                         result = std::move(answer);
                         loop_.break_loop(ev::ONE);
                     });
        loop_.run();
        return result;
    }
};

TEST_F(http_exchange, transfers_method_path_query_and_body) {
    net::http_request seen;
    const net::http_server server{
        loop_, address_, [&](const net::http_request& request, const net::http_responder& respond) {
            seen = request;
            respond({.status = 200, .body = "yes"});
        }};
    const auto answer = call("POST", "/a/b?key=x%2Fy&other=1", "body");
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "yes");
    EXPECT_EQ(seen.method, "POST");
    EXPECT_EQ(seen.path, "/a/b");
    EXPECT_EQ(seen.query_or("key", ""), "x/y");
    EXPECT_EQ(seen.body, "body");
}

TEST_F(http_exchange, serves_consecutive_calls_with_large_responses) {
    int requests = 0;
    const net::http_server server{
        loop_, address_, [&](const net::http_request&, const net::http_responder& respond) {
            ++requests;
            respond({.status = 200, .body = std::string(100'000, 'x')});
        }};
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(call("GET", "/").body.size(), 100'000U);
    }
    EXPECT_EQ(requests, 5);
}

TEST_F(http_exchange, times_out_without_response) {
    // The response is lost but the connection stays open: without a timeout per call, the client
    // would wait forever.
    const net::http_server server{loop_, address_,
                                  [](const net::http_request&, const net::http_responder&) {}};
    const auto before = clock::now();
    EXPECT_EQ(call("GET", "/").status, 0);
    EXPECT_GE(clock::now() - before, timeout - clock::duration{50});
}

TEST_F(http_exchange, fails_before_the_timeout_when_connection_is_refused) {
    const auto before = clock::now();
    EXPECT_EQ(call("GET", "/").status, 0);
    EXPECT_LT(clock::now() - before, timeout);
}

TEST_F(http_exchange, retries_get_when_idle_connection_was_closed_by_server) {
    const auto answer_yes = [](const net::http_request&, const net::http_responder& respond) {
        respond({.status = 200, .body = "yes"});
    };
    auto first = std::make_unique<net::http_server>(loop_, address_, answer_yes);
    EXPECT_EQ(call("GET", "/").status, 200);
    first.reset();
    const net::http_server second{loop_, address_, answer_yes};
    EXPECT_EQ(call("GET", "/").status, 200);
}

TEST_F(http_exchange, handler_may_respond_later) {
    net::http_responder respond_later;
    const net::http_server server{
        loop_, address_, [&](const net::http_request&, const net::http_responder& respond) {
            respond_later = respond;
            loop_.break_loop(ev::ONE);
        }};
    net::http_result result;
    client_.get("http://" + address_ + "/", timeout, [&](net::http_result answer) {
        result = std::move(answer);
        loop_.break_loop(ev::ONE);
    });
    loop_.run();
    respond_later({.status = 503, .body = ""});
    loop_.run();
    EXPECT_EQ(result.status, 503);
}

}  // namespace
}  // namespace bramleytrack
