// Writes and reads the parts of CBOR (RFC 8949) that messages, commands and snapshots consist of:
// whole numbers, booleans, byte strings and arrays of a known size. Over the streaming functions of
// libcbor, so that no document is built in between.

#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace greengagehead::protocol {

/// Appends values in their shortest encoding.
class cbor_writer {
public:
    /// @param target must outlive the writer.
    explicit cbor_writer(std::string& target) : bytes(target) { }

    template <std::integral T> void number(T value)
    {
        if (std::cmp_less(value, 0))
            this->negative(static_cast<std::uint64_t>(-(static_cast<std::int64_t>(value) + 1)));
        else
            this->positive(static_cast<std::uint64_t>(value));
    }
    void boolean(bool value);
    void byte_string(std::string_view value);
    /// Its elements follow.
    void array(std::size_t size);

private:
    void positive(std::uint64_t value);
    void negative(std::uint64_t below_minus_one); ///< Writes -1 less the argument.

    std::string& bytes;
};

/// One value, or the start of an array.
struct cbor_item {
    enum class type : std::uint8_t { other, positive, negative, byte_string, array, boolean };

    type kind = type::other;
    /// The number, -1 less the negative number, the size of the array, or whether it is true.
    std::uint64_t argument = 0;
    std::string_view bytes;
};

/// Reads values in their order. Each function throws std::runtime_error if the next value is
/// missing or of another type, or does not fit.
class cbor_reader {
public:
    /// @param source must outlive the reader.
    explicit cbor_reader(std::string_view source) : rest(source) { }

    template <std::integral T> T number()
    {
        auto const item = this->next();
        if (item.kind == cbor_item::type::positive && std::in_range<T>(item.argument))
            return static_cast<T>(item.argument);
        auto const value = static_cast<std::int64_t>(~item.argument); // -1 less the argument.
        if (item.kind == cbor_item::type::negative && value < 0 && std::in_range<T>(value))
            return static_cast<T>(value);
        throw std::runtime_error("not a whole number in range");
    }
    bool boolean();
    /// Valid as long as the source.
    std::string_view byte_string();
    /// Number of elements, which follow. Never more than the bytes that are left.
    std::size_t array();

    [[nodiscard]] bool at_end() const { return this->rest.empty(); }

private:
    cbor_item next();

    std::string_view rest;
};

} // namespace greengagehead::protocol
