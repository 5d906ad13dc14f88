// Client of the platform's store: decoding of responses. A malformed response is treated like a
// missing one.
#include "platform/kv_store.h"

#include <gtest/gtest.h>
#include <modp_b64.h>

#include <optional>

#include "net/http_server.h"
#include "net/udp_endpoint.h"
#include "standins/fleet/port_source.h"

namespace bramleytrack {
namespace {

using platform_adapter::kv_store;

constexpr clock::duration limit{2'000};

class kv_store_answers : public ::testing::Test {
protected:
    ev::dynamic_loop loop_;
    std::string address_ = standins::port_source{}.take();
    net::http_response response_;
    net::http_request request_;
    net::http_server server_{
        loop_, address_,
        [this](const net::http_request& request, const net::http_responder& respond) {
            request_ = request;
            respond(response_);
        }};
    net::http_client http_{loop_};
    store::read_freshness freshness_ = store::read_freshness::newest;
    kv_store store_{http_, *net::parse_address(address_)};

    // Runs one call of the store client and returns its outcome.
    template <typename response, typename call>
    store::outcome<response> outcome_of(const std::string& body, int status, const call& begin) {
        response_ = {.status = status, .body = body};
        std::optional<store::outcome<response>> result;
        begin([&](const store::outcome<response>& outcome, clock::time_point) {
            result = outcome;
            loop_.break_loop(ev::ONE);
        });
        loop_.run();
        return *result;
    }
    store::outcome<store::page> range(const std::string& body, int status = 200) {
        return outcome_of<store::page>(body, status, [this](store::callback<store::page> done) {
            store_.range("servers/", "", freshness_, limit, std::move(done));
        });
    }
    store::outcome<store::watch_result> watch(const std::string& body, int status = 200) {
        return outcome_of<store::watch_result>(
            body, status, [this](store::callback<store::watch_result> done) {
                store_.watch("", 7, clock::duration{100}, limit, std::move(done));
            });
    }
    store::outcome<store::lookup_result> get(const std::string& body, int status = 200) {
        return outcome_of<store::lookup_result>(body, status,
                                                [this](store::callback<store::lookup_result> done) {
                                                    store_.get("a key/1", limit, std::move(done));
                                                });
    }
    store::outcome<store::committed> commit(const std::string& body, int status) {
        return outcome_of<store::committed>(
            body, status, [this](store::callback<store::committed> done) {
                store_.commit({.preconditions = {{.key = "k", .revision = 3}},
                               .writes = {{.key = "k", .value = "v"}},
                               .removals = {}},
                              limit, std::move(done));
            });
    }
};

TEST_F(kv_store_answers, requests_a_stale_page_as_serializable) {
    freshness_ = store::read_freshness::seconds_old;
    range(R"({"items":[],"has_more":false,"store_revision":1})");
    EXPECT_EQ(request_.query_or("serializable", ""), "1");
}

TEST_F(kv_store_answers, decodes_a_page_of_items) {
    const auto page = std::get<store::page>(range(
        R"({"items":[{"key":"servers/i-1","value":"eA==","revision":5,"created":4,"lease":0}],)"
        R"("has_more":true,"store_revision":9})"));
    ASSERT_EQ(page.items.size(), 1U);
    EXPECT_EQ(page.items[0], (store::item{.key = "servers/i-1", .value = "x", .revision = 5}));
    EXPECT_TRUE(page.has_more);
    EXPECT_EQ(page.revision, 9);
    EXPECT_EQ(request_.path, "/-/kv-range");
    EXPECT_EQ(request_.query_or("serializable", ""), "");
    EXPECT_EQ(request_.query_or("prefix", ""), "servers/");
}

TEST_F(kv_store_answers, decodes_watch_events) {
    const auto result = std::get<store::watch_result>(
        watch(R"({"events":[{"key":"a","value":"","revision":8},)"
              R"({"key":"b","revision":9,"removed":true}],"store_revision":9})"));
    ASSERT_EQ(result.events.size(), 2U);
    EXPECT_EQ(std::get<store::item>(result.events[0]).key, "a");
    EXPECT_EQ(std::get<store::removal>(result.events[1]).revision, 9);
    EXPECT_EQ(request_.query_or("after", ""), "7");
}

TEST_F(kv_store_answers, decodes_an_existing_and_a_missing_key) {
    const auto found = std::get<store::lookup_result>(
        get(R"({"key":"a key/1","value":"eA==","revision":5,"store_revision":9})"));
    EXPECT_EQ(found.content->value, "x");
    EXPECT_EQ(request_.query_or("key", ""), "a key/1");
    const auto absent = std::get<store::lookup_result>(get(R"({"store_revision":9})", 404));
    EXPECT_FALSE(absent.content.has_value());
    EXPECT_EQ(absent.revision, 9);
}

TEST_F(kv_store_answers, maps_http_statuses_to_result_codes) {
    EXPECT_EQ(std::get<result_code>(watch("{}", 410)), result_code::history_gone);
    EXPECT_EQ(std::get<result_code>(commit(R"({"items":[]})", 412)), result_code::condition_failed);
    EXPECT_EQ(std::get<result_code>(commit("{}", 404)), result_code::lease_ended);
    EXPECT_EQ(std::get<result_code>(range("{}", 429)), result_code::store_throttled);
    EXPECT_EQ(std::get<result_code>(range("{}", 503)), result_code::store_unavailable);
    EXPECT_EQ(std::get<store::committed>(commit(R"({"revision":12})", 200)).revision, 12);
}

TEST_F(kv_store_answers, treats_a_malformed_response_as_unavailable) {
    for (
        const auto* body :
        {"", "{", "[]", "null", R"({"items":{},"has_more":false,"store_revision":9})",
         R"({"items":[],"has_more":false})", R"({"items":[],"store_revision":9})",
         R"({"items":[{"key":1,"value":"","revision":5}],"has_more":false,"store_revision":9})",
         R"({"items":[{"key":"a","value":"","revision":"5"}],"has_more":false,"store_revision":9})",
         R"({"items":[],"has_more":false,"store_revision":9.5})", "\xff\xfe"}) {
        EXPECT_EQ(std::get<result_code>(range(body)), result_code::store_unavailable) << body;
    }
}

// Another client of the store writes an entry that is not valid base64 and one with a value of a
// megabyte. Neither may keep the other entries of the page from being read.
TEST_F(kv_store_answers, a_large_or_invalid_value_leaves_the_rest_of_the_page_readable) {
    const auto large = modp::b64_encode(std::string(1'000'000, '\xff'));
    const auto page = std::get<store::page>(
        range(R"({"items":[{"key":"a","value":"%%%","revision":5},{"key":"b","value":")" + large +
              R"(","revision":6},{"key":"c","value":"eA==","revision":7}],)"
              R"("has_more":false,"store_revision":9})"));
    ASSERT_EQ(page.items.size(), 3U);
    EXPECT_EQ(page.items[0].value, "");
    EXPECT_EQ(page.items[1].value.size(), 1'000'000U);
    EXPECT_EQ(page.items[2].value, "x");
}

}  // namespace
}  // namespace bramleytrack
