// bramleyctl: compare-and-swap writes to the stand-in store on loopback.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bramleyctl/store_session.h"
#include "configuration/change_log.h"
#include "configuration/difference.h"
#include "configuration/parse.h"
#include "net/udp_endpoint.h"
#include "standins/platform/revisioned_store.h"
#include "support/fleet_text.h"

namespace bramleytrack {
namespace {

using configuration::change_log_entry;
using configuration::with_change_log;
using ctl::write_result;
using outcome = std::variant<write_result, result_code>;

constexpr std::string_view key = "configuration";

std::string free_address() {
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = *net::parse_address("127.0.0.1:0");
    socklen_t size = sizeof(address);
    EXPECT_EQ(bind(listener, reinterpret_cast<sockaddr*>(&address), size), 0);
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    close(listener);
    return net::to_string(address);
}

// A stand-in store that counts writes and runs `after_write` before the client learns the result of
// a write.
struct store_fixture : ::testing::Test {
    ev::default_loop loop;
    std::string address = free_address();
    standins::revisioned_store store{loop};
    int writes = 0;
    std::function<void()> after_write = [] {};
    net::http_server server{
        loop, address,
        [this](const net::http_request& request, const net::http_responder& respond) {
            const bool is_write = request.path == "/-/kv-txn";
            store.handle(request, respond);
            if (is_write) {
                ++writes;
                std::exchange(after_write, [] {})();
            }
        }};
    ctl::store_session session{address, clock::duration{1'500}};

    void set_fault(const std::string& name, const std::string& value) {
        net::http_request request;
        request.path = "/fault";
        request.query[name] = value;
        store.handle(request, [](const net::http_response&) {});
    }

    // Writes as another operator, without the injected faults. Returns the key's version.
    std::int64_t write_as_other_operator(const std::string& value) {
        net::http_request request;
        request.method = "PUT";
        request.path = "/put";
        request.query["key"] = key;
        request.body = value;
        store.handle(request, [](const net::http_response&) {});
        return ++last_revision;
    }
    // The store's revision starts above 0, and each write in these tests increments it.
    std::int64_t last_revision = 1;
};

using store_write = store_fixture;

TEST_F(store_write, a_lost_response_is_not_a_conflict) {
    // The write takes effect and its response is lost. The tool retried, found its own write and
    // reported a conflict with another operator.
    const auto text = with_change_log("{}", "", {"mine", "apply"});
    set_fault("lost", "1");
    EXPECT_EQ(session.compare_and_swap(key, 0, text, "mine"), outcome{write_result{.version = 2}});
    EXPECT_EQ(writes, 1);
}

TEST_F(store_write, a_lost_response_followed_by_another_write_is_not_a_conflict) {
    // The write takes effect, its response is lost, and a second operator writes on top of it
    // before the tool reads again. The stored value differs from the one written, but contains the
    // change; reporting a conflict would make the operator repeat it.
    const auto mine = with_change_log("{}", "", {"mine", "zone out north"});
    set_fault("lost", "1");
    after_write = [&] {
        write_as_other_operator(with_change_log("{}", mine, {"theirs", "target drain t"}));
    };
    EXPECT_EQ(session.compare_and_swap(key, 0, mine, "mine"),
              (outcome{write_result{.version = 3, .is_replaced = true}}));
}

TEST_F(store_write, a_conflict_names_the_change_of_the_other_operator) {
    // Two operators read the same version. The second write is rejected, and the difference names
    // the change of the first.
    const auto base = with_change_log("{}", "", {"base", "apply"});
    const auto read_by_both = write_as_other_operator(base);
    const auto theirs = with_change_log("{}", base, {"theirs", "zone out north"});
    write_as_other_operator(theirs);
    const auto mine = with_change_log("{}", base, {"mine", "target drain t"});
    EXPECT_EQ(session.compare_and_swap(key, read_by_both, mine, "mine"),
              outcome{result_code::version_conflict});
    EXPECT_EQ(configuration::changes_between(base, theirs),
              (std::vector<change_log_entry>{{"theirs", "zone out north"}}));
    const auto now = session.read(key);
    EXPECT_EQ(std::get<store::lookup_result>(now).content->value, theirs);
}

TEST_F(store_write, a_missing_key_is_a_valid_result) {
    // Before the first configuration the key doesn't exist, which isn't an outage.
    EXPECT_FALSE(std::get<store::lookup_result>(session.read(key)).content.has_value());
    set_fault("down", "1");
    EXPECT_EQ(std::get<result_code>(session.read(key)), result_code::store_unavailable);
}

TEST_F(store_write, a_write_during_a_long_outage_is_in_doubt) {
    // The store doesn't respond until the timeout, so neither "written" nor "not written" is
    // certain.
    set_fault("down", "1");
    EXPECT_EQ(session.compare_and_swap(key, 0, with_change_log("{}", "", {"mine", ""}), "mine"),
              outcome{result_code::write_in_doubt});
    EXPECT_LE(writes, 6);
}

TEST(change_log, keeps_the_newest_entries_and_the_text) {
    std::string text = "{\n  // a comment of the operators\n}\n";
    const auto bare = text;
    for (int i = 0; i < 40; ++i) {
        text =
            with_change_log(text, text, {"id" + std::to_string(i), "change\n" + std::to_string(i)});
    }
    const auto entries = configuration::change_log_of(text);
    ASSERT_EQ(entries.size(), configuration::max_change_log_entries);
    EXPECT_EQ(entries.back(), (change_log_entry{"id39", "change 39"}));
    EXPECT_EQ(configuration::without_change_log(text), bare);
}

TEST(difference, names_what_changed) {
    const auto text = testing::fleet_text({.zones = 2, .services = 1, .targets = 3});
    auto before =
        std::get<configuration::configuration>(configuration::parse_configuration(text, 1));
    auto after = before;
    after.zones[0].state = configuration::zone_state::out;
    after.targets[1].weight = 2.5;
    after.targets.erase(after.targets.begin() + 2);
    after.instances.push_back({.name = "a", .state = configuration::instance_state::retired});
    EXPECT_EQ(configuration::differences(before, after),
              (std::vector<std::string>{"zone zone-0: state in -> out", "target target-2: removed",
                                        "target target-1: weight 1 -> 2.5", "instance a: added"}));
}

}  // namespace
}  // namespace bramleytrack
