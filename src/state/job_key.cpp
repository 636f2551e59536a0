// Conversion of ids between binary and hexadecimal form.

#include "state/job_key.h"

#include <cstring>
#include <iterator>

#include <boost/algorithm/hex.hpp>

namespace greengagehead::state {

bool decode_hex(std::string_view text, std::span<std::uint8_t> target)
{
    if (text.size() != target.size() * 2)
        return false;
    try {
        boost::algorithm::unhex(text.begin(), text.end(), target.begin());
        return true;
    } catch (boost::algorithm::hex_decode_error const&) {
        return false;
    }
}

std::string encode_hex(std::span<std::uint8_t const> bytes)
{
    std::string text;
    text.reserve(bytes.size() * 2);
    boost::algorithm::hex_lower(bytes.begin(), bytes.end(), std::back_inserter(text));
    return text;
}

std::size_t job_key_hash::operator()(job_key const& key) const noexcept
{
    std::size_t hash = 0;
    std::memcpy(&hash, key.bytes.data(), sizeof hash);
    return hash;
}

} // namespace greengagehead::state
