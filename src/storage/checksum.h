// CRC32C and little-endian integers, the building blocks of the file formats.

#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace greengagehead::storage {

/// CRC32C of `bytes`, with the parameters of RFC 3720.
[[nodiscard]] std::uint32_t crc32c(std::string_view bytes);

/// Appends `value` to `target` as `sizeof(T)` bytes, least significant byte first.
template <std::unsigned_integral T> void put_integer(std::string& target, T value)
{
    for (std::size_t byte = 0; byte < sizeof(T); ++byte)
        target.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * byte)));
}

/// Decodes the integer at `offset`. Precondition: `bytes` has at least `offset + sizeof(T)` bytes.
template <std::unsigned_integral T>
[[nodiscard]] T get_integer(std::string_view bytes, std::size_t offset)
{
    std::uint64_t value = 0;
    for (std::size_t byte = 0; byte < sizeof(T); ++byte)
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[offset + byte]))
            << (8 * byte);
    return static_cast<T>(value);
}

} // namespace greengagehead::storage
