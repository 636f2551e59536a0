// Writes and reads structs with a field list as CBOR. Included by codecs only, because it is slow
// to compile. There is no document in between: of the processor time of an entry under load, 16%
// went into building and reading such documents.

#pragma once

#include <algorithm>
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

#include "protocol/cbor.h"
#include "protocol/fields.h"

namespace greengagehead::protocol::detail {

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

/// Trailing fields that are left out, because they are optional and empty.
template <typename... Field> std::size_t omitted_fields(std::tuple<Field...> const& fields)
{
    std::size_t omitted = 0;
    auto const count = [&omitted](auto const& field) {
        if constexpr (is_optional<std::remove_cvref_t<decltype(field)>>::value)
            omitted = field ? 0 : omitted + 1;
        else
            omitted = 0;
    };
    std::apply([&count](auto const&... field) { (count(field), ...); }, fields);
    return omitted;
}

/// Writes structs and vectors as arrays, optionals as arrays of at most one element, variants as
/// pairs of index and value, durations as counts, enumerators as numbers. Empty optional fields at
/// the end of a struct are left out.
template <typename T> void write(cbor_writer& writer, T const& value)
{
    if constexpr (has_fields<T const>) {
        auto const fields = field_list<T>::of(value);
        auto const size = std::tuple_size_v<decltype(fields)> - omitted_fields(fields);
        writer.array(size);
        std::size_t index = 0;
        std::apply(
            [&](auto const&... field) { ((index++ < size ? write(writer, field) : void()), ...); },
            fields);
    } else if constexpr (is_vector<T>::value) {
        writer.array(value.size());
        for (auto const& item : value)
            write(writer, item);
    } else if constexpr (is_optional<T>::value) {
        writer.array(value ? 1 : 0);
        if (value)
            write(writer, *value);
    } else if constexpr (is_variant<T>::value) {
        writer.array(2);
        writer.number(value.index());
        std::visit([&writer](auto const& item) { write(writer, item); }, value);
    } else if constexpr (is_duration<T>::value) {
        writer.number(value.count());
    } else if constexpr (std::is_enum_v<T>) {
        writer.number(static_cast<std::underlying_type_t<T>>(value));
    } else if constexpr (std::is_same_v<T, std::string>) {
        // Task results and log records need not be valid UTF-8.
        writer.byte_string(value);
    } else if constexpr (std::is_same_v<T, bool>) {
        writer.boolean(value);
    } else {
        writer.number(value);
    }
}

template <typename T> void read(cbor_reader& reader, T& target);

/// Reads the alternative of `target` that has the index `selected`.
template <typename Variant, std::size_t Index = 0>
void read_alternative(cbor_reader& reader, std::size_t selected, Variant& target)
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        if (selected == Index)
            return read(reader, target.template emplace<Index>());
        read_alternative<Variant, Index + 1>(reader, selected, target);
    } else {
        throw std::out_of_range("variant has an unknown alternative");
    }
}

/// An optional field that was left out is empty.
template <typename T> void read_field(cbor_reader& reader, bool present, T& field)
{
    if (present)
        return read(reader, field);
    if constexpr (is_optional<T>::value)
        field.reset();
}

/// Elements for which memory is reserved before they are read, so that a false size costs little.
constexpr std::size_t max_reserved_elements = 64;

/// Reads what `write` has written.
/// Throws an exception derived from std::exception when the types do not match.
template <typename T> void read(cbor_reader& reader, T& target)
{
    if constexpr (has_fields<T>) {
        auto fields = field_list<T>::of(target);
        constexpr auto required = required_fields<decltype(fields)>();
        auto const size = reader.array();
        if (size < required || size > std::tuple_size_v<decltype(fields)>)
            throw std::out_of_range("struct has the wrong number of fields");
        std::size_t index = 0;
        std::apply([&](auto&... field) { (read_field(reader, index++ < size, field), ...); },
                   fields);
    } else if constexpr (is_vector<T>::value) {
        auto const size = reader.array();
        target.clear();
        target.reserve(std::min(size, max_reserved_elements));
        for (std::size_t index = 0; index < size; ++index) {
            typename T::value_type item {};
            read(reader, item);
            target.push_back(std::move(item));
        }
    } else if constexpr (is_optional<T>::value) {
        auto const size = reader.array();
        if (size > 1)
            throw std::out_of_range("optional value has several elements");
        target.reset();
        if (size == 1)
            read(reader, target.emplace());
    } else if constexpr (is_variant<T>::value) {
        if (reader.array() != 2)
            throw std::out_of_range("variant is not a pair");
        auto const selected = reader.number<std::size_t>();
        read_alternative(reader, selected, target);
    } else if constexpr (is_duration<T>::value) {
        target = T(reader.number<typename T::rep>());
    } else if constexpr (std::is_enum_v<T>) {
        target = static_cast<T>(reader.number<std::underlying_type_t<T>>());
    } else if constexpr (std::is_same_v<T, std::string>) {
        target = reader.byte_string();
    } else if constexpr (std::is_same_v<T, bool>) {
        target = reader.boolean();
    } else {
        target = reader.number<T>();
    }
}

/// Encodes a struct with a field list as CBOR.
template <typename T> std::string to_cbor(T const& value)
{
    std::string bytes;
    cbor_writer writer(bytes);
    write(writer, value);
    return bytes;
}

/// Throws an exception derived from std::exception when `bytes` are not an encoded `T`.
template <typename T> T from_cbor(std::string_view bytes)
{
    cbor_reader reader(bytes);
    T target {};
    read(reader, target);
    if (!reader.at_end())
        throw std::invalid_argument("bytes follow the value");
    return target;
}

} // namespace greengagehead::protocol::detail
