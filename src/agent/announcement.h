// Description of an endpoint, as it announces itself to the agent.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace greengagehead::agent {

struct announcement {
    std::string name;
    std::string url; ///< Base URL, "http://IP:PORT".
    std::vector<std::string> kinds; ///< Kinds of tasks that it runs.
    std::uint32_t slots = 0; ///< Capacity; a task takes one slot unless it asks for more.
    std::uint32_t connections = 0; ///< Maximum number of connections; 0 for no limit.
    std::uint32_t cpu = 0;
    std::uint32_t memory_mb = 0;
    std::string rack;
    bool draining = false; ///< Accepts no new tasks. Running tasks may finish.

    bool operator==(announcement const&) const = default;
};

} // namespace greengagehead::agent
