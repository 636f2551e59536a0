// Binary forms of the hexadecimal ids in claims, at half the size of the text.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace greengagehead::state {

template <std::size_t Size> struct binary_id {
    std::array<std::uint8_t, Size> bytes {};

    bool operator==(binary_id const&) const = default;
    bool operator<(binary_id const& other) const { return this->bytes < other.bytes; }
};

/// Job id: the first 128 bits of a SHA-256.
using job_key = binary_id<16>;
/// SHA-256 of a job's content.
using content_digest = binary_id<32>;

[[nodiscard]] bool decode_hex(std::string_view text, std::span<std::uint8_t> target);
[[nodiscard]] std::string encode_hex(std::span<std::uint8_t const> bytes);

/// Empty for anything but 2 * Size hex digits.
template <std::size_t Size> std::optional<binary_id<Size>> parse_id(std::string_view text)
{
    binary_id<Size> id;
    if (!decode_hex(text, id.bytes))
        return std::nullopt;
    return id;
}

template <std::size_t Size> std::string to_hex(binary_id<Size> const& id)
{
    return encode_hex(id.bytes);
}

/// Job ids are digests, so that any of their bytes serve as a hash.
struct job_key_hash {
    std::size_t operator()(job_key const& key) const noexcept;
};

} // namespace greengagehead::state
