// Random numbers that identify one life of a process.

#pragma once

#include <cstdint>
#include <random>

namespace greengagehead::base {

/// From the operating system's source; never 0, which stands for "none".
[[nodiscard]] inline std::uint64_t random_number()
{
    std::random_device source;
    std::uniform_int_distribution<std::uint64_t> any(1);
    return any(source);
}

} // namespace greengagehead::base
