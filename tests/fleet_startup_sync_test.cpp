// Fleet: how an instance that has just started lists peers, reads the store and requests copies.
#include <gtest/gtest.h>

#include "discovery/peer_shard.h"
#include "fleet/startup_sync.h"
#include "support/fake_store.h"

namespace bramleytrack {
namespace {

using fleet::copy_progress;
using fleet::copy_refusal;

constexpr clock::time_point start = to_time_point(1'000'000);

// A registration's value is the name of its instance.
class plain_records final : public discovery::record_reader {
public:
    discovery::record read(std::string_view /*key*/, std::string_view value) const override {
        const std::string name{value};
        return discovery::peer_entry{
            .name = name, .zone = "z", .address = name, .pull_address = name};
    }
    discovery::record read_removal(std::string_view /*key*/) const override {
        return discovery::unrelated{};
    }
    bool is_relevant(std::string_view /*key*/, std::size_t /*size*/) const override { return true; }
};

class fleet_startup_sync : public ::testing::Test {
protected:
    testing::fake_store store_;
    store::mirror mirror_;
    store::feed feed_{store_, mirror_, 1};
    plain_records records_;
    fleet::startup_sync subject_{store_, feed_, records_,
                                 fleet::startup_plan{"self", 0, {"10.0.0.1:1"}, 1},
                                 std::vector<std::string>(discovery::peer_shards, "shard/")};
    std::vector<std::string> queried_;
    std::vector<store::item> listed_;

    void SetUp() override {
        subject_.on_copy_due([this](const fleet::pull_source& from, clock::time_point) {
            queried_.push_back(from.peer);
        });
        subject_.on_listing([this](std::span<const store::item> items, clock::time_point) {
            listed_.assign(items.begin(), items.end());
        });
    }

    void answer_listing(int members) {
        store::page result{.items = {}, .has_more = false, .revision = 1};
        for (int i = 0; i < members; ++i) {
            const auto name = i == 0 ? std::string{"self"} : "peer-" + std::to_string(i);
            result.items.push_back({.key = "shard/" + name, .value = name, .revision = 1});
        }
        store_.ranges.front().done(result, start);
    }
};

TEST_F(fleet_startup_sync, reads_the_store_as_soon_as_its_shard_is_listed) {
    // Guards against a start of a small fleet that waits for the next tick.
    subject_.tick(copy_progress::none, start);
    ASSERT_EQ(store_.ranges.size(), 1U);
    EXPECT_FALSE(subject_.may_register());
    answer_listing(1);
    EXPECT_TRUE(subject_.may_register());
    ASSERT_EQ(store_.ranges.size(), 2U);
    EXPECT_EQ(store_.ranges[1].after_key, "");
}

TEST_F(fleet_startup_sync, passes_its_own_registration_on) {
    // Without the lease of the entry from before the restart, the instance would write it again,
    // and the whole fleet would receive a change for each restarted instance.
    subject_.tick(copy_progress::none, start);
    answer_listing(3);
    ASSERT_EQ(listed_.size(), 3U);
    EXPECT_EQ(listed_.front().value, "self");
}

TEST_F(fleet_startup_sync, queries_three_peers_a_tick_while_they_refuse) {
    subject_.tick(copy_progress::none, start);
    answer_listing(60);
    queried_.clear();
    subject_.tick(copy_progress::none, start + clock::duration{100});
    for (int i = 0; i < 5; ++i) {
        subject_.on_copy_refused(copy_refusal::no_state, start + clock::duration{101});
    }
    EXPECT_EQ(queried_.size(), 3U);
    subject_.tick(copy_progress::requested, start + clock::duration{200});
    EXPECT_EQ(queried_.size(), 3U);
}

TEST_F(fleet_startup_sync, reads_no_page_while_a_copy_arrives) {
    // The pages and the copy would share the link of this instance.
    subject_.tick(copy_progress::none, start);
    answer_listing(1);
    store_.ranges[1].done(
        store::page{
            .items = {{.key = "a", .value = "a", .revision = 1}}, .has_more = true, .revision = 1},
        start);
    ASSERT_EQ(store_.ranges.size(), 3U);
    subject_.tick(copy_progress::arriving, start);
    store_.ranges[2].done(
        store::page{
            .items = {{.key = "b", .value = "b", .revision = 1}}, .has_more = true, .revision = 1},
        start);
    EXPECT_EQ(store_.ranges.size(), 3U);
}

TEST_F(fleet_startup_sync, does_nothing_after_the_state_has_arrived) {
    subject_.tick(copy_progress::none, start);
    subject_.finish();
    queried_.clear();
    answer_listing(60);
    subject_.on_copy_refused(copy_refusal::busy, start);
    EXPECT_TRUE(queried_.empty());
    EXPECT_TRUE(listed_.empty());
}

TEST_F(fleet_startup_sync, may_register_when_a_seed_sent_the_state_during_an_outage) {
    // Guards against an instance that its peers never learn of, since it never listed its shard.
    subject_.tick(copy_progress::none, start);
    store_.ranges.front().done(result_code::store_unavailable, start);
    EXPECT_FALSE(subject_.may_register());
    subject_.finish();
    EXPECT_TRUE(subject_.may_register());
}

}  // namespace
}  // namespace bramleytrack
