#include "commands.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "base/read_file.h"
#include "configuration/change_log.h"
#include "configuration/difference.h"
#include "configuration/parse.h"
#include "explain.h"
#include "fleet_status.h"
#include "overview.h"
#include "services.h"
#include "store_session.h"

namespace bramleytrack::ctl {
namespace {

using json = nlohmann::ordered_json;

enum class exit_status {
    success = 0,
    usage = 2,  // unknown command; other usage errors of these commands exit with rejected
    rejected = 3,
    conflict = 4,
    unavailable = 5,
    not_in_force = 6  // the version is not in force on every instance yet
};

int exit_code(exit_status status) {
    return static_cast<int>(status);
}

exit_status to_exit_status(result_code code) {
    switch (code) {
        case result_code::version_conflict:
            return exit_status::conflict;
        case result_code::store_unavailable:
        case result_code::write_in_doubt:
            return exit_status::unavailable;
        default:
            return exit_status::rejected;
    }
}

int report_error(result_code code, std::string_view detail) {
    std::fprintf(stderr, "bramleyctl: %d %s: %.*s\n", static_cast<int>(code),
                 std::string{name_of(code)}.c_str(), static_cast<int>(detail.size()),
                 detail.data());
    return exit_code(to_exit_status(code));
}

void print_faults(std::string_view source, std::span<const configuration::fault> faults) {
    for (const auto& fault : faults) {
        std::fprintf(stderr, "%s: %s\n", std::string{source}.c_str(), to_string(fault).c_str());
    }
}

// The configuration text that the store holds; version 0 when the key does not exist yet.
struct stored_text {
    std::int64_t version = 0;
    std::string value;
};

// Executes one command line against the store.
class command {
public:
    command(const options& options, std::span<const std::string> arguments)
        : options_{options},
          arguments_{arguments},
          session_{options.store_address, clock::duration{options.timeout_ms}} {}

    int check() {
        const auto checked = read_checked_file();
        if (const auto* status = std::get_if<int>(&checked)) {
            return *status;
        }
        std::printf("%s: valid\n", argument(1).c_str());
        return exit_code(exit_status::success);
    }

    int apply() {
        const auto text = read_file(argument(1));
        if (!text) {
            return report_error(result_code::usage, "can't read \"" + argument(1) + "\"");
        }
        const auto current = read_text();
        if (!current) {
            return report_error(result_code::store_unavailable, "the store did not answer");
        }
        const auto& before = *current;
        // A file that was exported before a colleague's change would silently revert that change
        // when it is applied. The change log that the file still contains shows which changes it
        // predates, so the command reports a conflict instead.
        const auto conflicting_changes = configuration::changes_between(*text, before.value);
        if (!configuration::change_log_of(*text).empty() && !conflicting_changes.empty()) {
            return report_conflict(conflicting_changes);
        }
        return write(*text, before, "apply " + argument(1));
    }

    int diff() {
        const auto checked = read_checked_file();
        if (const auto* status = std::get_if<int>(&checked)) {
            return *status;
        }
        const auto current = read_text();
        if (!current) {
            return report_error(result_code::store_unavailable, "the store did not answer");
        }
        const auto lines =
            differences_from(current->value, std::get<configuration::configuration>(checked));
        if (options_.is_json) {
            std::printf("%s\n",
                        json{{"version", current->version}, {"differences", lines}}.dump().c_str());
        } else {
            print_lines(lines);
        }
        return exit_code(exit_status::success);
    }

    int show() {
        const auto found = read_text();
        // The read failed, or the key is absent (version 0).
        if (!found || found->version == 0) {
            return report_error(result_code::store_unavailable, "no configuration could be read");
        }
        if (options_.is_json) {
            std::printf("%s\n",
                        json{{"version", found->version}, {"text", found->value}}.dump().c_str());
        } else {
            std::printf("// version %lld\n%s\n", static_cast<long long>(found->version),
                        found->value.c_str());
        }
        return exit_code(exit_status::success);
    }

    // zone out|in NAME, target drain|undrain NAME, instance retire|restore NAME.
    int change_state() {
        struct change {
            std::string_view kind;
            std::string_view verb;
            const char* list;
            const char* state;
        };
        static constexpr std::array changes{
            change{"zone", "out", "zones", "out"},
            change{"zone", "in", "zones", "in"},
            change{"target", "drain", "targets", "draining"},
            change{"target", "undrain", "targets", "active"},
            change{"instance", "retire", "instances", "retired"},
            change{"instance", "restore", "instances", "active"},
        };
        const auto* requested = std::ranges::find_if(changes, [this](const change& each) {
            return each.kind == argument(0) && each.verb == argument(1);
        });
        if (requested == changes.end() || argument(2).empty()) {
            return report_error(result_code::usage, "see bramleyctl --help");
        }
        // If a concurrent change is written first, this one is applied again on top of it. write()
        // prints each such conflict, also when a later attempt succeeds.
        constexpr int max_attempts = 10;
        for (int attempt = 1;; ++attempt) {
            const auto found = read_text();
            if (!found || found->version == 0) {
                return report_error(result_code::store_unavailable,
                                    "no configuration could be read");
            }
            auto root = json::parse(found->value, nullptr, false, true);
            if (!set_state(root, requested->list, argument(2), requested->state)) {
                return report_error(result_code::unknown_name,
                                    "there is no " + argument(0) + " \"" + argument(2) + "\"");
            }
            const auto status =
                write(root.dump(1), *found, argument(0) + " " + argument(1) + " " + argument(2));
            if (status != exit_code(exit_status::conflict) || attempt == max_attempts) {
                return status;
            }
        }
    }

    int status() {
        const auto current = read_text();
        const bool is_store_reachable = current.has_value();
        if (!is_store_reachable) {
            report_error(result_code::store_unavailable,
                         "the store did not answer; its version is unknown");
        }
        const auto version = is_store_reachable ? current->version : 0;
        const auto in_force_status = options_.should_wait ? wait_until_in_force(version)
                                                          : show_instances(version, std::nullopt);
        return is_store_reachable ? in_force_status : exit_code(exit_status::unavailable);
    }

private:
    // Returns nothing when the read failed, and version 0 when the key is absent.
    std::optional<stored_text> read_text() {
        const auto response = session_.read(configuration::store_key);
        const auto* lookup = std::get_if<store::lookup_result>(&response);
        if (lookup == nullptr) {
            return std::nullopt;
        }
        return lookup->content ? stored_text{.version = lookup->content->revision,
                                             .value = lookup->content->value}
                               : stored_text{};
    }

    // Parses the file named on the command line. Prints its faults and returns the exit status when
    // it is invalid.
    std::variant<configuration::configuration, int> read_checked_file() const {
        const auto text = read_file(argument(1));
        if (!text) {
            return report_error(result_code::usage, "can't read \"" + argument(1) + "\"");
        }
        auto parsed = configuration::parse_configuration(*text, 1);
        if (const auto* faults = std::get_if<std::vector<configuration::fault>>(&parsed)) {
            print_faults(argument(1), *faults);
            return exit_code(exit_status::rejected);
        }
        return std::get<configuration::configuration>(std::move(parsed));
    }

    std::string argument(std::size_t index) const {
        return index < arguments_.size() ? arguments_[index] : std::string{};
    }

    static bool set_state(json& root, const char* list, const std::string& name,
                          const char* state) {
        for (auto& item : root[list]) {
            if (item.value("name", "") == name) {
                item["state"] = state;
                return true;
            }
        }
        if (std::string_view{list} != "instances") {
            return false;
        }
        // The platform's list defines the instances. The configuration only has an entry for those
        // whose state was set. The name is not looked up in that list, so a mistyped name is
        // accepted and gets an entry.
        root[list].push_back({{"name", name}, {"state", state}});
        return true;
    }

    static std::vector<std::string> differences_from(std::string_view text,
                                                     const configuration::configuration& after) {
        auto before = configuration::parse_configuration(text, 1);
        const auto* parsed = std::get_if<configuration::configuration>(&before);
        return configuration::differences(
            parsed == nullptr ? configuration::configuration{} : *parsed, after);
    }

    static void print_lines(std::span<const std::string> lines) {
        for (const auto& each : lines) {
            std::printf("  %s\n", each.c_str());
        }
    }

    // Printed for each attempt that meets a conflict. "Nothing was written" holds for this attempt
    // only: change_state() retries, and the command may still succeed.
    static int report_conflict(
        std::span<const configuration::change_log_entry> conflicting_changes) {
        const int status = report_error(result_code::version_conflict,
                                        "nothing was written; changed by others in the meantime:");
        for (const auto& each : conflicting_changes) {
            std::fprintf(stderr, "  %s\n", each.description.c_str());
        }
        return status;
    }

    // Each attempt gets a unique id, by which its entry can be found in the change log later.
    static std::string new_change_id() {
        std::random_device source;
        const auto high = static_cast<std::uint64_t>(source());
        constexpr int half_bits = 32;
        std::string id(16, '0');
        std::snprintf(id.data(), id.size() + 1, "%016llx",
                      static_cast<unsigned long long>((high << half_bits) | source()));
        return id;
    }

    int write(const std::string& text, const stored_text& before, const std::string& description) {
        const configuration::change_log_entry newest_entry{new_change_id(), description};
        const auto updated = configuration::with_change_log(text, before.value, newest_entry);
        const auto parsed = configuration::parse_configuration(updated, before.version + 1);
        if (const auto* faults = std::get_if<std::vector<configuration::fault>>(&parsed)) {
            print_faults("configuration", *faults);
            return exit_code(exit_status::rejected);
        }
        const auto lines =
            differences_from(before.value, std::get<configuration::configuration>(parsed));
        const auto result = session_.compare_and_swap(configuration::store_key, before.version,
                                                      updated, newest_entry.id);
        if (result == std::variant<write_result, result_code>{result_code::version_conflict}) {
            const auto current = read_text();
            return report_conflict(configuration::changes_between(
                before.value, current ? std::string_view{current->value} : std::string_view{}));
        }
        if (const auto* code = std::get_if<result_code>(&result)) {
            return report_error(
                *code,
                R"(it could not be determined before the timeout whether the change took effect; "bramleyctl show" shows whether change ")" +
                    newest_entry.id + "\" is in the text");
        }
        const auto& written = std::get<write_result>(result);
        if (options_.is_json) {
            std::printf("%s\n", json{{"version", written.version},
                                     {"is_replaced", written.is_replaced},
                                     {"differences", lines}}
                                    .dump()
                                    .c_str());
        } else {
            print_lines(lines);
            std::printf("version %lld%s\n", static_cast<long long>(written.version),
                        written.is_replaced ? " (written, and replaced by others since)" : "");
        }
        return options_.should_wait ? wait_until_in_force(written.version)
                                    : exit_code(exit_status::success);
    }

    // Prints the status of all instances, with the elapsed time if the command waited for them.
    int show_instances(std::int64_t version, std::optional<clock::duration> wait_duration) {
        const auto instances = query_instances(session_, options_.instance_list_url);
        if (!instances) {
            return report_error(result_code::store_unavailable,
                                "the instance list could not be read");
        }
        const auto pending = instances_not_in_force(*instances, version);
        if (options_.is_json) {
            json root{{"version", version}, {"late", pending}, {"instances", to_json(*instances)}};
            if (wait_duration) {
                root["waited_ms"] = wait_duration->count();
            }
            std::printf("%s\n", root.dump().c_str());
            return exit_code(pending.empty() ? exit_status::success : exit_status::not_in_force);
        }
        std::printf("%s", to_table(*instances).c_str());
        const auto elapsed =
            wait_duration ? " after " + std::to_string(wait_duration->count()) + " ms" : "";
        if (pending.empty()) {
            std::printf("version %lld is in force on all instances%s\n",
                        static_cast<long long>(version), elapsed.c_str());
            return exit_code(exit_status::success);
        }
        std::printf("version %lld is not in force%s on:", static_cast<long long>(version),
                    elapsed.c_str());
        for (const auto& each : pending) {
            std::printf(" %s", each.c_str());
        }
        std::printf("\n");
        return exit_code(exit_status::not_in_force);
    }

    int wait_until_in_force(std::int64_t version) {
        const auto start = clock::now();
        const auto deadline = start + clock::duration{options_.timeout_ms};
        while (true) {
            const auto instances = query_instances(session_, options_.instance_list_url);
            const bool is_in_force =
                instances && instances_not_in_force(*instances, version).empty();
            if (is_in_force || clock::now() >= deadline) {
                return show_instances(version, clock::now() - start);
            }
            constexpr std::chrono::milliseconds poll_interval{200};
            std::this_thread::sleep_for(poll_interval);
        }
    }

    const options& options_;
    std::span<const std::string> arguments_;
    store_session session_;
};

}  // namespace

int run(const options& options, std::span<const std::string> arguments) {
    struct entry {
        std::string_view name;
        int (command::*handler)();
    };
    static constexpr std::array commands{
        entry{"check", &command::check},         entry{"apply", &command::apply},
        entry{"diff", &command::diff},           entry{"show", &command::show},
        entry{"status", &command::status},       entry{"zone", &command::change_state},
        entry{"target", &command::change_state}, entry{"instance", &command::change_state},
    };
    const std::string_view name = arguments.empty() ? std::string_view{} : arguments.front();
    if (name == "explain") {
        return explain(options, arguments);
    }
    if (name == "overview") {
        return overview(options, arguments);
    }
    if (name == "services") {
        return services(options, arguments);
    }
    const auto* found = std::ranges::find(commands, name, &entry::name);
    if (found == commands.end()) {
        report_error(result_code::usage,
                     "unknown command \"" + std::string{name} + "\"; see --help");
        return exit_code(exit_status::usage);
    }
    command invocation{options, arguments};
    return (invocation.*found->handler)();
}

}  // namespace bramleytrack::ctl
