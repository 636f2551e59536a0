// CBOR encoding of messages, replicated commands and job requests.

#pragma once

#include <string>
#include <string_view>

#include "base/error.h"
#include "protocol/message.h"

namespace greengagehead::protocol {

/// Version of the messages between processes. decode_message refuses any other version.
constexpr std::uint32_t message_version = 3;
/// Version of stored data: replicated commands, and the digests of encoded job requests.
constexpr std::uint32_t command_version = 2;

[[nodiscard]] std::string encode(message const& body);

/// Errors: `error_code::malformed` when the bytes are not a message of version message_version.
[[nodiscard]] base::result<message> decode_message(std::string_view bytes);

[[nodiscard]] std::string encode(command const& body);
/// Errors: `error_code::malformed` when the bytes are not a command of version command_version.
[[nodiscard]] base::result<command> decode_command(std::string_view bytes);

[[nodiscard]] std::string encode(job_request const& body);

} // namespace greengagehead::protocol
