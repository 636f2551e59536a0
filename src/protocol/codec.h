// CBOR form of messages and replicated commands.

#pragma once

#include <string>
#include <string_view>

#include "base/error.h"
#include "protocol/message.h"

namespace greengagehead::protocol {

/// Version of the messages between processes. A message of another version is refused when decoded.
constexpr std::uint32_t message_version = 3;
/// Version of what is stored: replicated commands, and the digests of job requests.
constexpr std::uint32_t command_version = 2;

[[nodiscard]] std::string encode(message const& body);

/// Errors: `error_code::malformed` for anything that is not a message of this version.
[[nodiscard]] base::result<message> decode_message(std::string_view bytes);

[[nodiscard]] std::string encode(command const& body);
[[nodiscard]] base::result<command> decode_command(std::string_view bytes);

[[nodiscard]] std::string encode(job_request const& body);

} // namespace greengagehead::protocol
