// Calls of libcbor for single values.

#include "protocol/cbor.h"

#include <array>

#include <cbor.h>

namespace greengagehead::protocol {

namespace {

/// A type and an argument of up to eight bytes.
constexpr std::size_t longest_head = 9;

template <typename Encode, typename Value>
void append(std::string& bytes, Encode encode, Value value)
{
    std::array<unsigned char, longest_head> head {};
    auto const size = encode(value, head.data(), head.size());
    bytes.append(reinterpret_cast<char const*>(head.data()), size);
}

template <cbor_item::type Kind, typename Value> void on_value(void* item, Value value)
{
    *static_cast<cbor_item*>(item) = {Kind, value, {}};
}

void on_bytes(void* item, cbor_data bytes, std::size_t size)
{
    *static_cast<cbor_item*>(item)
        = {cbor_item::type::byte_string, size, {reinterpret_cast<char const*>(bytes), size}};
}

/// Values of other types leave the item as it is.
cbor_callbacks make_callbacks()
{
    using type = cbor_item::type;
    auto callbacks = cbor_empty_callbacks;
    callbacks.uint8 = &on_value<type::positive, std::uint8_t>;
    callbacks.uint16 = &on_value<type::positive, std::uint16_t>;
    callbacks.uint32 = &on_value<type::positive, std::uint32_t>;
    callbacks.uint64 = &on_value<type::positive, std::uint64_t>;
    callbacks.negint8 = &on_value<type::negative, std::uint8_t>;
    callbacks.negint16 = &on_value<type::negative, std::uint16_t>;
    callbacks.negint32 = &on_value<type::negative, std::uint32_t>;
    callbacks.negint64 = &on_value<type::negative, std::uint64_t>;
    callbacks.array_start = &on_value<type::array, std::size_t>;
    callbacks.boolean = &on_value<type::boolean, bool>;
    callbacks.byte_string = &on_bytes;
    return callbacks;
}

} // namespace

void cbor_writer::positive(std::uint64_t value)
{
    append(this->bytes, &cbor_encode_uint, value);
}

void cbor_writer::negative(std::uint64_t below_minus_one)
{
    append(this->bytes, &cbor_encode_negint, below_minus_one);
}

void cbor_writer::boolean(bool value)
{
    append(this->bytes, &cbor_encode_bool, value);
}

void cbor_writer::byte_string(std::string_view value)
{
    append(this->bytes, &cbor_encode_bytestring_start, value.size());
    this->bytes += value;
}

void cbor_writer::array(std::size_t size)
{
    append(this->bytes, &cbor_encode_array_start, size);
}

cbor_item cbor_reader::next()
{
    static auto const callbacks = make_callbacks();
    cbor_item item;
    auto const* const source = reinterpret_cast<unsigned char const*>(this->rest.data());
    auto const result = cbor_stream_decode(source, this->rest.size(), &callbacks, &item);
    if (result.status != CBOR_DECODER_FINISHED)
        throw std::runtime_error("the bytes end within a value, or begin none");
    this->rest.remove_prefix(result.read);
    return item;
}

bool cbor_reader::boolean()
{
    auto const item = this->next();
    if (item.kind != cbor_item::type::boolean)
        throw std::runtime_error("not a boolean");
    return item.argument != 0;
}

std::string_view cbor_reader::byte_string()
{
    auto const item = this->next();
    if (item.kind != cbor_item::type::byte_string)
        throw std::runtime_error("not a byte string");
    return item.bytes;
}

std::size_t cbor_reader::array()
{
    auto const item = this->next();
    if (item.kind != cbor_item::type::array)
        throw std::runtime_error("not an array");
    // Each element has at least one byte.
    if (item.argument > this->rest.size())
        throw std::runtime_error("the bytes end within an array");
    return item.argument;
}

} // namespace greengagehead::protocol
