// Command-line parser based on popt: a builder for options, and access to positional arguments.
#pragma once

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace bramleytrack::settings {

class command_line {
public:
    // `usage` is printed after the program's name in --help.
    explicit command_line(std::string usage);

    command_line& option(std::string name, std::string& value, std::string help);
    command_line& option(std::string name, int& value, std::string help);
    command_line& option(std::string name, double& value, std::string help);
    // An option without a value: `value` is set to true when it is given.
    command_line& flag(std::string name, bool& value, std::string help);

    // Sets the variables and returns the positional arguments. Prints the error and exits with
    // status 2 when an option is unknown; prints the help and exits with status 0 for --help.
    std::vector<std::string> parse(int argc, const char** argv);

private:
    struct entry {
        std::string name;
        std::string help;
        // Exactly one of these four is set: it points to the caller's variable.
        std::string* text = nullptr;
        int* integer = nullptr;
        double* floating_point = nullptr;
        bool* flag = nullptr;
        // Buffers that popt writes to.
        char* popt_text = nullptr;  // allocated by popt, freed once it is copied
        int popt_flag = 0;
    };

    std::string usage_;
    std::deque<entry> entries_;  // a deque, because popt keeps pointers to its elements
};

}  // namespace bramleytrack::settings
