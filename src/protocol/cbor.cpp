// Heads of CBOR items: a type and an argument of up to eight bytes in network byte order.

#include "protocol/cbor.h"

#include <bit>

namespace greengagehead::protocol {

namespace {

constexpr unsigned type_shift = 5;
constexpr std::uint8_t argument_mask = 0x1f;
/// Arguments below this are in the first byte.
constexpr std::uint64_t first_long_argument = 24;
/// Values in the first byte that announce an argument of 1, 2, 4 or 8 bytes.
constexpr std::uint8_t one_byte_follows = 24;
constexpr std::uint8_t eight_bytes_follow = 27;
constexpr std::uint64_t simple_false = 20;
constexpr std::uint64_t simple_true = 21;

/// 0 for one byte, 1 for two, 2 for four and 3 for eight.
unsigned size_exponent(std::uint64_t argument)
{
    auto const bytes = (static_cast<unsigned>(std::bit_width(argument)) + 7) / 8;
    return static_cast<unsigned>(std::bit_width(bytes - 1));
}

} // namespace

void cbor_writer::head(major_type kind, std::uint64_t argument)
{
    auto const type = static_cast<unsigned>(kind) << type_shift;
    if (argument < first_long_argument) {
        this->bytes.push_back(static_cast<char>(type | argument));
        return;
    }
    auto const exponent = size_exponent(argument);
    this->bytes.push_back(static_cast<char>(type | (one_byte_follows + exponent)));
    for (auto shift = 8U << exponent; shift > 0; shift -= 8)
        this->bytes.push_back(static_cast<char>(argument >> (shift - 8)));
}

void cbor_writer::boolean(bool value)
{
    this->head(simple, value ? simple_true : simple_false);
}

void cbor_writer::byte_string(std::string_view value)
{
    this->head(bytes_kind, value.size());
    this->bytes += value;
}

std::string_view cbor_reader::take(std::size_t size)
{
    if (size > this->rest.size())
        throw std::runtime_error("the bytes end within a value");
    auto const taken = this->rest.substr(0, size);
    this->rest.remove_prefix(size);
    return taken;
}

cbor_reader::item_head cbor_reader::head()
{
    auto const first = static_cast<std::uint8_t>(this->take(1).front());
    auto const kind = static_cast<std::uint8_t>(first >> type_shift);
    auto const low = static_cast<std::uint8_t>(first & argument_mask);
    if (low < one_byte_follows)
        return {kind, low};
    if (low > eight_bytes_follow)
        throw std::runtime_error("a value without a known size");
    std::uint64_t argument = 0;
    for (auto const byte : this->take(std::size_t {1} << (low - one_byte_follows)))
        argument = argument << 8U | static_cast<std::uint8_t>(byte);
    return {kind, argument};
}

bool cbor_reader::boolean()
{
    auto const [kind, argument] = this->head();
    if (kind != cbor_writer::simple || (argument != simple_false && argument != simple_true))
        throw std::runtime_error("not a boolean");
    return argument == simple_true;
}

std::string_view cbor_reader::byte_string()
{
    auto const [kind, argument] = this->head();
    if (kind != cbor_writer::bytes_kind)
        throw std::runtime_error("not a byte string");
    return this->take(argument);
}

std::size_t cbor_reader::array()
{
    auto const [kind, argument] = this->head();
    if (kind != cbor_writer::array_kind)
        throw std::runtime_error("not an array");
    // Each element has at least one byte.
    if (argument > this->rest.size())
        throw std::runtime_error("the bytes end within an array");
    return argument;
}

} // namespace greengagehead::protocol
