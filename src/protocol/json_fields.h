// Converts structs with a field list to and from JSON values, which the JSON library reads and
// writes as CBOR. Included by codecs only, because it is slow to compile.

#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include "protocol/fields.h"
#include "protocol/json_document.h"

namespace greengagehead::protocol::detail {

using json = nlohmann::json;

template <typename T>
concept has_fields = requires(T& value)
{
    field_list<std::remove_cv_t<T>>::of(value);
};

template <typename T> struct is_vector : std::false_type {
};
template <typename T> struct is_vector<std::vector<T>> : std::true_type {
};
template <typename T> struct is_optional : std::false_type {
};
template <typename T> struct is_optional<std::optional<T>> : std::true_type {
};
template <typename T> struct is_variant : std::false_type {
};
template <typename... T> struct is_variant<std::variant<T...>> : std::true_type {
};
template <typename T> struct is_duration : std::false_type {
};
template <typename R, typename P> struct is_duration<std::chrono::duration<R, P>> : std::true_type {
};

/// Number of leading fields up to the last one that is not optional. Later ones may be left out,
/// so that processes without them can still be understood.
template <typename Fields> constexpr std::size_t required_fields()
{
    return []<std::size_t... Index>(std::index_sequence<Index...> /*positions*/)
    {
        std::size_t count = 0;
        ((is_optional<std::remove_cvref_t<std::tuple_element_t<Index, Fields>>>::value
              ? void()
              : void(count = Index + 1)),
         ...);
        return count;
    }
    (std::make_index_sequence<std::tuple_size_v<Fields>> {});
}

/// Returns the JSON form of `value`: structs and vectors as arrays, optionals as arrays of at most
/// one element, variants as pairs of index and value, durations as counts, enumerators as numbers.
/// Empty optional fields at the end of a struct are left out.
template <typename T> json to_value(T const& value)
{
    if constexpr (has_fields<T const>) {
        json array = json::array();
        auto const fields = field_list<T>::of(value);
        std::apply([&array](auto const&... field) { (array.push_back(to_value(field)), ...); },
                   fields);
        while (array.size() > required_fields<decltype(fields)>() && array.back().empty())
            array.erase(array.size() - 1);
        return array;
    } else if constexpr (is_vector<T>::value) {
        json array = json::array();
        for (auto const& item : value)
            array.push_back(to_value(item));
        return array;
    } else if constexpr (is_optional<T>::value) {
        return value ? json::array({to_value(*value)}) : json::array();
    } else if constexpr (is_variant<T>::value) {
        json array = json::array({value.index()});
        std::visit([&array](auto const& item) { array.push_back(to_value(item)); }, value);
        return array;
    } else if constexpr (is_duration<T>::value) {
        return value.count();
    } else if constexpr (std::is_enum_v<T>) {
        return static_cast<std::underlying_type_t<T>>(value);
    } else if constexpr (std::is_same_v<T, std::string>) {
        // Binary, because task results and log records need not be valid UTF-8.
        return json::binary({value.begin(), value.end()});
    } else {
        return value;
    }
}

template <typename T> void from_value(json const& value, T& target);

/// Reads `value` as the alternative of `target` that has the index `selected`.
template <typename Variant, std::size_t Index = 0>
void read_alternative(std::size_t selected, json const& value, Variant& target)
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        if (selected == Index)
            return from_value(value, target.template emplace<Index>());
        read_alternative<Variant, Index + 1>(selected, value, target);
    } else {
        throw std::out_of_range("variant has an unknown alternative");
    }
}

/// An optional field that was left out is empty.
template <typename T> void read_field(json const& array, std::size_t index, T& field)
{
    if (index < array.size())
        return from_value(array[index], field);
    if constexpr (is_optional<T>::value)
        field.reset();
}

template <typename Tuple, std::size_t... Index>
void read_fields(json const& array, Tuple const& fields,
                 std::index_sequence<Index...> /*positions*/)
{
    (read_field(array, Index, std::get<Index>(fields)), ...);
}

/// Reads `value`, the result of to_value, into `target`.
/// Throws an exception derived from std::exception when the types do not match.
template <typename T> void from_value(json const& value, T& target)
{
    if constexpr (has_fields<T>) {
        auto fields = field_list<T>::of(target);
        constexpr auto count = std::tuple_size_v<decltype(fields)>;
        constexpr auto required = required_fields<decltype(fields)>();
        if (!value.is_array() || value.size() < required || value.size() > count)
            throw std::out_of_range("struct has the wrong number of fields");
        read_fields(value, fields, std::make_index_sequence<count> {});
    } else if constexpr (is_vector<T>::value) {
        if (!value.is_array())
            throw std::out_of_range("vector is not encoded as an array");
        target.resize(value.size());
        for (std::size_t index = 0; index < value.size(); ++index)
            from_value(value[index], target[index]);
    } else if constexpr (is_optional<T>::value) {
        if (!value.is_array())
            throw std::out_of_range("optional value is not encoded as an array");
        target.reset();
        if (!value.empty())
            from_value(value[0], target.emplace());
    } else if constexpr (is_variant<T>::value) {
        read_alternative(whole_number<std::size_t>(value.at(0)), value.at(1), target);
    } else if constexpr (is_duration<T>::value) {
        target = T(whole_number<typename T::rep>(value));
    } else if constexpr (std::is_enum_v<T>) {
        target = static_cast<T>(whole_number<std::underlying_type_t<T>>(value));
    } else if constexpr (std::is_same_v<T, std::string>) {
        auto const& bytes = value.get_binary();
        target.assign(bytes.begin(), bytes.end());
    } else if constexpr (std::is_integral_v<T> && !std::is_same_v<T, bool>) {
        target = whole_number<T>(value);
    } else {
        value.get_to(target);
    }
}

/// Encodes a struct with a field list as CBOR.
template <typename T> std::string to_cbor(T const& value)
{
    std::string bytes;
    nlohmann::json::to_cbor(to_value(value), bytes);
    return bytes;
}

/// Throws an exception derived from std::exception when `bytes` are not an encoded `T`.
template <typename T> T from_cbor(std::string_view bytes)
{
    auto const parsed = parse_cbor(bytes);
    if (!parsed)
        throw std::invalid_argument(parsed.error().message);
    T target;
    from_value(parsed.value(), target);
    return target;
}

} // namespace greengagehead::protocol::detail
