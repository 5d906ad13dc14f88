// Sets a fixed seed for property tests, so that every CI run generates the same cases. Set
// RC_PARAMS="seed=N" to generate others.
#include <cstdlib>

namespace bramleytrack::testing {
namespace {

const int is_seeded = setenv("RC_PARAMS", "seed=20261202", 0);  // NOLINT(concurrency-mt-unsafe)

}  // namespace
}  // namespace bramleytrack::testing
