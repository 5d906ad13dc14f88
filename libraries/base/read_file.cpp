#include "base/read_file.h"

#include <fstream>
#include <iterator>

namespace bramleytrack {

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
}

}  // namespace bramleytrack
