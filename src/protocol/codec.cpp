// Encodes a version number and a body as one CBOR array.

#include "protocol/codec.h"

#include <exception>

#include "protocol/cbor_fields.h"

namespace greengagehead::protocol {

namespace {

template <typename T> std::string encode_versioned(std::uint32_t version, T const& body)
{
    std::string bytes;
    cbor_writer writer(bytes);
    writer.array(2);
    writer.number(version);
    detail::write(writer, body);
    return bytes;
}

base::error malformed(std::string text)
{
    return {base::error_code::malformed, base::error_step::decode, {}, std::move(text)};
}

template <typename T>
base::result<T> decode_versioned(std::uint32_t expected, std::string_view bytes)
{
    try {
        cbor_reader reader(bytes);
        if (reader.array() != 2)
            return malformed("not a pair of version and body");
        auto const version = reader.number<std::uint32_t>();
        if (version != expected)
            return malformed("version " + std::to_string(version) + " is not supported, expected "
                             + std::to_string(expected));
        T body;
        detail::read(reader, body);
        if (!reader.at_end())
            return malformed("bytes follow the body");
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
