// What an endpoint says of itself.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace greengagehead::agent {

struct announcement {
    std::string name;
    std::string url; ///< Base URL, "http://IP:PORT".
    std::vector<std::string> kinds;
    std::uint32_t slots = 0; ///< Tasks it runs at a time.
    std::uint32_t connections = 0; ///< Connections it accepts; 0 for no limit.
    std::uint32_t cpu = 0;
    std::uint32_t memory_mb = 0;
    std::string rack;
    bool draining = false; ///< It takes no new work; what runs may finish.

    bool operator==(announcement const&) const = default;
};

} // namespace greengagehead::agent
