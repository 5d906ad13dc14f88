// A store for tests: calls are recorded, and the test sends the responses.
#pragma once

#include <string>
#include <vector>

#include "store/store.h"

namespace bramleytrack::testing {

class fake_store final : public store::client {
public:
    struct get_call {
        std::string key;
        store::callback<store::lookup_result> done;
    };
    struct range_call {
        std::string prefix;
        std::string after_key;
        store::read_freshness freshness = store::read_freshness::newest;
        store::callback<store::page> done;
    };
    struct watch_call {
        std::int64_t revision = 0;
        store::callback<store::watch_result> done;
    };
    struct commit_call {
        store::transaction request;
        store::callback<store::committed> done;
    };
    struct lease_call {
        std::int64_t number = 0;  // 0: a grant
        store::callback<store::lease> done;
    };

    std::vector<get_call> gets;
    std::vector<range_call> ranges;
    std::vector<watch_call> watches;
    std::vector<commit_call> commits;
    std::vector<lease_call> leases;
    std::vector<std::int64_t> ended_leases;
    clock::time_point received_at;  // the result of last_received_at()

    clock::time_point last_received_at() const override { return received_at; }

    void get(std::string_view key, clock::duration /*timeout*/,
             store::callback<store::lookup_result> done) override {
        gets.push_back({.key = std::string{key}, .done = std::move(done)});
    }
    void range(std::string_view prefix, std::string_view after_key, store::read_freshness freshness,
               clock::duration /*timeout*/, store::callback<store::page> done) override {
        ranges.push_back({.prefix = std::string{prefix},
                          .after_key = std::string{after_key},
                          .freshness = freshness,
                          .done = std::move(done)});
    }
    void watch(std::string_view /*prefix*/, std::int64_t revision, clock::duration /*wait*/,
               clock::duration /*timeout*/, store::callback<store::watch_result> done) override {
        watches.push_back({.revision = revision, .done = std::move(done)});
    }
    void commit(const store::transaction& request, clock::duration /*timeout*/,
                store::callback<store::committed> done) override {
        commits.push_back({.request = request, .done = std::move(done)});
    }
    void grant_lease(clock::duration /*lifetime*/, clock::duration /*timeout*/,
                     store::callback<store::lease> done) override {
        leases.push_back({.number = 0, .done = std::move(done)});
    }
    void renew_lease(std::int64_t number, clock::duration /*timeout*/,
                     store::callback<store::lease> done) override {
        leases.push_back({.number = number, .done = std::move(done)});
    }
    void end_lease(std::int64_t number, clock::duration /*timeout*/,
                   store::callback<store::lease> /*done*/) override {
        ended_leases.push_back(number);
    }
};

}  // namespace bramleytrack::testing
