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
#include "store_session.h"

namespace bramleytrack::ctl {
namespace {

using json = nlohmann::ordered_json;

enum class exit_status {
    done = 0,
    usage = 2,
    refused = 3,
    conflict = 4,
    unavailable = 5,
    waiting = 6
};

int finish(exit_status status) {
    return static_cast<int>(status);
}

exit_status exit_status_of(result_code code) {
    switch (code) {
        case result_code::version_conflict:
            return exit_status::conflict;
        case result_code::store_unavailable:
        case result_code::write_in_doubt:
            return exit_status::unavailable;
        default:
            return exit_status::refused;
    }
}

int fail(result_code code, std::string_view detail) {
    std::fprintf(stderr, "bramleyctl: %d %s: %.*s\n", static_cast<int>(code),
                 std::string{name_of(code)}.c_str(), static_cast<int>(detail.size()),
                 detail.data());
    return finish(exit_status_of(code));
}

void print_faults(std::string_view source, std::span<const configuration::fault> faults) {
    for (const auto& fault : faults) {
        std::fprintf(stderr, "%s: %s\n", std::string{source}.c_str(), to_string(fault).c_str());
    }
}

// The operators' text as it stands in the store; version 0 when there is none yet.
struct stored_text {
    std::int64_t version = 0;
    std::string value;
};

// One command line on the store.
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
        return finish(exit_status::done);
    }

    int apply() {
        const auto text = read_file(argument(1));
        if (!text) {
            return fail(result_code::usage, "can't read \"" + argument(1) + "\"");
        }
        const auto current = read_text();
        if (!current) {
            return fail(result_code::store_unavailable, "the store did not answer");
        }
        const auto& before = *current;
        // Failure: an operator applies a file that was taken from the store before a colleague's
        // change, and silently undoes it. The trail that the file still carries gives it away.
        const auto missed = configuration::changes_between(*text, before.value);
        if (!configuration::change_log_of(*text).empty() && !missed.empty()) {
            return report_conflict(missed);
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
            return fail(result_code::store_unavailable, "the store did not answer");
        }
        const auto lines =
            differences_from(current->value, std::get<configuration::configuration>(checked));
        if (options_.is_json) {
            std::printf("%s\n",
                        json{{"version", current->version}, {"differences", lines}}.dump().c_str());
        } else {
            print_lines(lines);
        }
        return finish(exit_status::done);
    }

    int show() {
        const auto found = read_text();
        if (!found || found->version == 0) {
            return fail(result_code::store_unavailable, "no configuration could be read");
        }
        if (options_.is_json) {
            std::printf("%s\n",
                        json{{"version", found->version}, {"text", found->value}}.dump().c_str());
        } else {
            std::printf("// version %lld\n%s\n", static_cast<long long>(found->version),
                        found->value.c_str());
        }
        return finish(exit_status::done);
    }

    // zone out|in NAME, target drain|undrain NAME, instance retire NAME.
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
        const auto* wanted = std::ranges::find_if(changes, [this](const change& each) {
            return each.kind == argument(0) && each.verb == argument(1);
        });
        if (wanted == changes.end() || argument(2).empty()) {
            return fail(result_code::usage, "see bramleyctl --help");
        }
        // A colleague's change that comes first is kept: this one is made again on top of it.
        constexpr int max_attempts = 10;
        for (int attempt = 1;; ++attempt) {
            const auto found = read_text();
            if (!found || found->version == 0) {
                return fail(result_code::store_unavailable, "no configuration could be read");
            }
            auto root = json::parse(found->value, nullptr, false, true);
            if (!set_state(root, wanted->list, argument(2), wanted->state)) {
                return fail(result_code::unknown_name,
                            "there is no " + argument(0) + " \"" + argument(2) + "\"");
            }
            const auto status =
                write(root.dump(1), *found, argument(0) + " " + argument(1) + " " + argument(2));
            if (status != finish(exit_status::conflict) || attempt == max_attempts) {
                return status;
            }
        }
    }

    int status() {
        const auto current = read_text();
        const bool is_known = current.has_value();
        if (!is_known) {
            fail(result_code::store_unavailable, "the store's version is not known");
        }
        const auto version = is_known ? current->version : 0;
        const auto shown = options_.is_waiting ? wait_until_everywhere(version)
                                               : show_instances(version, std::nullopt);
        return is_known ? shown : finish(exit_status::unavailable);
    }

private:
    // Nothing when the store didn't answer.
    std::optional<stored_text> read_text() {
        const auto answer = session_.read(configuration::store_key);
        const auto* part = std::get_if<store::lookup_result>(&answer);
        if (part == nullptr) {
            return std::nullopt;
        }
        return part->content
                   ? stored_text{.version = part->content->revision, .value = part->content->value}
                   : stored_text{};
    }

    // The file that the command line names, or the exit status once its faults are printed.
    std::variant<configuration::configuration, int> read_checked_file() const {
        const auto text = read_file(argument(1));
        if (!text) {
            return fail(result_code::usage, "can't read \"" + argument(1) + "\"");
        }
        auto parsed = configuration::parse_configuration(*text, 1);
        if (const auto* faults = std::get_if<std::vector<configuration::fault>>(&parsed)) {
            print_faults(argument(1), *faults);
            return finish(exit_status::refused);
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
        // Instances come from the platform's list; the text names only those with a state.
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

    static int report_conflict(std::span<const configuration::change_log_entry> missed) {
        const int status = fail(result_code::version_conflict,
                                "nothing was written; changed by others meanwhile:");
        for (const auto& each : missed) {
            std::fprintf(stderr, "  %s\n", each.description.c_str());
        }
        return status;
    }

    // Each attempt gets an identity of its own, so that it can be found again in the trail.
    static std::string new_change_id() {
        std::random_device source;
        const auto high = static_cast<std::uint64_t>(source());
        constexpr int bits_of_half = 32;
        std::string id(16, '0');
        std::snprintf(id.data(), id.size() + 1, "%016llx",
                      static_cast<unsigned long long>((high << bits_of_half) | source()));
        return id;
    }

    int write(const std::string& text, const stored_text& before, const std::string& description) {
        const configuration::change_log_entry mark{new_change_id(), description};
        const auto marked = configuration::with_change_log(text, before.value, mark);
        const auto parsed = configuration::parse_configuration(marked, before.version + 1);
        if (const auto* faults = std::get_if<std::vector<configuration::fault>>(&parsed)) {
            print_faults("configuration", *faults);
            return finish(exit_status::refused);
        }
        const auto lines =
            differences_from(before.value, std::get<configuration::configuration>(parsed));
        const auto result =
            session_.compare_and_swap(configuration::store_key, before.version, marked, mark.id);
        if (result == std::variant<written, result_code>{result_code::version_conflict}) {
            const auto now = read_text();
            return report_conflict(configuration::changes_between(
                before.value, now ? std::string_view{now->value} : std::string_view{}));
        }
        if (const auto* code = std::get_if<result_code>(&result)) {
            return fail(*code, R"(the store stayed silent; "bramleyctl show" tells whether ")" +
                                   mark.id + "\" is in effect");
        }
        const auto& done = std::get<written>(result);
        if (options_.is_json) {
            std::printf("%s\n", json{{"version", done.version},
                                     {"is_replaced", done.is_replaced},
                                     {"differences", lines}}
                                    .dump()
                                    .c_str());
        } else {
            print_lines(lines);
            std::printf("version %lld%s\n", static_cast<long long>(done.version),
                        done.is_replaced ? " (in effect, and changed by others since)" : "");
        }
        return options_.is_waiting ? wait_until_everywhere(done.version)
                                   : finish(exit_status::done);
    }

    // Prints what the instances say, and how long it took when they were waited for.
    int show_instances(std::int64_t version, std::optional<clock::duration> waited) {
        const auto instances = ask_instances(session_, options_.instance_list_url);
        if (!instances) {
            return fail(result_code::store_unavailable, "the instance list did not answer");
        }
        const auto late = late_instances(*instances, version);
        if (options_.is_json) {
            json root{{"version", version}, {"late", late}, {"instances", to_json(*instances)}};
            if (waited) {
                root["waited_ms"] = waited->count();
            }
            std::printf("%s\n", root.dump().c_str());
            return finish(late.empty() ? exit_status::done : exit_status::waiting);
        }
        std::printf("%s", to_table(*instances).c_str());
        const auto until = waited ? " after " + std::to_string(waited->count()) + " ms" : "";
        if (late.empty()) {
            std::printf("version %lld is in force on all instances%s\n",
                        static_cast<long long>(version), until.c_str());
            return finish(exit_status::done);
        }
        std::printf("version %lld is not in force%s on:", static_cast<long long>(version),
                    until.c_str());
        for (const auto& each : late) {
            std::printf(" %s", each.c_str());
        }
        std::printf("\n");
        return finish(exit_status::waiting);
    }

    int wait_until_everywhere(std::int64_t version) {
        const auto begin = clock::now();
        const auto deadline = begin + clock::duration{options_.timeout_ms};
        while (true) {
            const auto instances = ask_instances(session_, options_.instance_list_url);
            const bool is_everywhere = instances && late_instances(*instances, version).empty();
            if (is_everywhere || clock::now() >= deadline) {
                return show_instances(version, clock::now() - begin);
            }
            constexpr std::chrono::milliseconds pause{200};
            std::this_thread::sleep_for(pause);
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
        int (command::*handle)();
    };
    static constexpr std::array table{
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
    const auto* found = std::ranges::find(table, name, &entry::name);
    if (found == table.end()) {
        fail(result_code::usage, "unknown command \"" + std::string{name} + "\"; see --help");
        return finish(exit_status::usage);
    }
    command current{options, arguments};
    return (current.*found->handle)();
}

}  // namespace bramleytrack::ctl
