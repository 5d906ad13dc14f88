// Assigns loopback addresses to targets, which tests refer to by name.
#pragma once

#include <map>
#include <string>

namespace bramleytrack::testing {

class target_addresses {
public:
    // Returns the same address on each call; ports are assigned in the order of first use.
    const std::string& address_of(const std::string& name) {
        auto& address = addresses_[name];
        if (address.empty()) {
            constexpr std::size_t first_port = 20'000;
            address = "127.0.0.1:" + std::to_string(first_port + addresses_.size());
            names_[address] = name;
        }
        return address;
    }

    const std::string& name_of(const std::string& address) const { return names_.at(address); }

private:
    std::map<std::string, std::string> addresses_;  // by name
    std::map<std::string, std::string> names_;      // by address
};

}  // namespace bramleytrack::testing
