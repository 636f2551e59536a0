// Errors with the step and the peer at which they occurred, and the result type that carries them.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace greengagehead::base {

enum class error_code : std::uint8_t {
    invalid_argument,
    not_found,
    conflict,
    version_mismatch,
    unavailable,
    timeout,
    refused,
    expired,
    unauthorized,
    io,
    corrupt,
    malformed,
    internal,
    abandoned, ///< Every caller that waited has left.
};

/// Step at which an error occurred.
enum class error_step : std::uint8_t {
    settings,
    listen,
    connect,
    handshake,
    decode,
    admission,
    claim,
    placement,
    start,
    run,
    assemble,
    replicate,
    sync,
    recover,
};

struct error {
    error_code code = error_code::internal;
    error_step step = error_step::run;
    std::string peer; ///< Name or address of the other side; empty when no peer is involved.
    std::string message;
};

/// Accessing the value of a failed result terminates the process; it is not undefined behaviour.
template <typename T>
using result = boost::outcome_v2::result<T, error, boost::outcome_v2::policy::terminate>;

[[nodiscard]] std::string_view to_string(error_code code);
[[nodiscard]] std::string_view to_string(error_step step);

/// Formats an error as one line for logs and terminals: "step (peer): message".
[[nodiscard]] std::string describe(error const& failure);

} // namespace greengagehead::base
