// Names of the alternatives of `message`, for metrics.

#pragma once

#include <cstddef>
#include <string_view>
#include <variant>

#include "protocol/message.h"

namespace greengagehead::protocol {

constexpr std::size_t message_kinds = std::variant_size_v<message>;

/// Returns the name of the alternative with this index, for example `lease_update`.
/// @param kind less than `message_kinds`.
[[nodiscard]] std::string_view message_kind_name(std::size_t kind);

} // namespace greengagehead::protocol
