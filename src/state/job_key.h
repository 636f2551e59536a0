// Binary form of the hexadecimal ids in claims, which takes half the memory of the text.

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

/// Job id: the first 128 bits of a SHA-256 digest.
using job_key = binary_id<16>;
/// SHA-256 digest of a job's content.
using content_digest = binary_id<32>;

/// False unless `text` consists of exactly two hex digits per byte of `target`.
[[nodiscard]] bool decode_hex(std::string_view text, std::span<std::uint8_t> target);
/// Lower-case hex digits of `bytes`.
[[nodiscard]] std::string encode_hex(std::span<std::uint8_t const> bytes);

/// Empty unless `text` consists of exactly 2 * Size hex digits.
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

/// Uses the first bytes of the job id: it is a digest, so its bytes are evenly distributed.
struct job_key_hash {
    std::size_t operator()(job_key const& key) const noexcept;
};

} // namespace greengagehead::state
