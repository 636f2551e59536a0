// Names of the entries in the simulations.

#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace greengagehead::policy {

inline std::string entry_name(std::size_t index)
{
    return "entry." + std::to_string(index);
}

inline std::vector<std::string> entry_names(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t index = 0; index < count; ++index)
        names.push_back(entry_name(index));
    return names;
}

} // namespace greengagehead::policy
