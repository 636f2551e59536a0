// Encodes a version number and a body as one CBOR array.

#include "protocol/codec.h"

#include <exception>

#include "protocol/json_fields.h"

namespace greengagehead::protocol {

namespace {

template <typename T> std::string encode_versioned(std::uint32_t version, T const& body)
{
    std::string bytes;
    detail::json::to_cbor(detail::json::array({version, detail::to_value(body)}), bytes);
    return bytes;
}

base::error malformed(std::string text)
{
    return {base::error_code::malformed, base::error_step::decode, {}, std::move(text)};
}

template <typename T>
base::result<T> decode_versioned(std::uint32_t expected, std::string_view bytes)
{
    BOOST_OUTCOME_TRY(value, parse_cbor(bytes));
    try {
        auto const version = whole_number<std::uint32_t>(value.at(0));
        if (version != expected)
            return malformed("version " + std::to_string(version) + " is not supported, expected "
                             + std::to_string(expected));
        T body;
        detail::from_value(value.at(1), body);
        return body;
    } catch (std::exception const& failure) {
        return malformed(failure.what());
    }
}

} // namespace

std::string encode(message const& body)
{
    return encode_versioned(message_version, body);
}

base::result<message> decode_message(std::string_view bytes)
{
    return decode_versioned<message>(message_version, bytes);
}

std::string encode(command const& body)
{
    return encode_versioned(command_version, body);
}

base::result<command> decode_command(std::string_view bytes)
{
    return decode_versioned<command>(command_version, bytes);
}

std::string encode(job_request const& body)
{
    return encode_versioned(command_version, body);
}

} // namespace greengagehead::protocol
