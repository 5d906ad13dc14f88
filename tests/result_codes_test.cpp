// Checks that docs/RESULT-CODES.md agrees with the code.
#include <gtest/gtest.h>

#include "base/read_file.h"
#include "base/result_code.h"

namespace bramleytrack {
namespace {

TEST(result_codes, documentation_lists_every_code) {
    const auto documentation = read_file(BRAMLEYTRACK_SOURCE_DIRECTORY "/docs/RESULT-CODES.md");
    ASSERT_TRUE(documentation);
    for (const auto& each : all_result_codes()) {
        const auto expected_row = "| " + std::to_string(static_cast<int>(each.code)) + " | `" +
                                  std::string{each.name} + "` | " + std::string{each.meaning} +
                                  " |";
        EXPECT_NE(documentation->find(expected_row), std::string::npos) << expected_row;
    }
}

TEST(result_codes, numbers_are_in_ascending_order) {
    const auto codes = all_result_codes();
    for (std::size_t i = 1; i < codes.size(); ++i) {
        EXPECT_LT(codes[i - 1].code, codes[i].code);
    }
}

}  // namespace
}  // namespace bramleytrack
