// Platform: the store's answers, decoded once; what can't be read tells as little as no answer.
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
    net::http_response answer_;
    net::http_request asked_;
    net::http_server server_{
        loop_, address_,
        [this](const net::http_request& request, const net::http_responder& respond) {
            asked_ = request;
            respond(answer_);
        }};
    net::http_client http_{loop_};
    store::read_freshness freshness_ = store::read_freshness::newest;
    kv_store subject_{http_, *net::parse_address(address_)};

    // Calls one of the store's functions and waits for its answer.
    template <typename answer, typename call>
    store::outcome<answer> outcome_of(const std::string& body, int status, const call& begin) {
        answer_ = {.status = status, .body = body};
        std::optional<store::outcome<answer>> result;
        begin([&](const store::outcome<answer>& outcome, clock::time_point) {
            result = outcome;
            loop_.break_loop(ev::ONE);
        });
        loop_.run();
        return *result;
    }
    store::outcome<store::page> range(const std::string& body, int status = 200) {
        return outcome_of<store::page>(body, status, [this](store::callback<store::page> done) {
            subject_.range("servers/", "", freshness_, limit, std::move(done));
        });
    }
    store::outcome<store::watch_result> watch(const std::string& body, int status = 200) {
        return outcome_of<store::watch_result>(
            body, status, [this](store::callback<store::watch_result> done) {
                subject_.watch("", 7, clock::duration{100}, limit, std::move(done));
            });
    }
    store::outcome<store::lookup_result> get(const std::string& body, int status = 200) {
        return outcome_of<store::lookup_result>(body, status,
                                                [this](store::callback<store::lookup_result> done) {
                                                    subject_.get("a key/1", limit, std::move(done));
                                                });
    }
    store::outcome<store::committed> commit(const std::string& body, int status) {
        return outcome_of<store::committed>(
            body, status, [this](store::callback<store::committed> done) {
                subject_.commit({.preconditions = {{.key = "k", .revision = 3}},
                                 .writes = {{.key = "k", .value = "v"}},
                                 .removals = {}},
                                limit, std::move(done));
            });
    }
};

TEST_F(kv_store_answers, a_page_that_may_be_seconds_old_is_asked_for_at_its_price) {
    freshness_ = store::read_freshness::seconds_old;
    range(R"({"items":[],"has_more":false,"store_revision":1})");
    EXPECT_EQ(asked_.query_or("serializable", ""), "1");
}

TEST_F(kv_store_answers, a_page_of_items) {
    const auto read = std::get<store::page>(range(
        R"({"items":[{"key":"servers/i-1","value":"eA==","revision":5,"created":4,"lease":0}],)"
        R"("has_more":true,"store_revision":9})"));
    ASSERT_EQ(read.items.size(), 1U);
    EXPECT_EQ(read.items[0], (store::item{.key = "servers/i-1", .value = "x", .revision = 5}));
    EXPECT_TRUE(read.has_more);
    EXPECT_EQ(read.revision, 9);
    EXPECT_EQ(asked_.path, "/-/kv-range");
    EXPECT_EQ(asked_.query_or("serializable", ""), "");
    EXPECT_EQ(asked_.query_or("prefix", ""), "servers/");
}

TEST_F(kv_store_answers, events_of_a_watch) {
    const auto read = std::get<store::watch_result>(
        watch(R"({"events":[{"key":"a","value":"","revision":8},)"
              R"({"key":"b","revision":9,"removed":true}],"store_revision":9})"));
    ASSERT_EQ(read.events.size(), 2U);
    EXPECT_EQ(std::get<store::item>(read.events[0]).key, "a");
    EXPECT_EQ(std::get<store::removal>(read.events[1]).revision, 9);
    EXPECT_EQ(asked_.query_or("after", ""), "7");
}

TEST_F(kv_store_answers, a_key_or_its_absence) {
    const auto found = std::get<store::lookup_result>(
        get(R"({"key":"a key/1","value":"eA==","revision":5,"store_revision":9})"));
    EXPECT_EQ(found.content->value, "x");
    EXPECT_EQ(asked_.query_or("key", ""), "a key/1");
    const auto absent = std::get<store::lookup_result>(get(R"({"store_revision":9})", 404));
    EXPECT_FALSE(absent.content.has_value());
    EXPECT_EQ(absent.revision, 9);
}

TEST_F(kv_store_answers, statuses_say_why_not) {
    EXPECT_EQ(std::get<result_code>(watch("{}", 410)), result_code::history_gone);
    EXPECT_EQ(std::get<result_code>(commit(R"({"items":[]})", 412)), result_code::condition_failed);
    EXPECT_EQ(std::get<result_code>(commit("{}", 404)), result_code::lease_ended);
    EXPECT_EQ(std::get<result_code>(range("{}", 429)), result_code::store_throttled);
    EXPECT_EQ(std::get<result_code>(range("{}", 503)), result_code::store_unavailable);
    EXPECT_EQ(std::get<store::committed>(commit(R"({"revision":12})", 200)).revision, 12);
}

TEST_F(kv_store_answers, what_cannot_be_read_is_no_answer) {
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

// Another writer puts a megabyte of bytes that aren't base64, and one that is, beside a target's
// entry. Neither must keep the others of its page from being read.
TEST_F(kv_store_answers, a_large_or_garbled_value_leaves_the_others_readable) {
    const auto large = modp::b64_encode(std::string(1'000'000, '\xff'));
    const auto read = std::get<store::page>(
        range(R"({"items":[{"key":"a","value":"%%%","revision":5},{"key":"b","value":")" + large +
              R"(","revision":6},{"key":"c","value":"eA==","revision":7}],)"
              R"("has_more":false,"store_revision":9})"));
    ASSERT_EQ(read.items.size(), 3U);
    EXPECT_EQ(read.items[0].value, "");
    EXPECT_EQ(read.items[1].value.size(), 1'000'000U);
    EXPECT_EQ(read.items[2].value, "x");
}

}  // namespace
}  // namespace bramleytrack
