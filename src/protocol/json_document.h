// Parsing of JSON and CBOR documents that come from outside this process.
//
// Copying, comparing, dumping and destroying a JSON value recurse, and so does the CBOR reader of
// the library, so a deeply nested document would overflow the stack. The functions here refuse it
// while it is parsed. All documents from clients, operators, endpoints, peers and files are read
// with them.

#pragma once

#include <cmath>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/error.h"

namespace greengagehead::protocol {

/// Deepest nesting of arrays and objects in a document.
constexpr std::size_t max_document_depth = 64;
/// Deepest nesting in an answer of this program, which contains documents of others as values.
constexpr std::size_t max_answer_depth = max_document_depth + 16;

/// Up to this value, a double represents each whole number exactly.
constexpr double max_exact_double = 9'007'199'254'740'992.0;

/// Parses JSON in UTF-8. Errors, with the step `decode`: `malformed`; `invalid_argument` for a
/// document that is nested deeper than `max_depth`.
base::result<nlohmann::json> parse_json(std::string_view text,
                                        std::size_t max_depth = max_document_depth);

/// As `parse_json`, but returns `fallback` instead of an error.
nlohmann::json parse_json_or(std::string_view text, nlohmann::json fallback,
                             std::size_t max_depth = max_document_depth);

/// Parses the body of a request. Errors: `invalid_argument` with the step `admission`; the message
/// does not quote the body.
base::result<nlohmann::json> parse_body(std::string_view text);

/// Parses CBOR. Errors: as `parse_json`.
base::result<nlohmann::json> parse_cbor(std::string_view bytes,
                                        std::size_t max_depth = max_document_depth);

/// Returns the whole number `value`. Throws std::out_of_range when `value` is not a whole number
/// from `min` to `max`. Unlike `json::get`, it does not convert numbers that the type cannot hold.
template <std::integral T>
T whole_number(nlohmann::json const& value, T min = std::numeric_limits<T>::min(),
               T max = std::numeric_limits<T>::max())
{
    auto const in_range = [min, max](auto number) {
        return std::cmp_less_equal(min, number) && std::cmp_less_equal(number, max);
    };
    if (value.is_number_unsigned() && in_range(value.get<std::uint64_t>()))
        return static_cast<T>(value.get<std::uint64_t>());
    if (value.is_number_integer() && !value.is_number_unsigned()
        && in_range(value.get<std::int64_t>()))
        return static_cast<T>(value.get<std::int64_t>());
    // JSON also writes whole numbers with a fraction or an exponent, as in 1e3.
    if (value.is_number_float()) {
        auto const number = value.get<double>();
        if (std::trunc(number) == number && std::abs(number) <= max_exact_double
            && in_range(static_cast<std::int64_t>(number)))
            return static_cast<T>(number);
    }
    throw std::out_of_range("not a whole number from " + std::to_string(min) + " to "
                            + std::to_string(max));
}

/// Returns the whole number `object[key]`, or `fallback` if there is none. Throws as
/// `whole_number`.
template <std::integral T>
T whole_number_or(nlohmann::json const& object, char const* key, T fallback,
                  T min = std::numeric_limits<T>::min(), T max = std::numeric_limits<T>::max())
{
    auto const found = object.find(key);
    return found == object.end() ? fallback : whole_number<T>(*found, min, max);
}

} // namespace greengagehead::protocol
