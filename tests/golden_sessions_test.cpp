// Golden files of whole sessions: tests/golden/*.session holds the commands (lines that begin with
// "> "), each followed by its exact output. BRAMLEYTRACK_REWRITE_GOLDEN=1 regenerates the files.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "base/read_file.h"
#include "support/session.h"
#include "support/steering_session.h"

namespace bramleytrack {
namespace {

namespace fs = std::filesystem;

const fs::path golden_directory = fs::path{BRAMLEYTRACK_SOURCE_DIRECTORY} / "tests" / "golden";

// Runs the commands of `recorded` and returns the session with their current output. Keeps
// comments.
template <typename session_type>
std::string replay(const std::string& recorded) {
    session_type session;
    std::istringstream lines{recorded};
    std::string result;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("#") || line.empty()) {
            result += line + "\n";
        }
        if (!line.starts_with("> ")) {
            continue;
        }
        result += line + "\n";
        session.run(line.substr(2));
        for (const auto& each : session.take_transcript()) {
            result += each + "\n";
        }
    }
    return result;
}

template <typename session_type>
void check(const fs::path& path) {
    const auto recorded = read_file(path.string());
    ASSERT_TRUE(recorded) << path;
    const auto replayed = replay<session_type>(*recorded);
    if (std::getenv("BRAMLEYTRACK_REWRITE_GOLDEN") != nullptr) {  // NOLINT(concurrency-mt-unsafe)
        std::ofstream{path, std::ios::binary} << replayed;
    }
    EXPECT_EQ(*recorded, replayed);
}

class golden_sessions : public ::testing::TestWithParam<std::string> {};

TEST_P(golden_sessions, replays_exactly) {
    check<testing::session>(golden_directory / (GetParam() + ".session"));
}

// Sessions of instances that route by token.
class golden_steering_sessions : public ::testing::TestWithParam<std::string> {};

TEST_P(golden_steering_sessions, replays_exactly) {
    check<testing::steering_session>(golden_directory / "steering" / (GetParam() + ".session"));
}

std::vector<std::string> golden_names(const fs::path& directory) {
    std::vector<std::string> names;
    for (const auto& entry : fs::directory_iterator{directory}) {
        if (entry.path().extension() == ".session") {
            names.push_back(entry.path().stem().string());
        }
    }
    std::ranges::sort(names);
    return names;
}

INSTANTIATE_TEST_SUITE_P(all, golden_sessions, ::testing::ValuesIn(golden_names(golden_directory)),
                         [](const auto& information) { return information.param; });
INSTANTIATE_TEST_SUITE_P(all, golden_steering_sessions,
                         ::testing::ValuesIn(golden_names(golden_directory / "steering")),
                         [](const auto& information) { return information.param; });

}  // namespace
}  // namespace bramleytrack
