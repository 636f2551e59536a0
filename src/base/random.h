// Random numbers used as identifiers, for example of a process instance.

#pragma once

#include <cstdint>
#include <random>

namespace greengagehead::base {

/// Drawn from the random source of the operating system. Never 0, which stands for "none".
[[nodiscard]] inline std::uint64_t random_number()
{
    std::random_device source;
    std::uniform_int_distribution<std::uint64_t> distribution(1);
    return distribution(source);
}

} // namespace greengagehead::base
