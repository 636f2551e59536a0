// Writes and reads the parts of CBOR (RFC 8949) that messages, commands and snapshots consist of:
// whole numbers, booleans, byte strings and arrays of a known size.

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
            this->head(negative,
                       static_cast<std::uint64_t>(-(static_cast<std::int64_t>(value) + 1)));
        else
            this->head(unsigned_number, static_cast<std::uint64_t>(value));
    }
    void boolean(bool value);
    void byte_string(std::string_view value);
    /// Its elements follow.
    void array(std::size_t size) { this->head(array_kind, size); }

private:
    friend class cbor_reader;

    enum major_type : std::uint8_t {
        unsigned_number = 0,
        negative = 1,
        bytes_kind = 2,
        array_kind = 4,
        simple = 7,
    };

    void head(major_type kind, std::uint64_t argument);

    std::string& bytes;
};

/// Reads values in their order. Each function throws std::runtime_error if the next value is
/// missing or of another type, or does not fit.
class cbor_reader {
public:
    /// @param source must outlive the reader.
    explicit cbor_reader(std::string_view source) : rest(source) { }

    template <std::integral T> T number()
    {
        auto const [kind, argument] = this->head();
        if (kind == cbor_writer::unsigned_number && std::in_range<T>(argument))
            return static_cast<T>(argument);
        auto const negated = ~argument; // -1 - argument, as a complement on two.
        auto const value = static_cast<std::int64_t>(negated);
        if (kind == cbor_writer::negative && value < 0 && std::in_range<T>(value))
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
    struct item_head {
        std::uint8_t kind = 0;
        std::uint64_t argument = 0;
    };

    item_head head();
    std::string_view take(std::size_t size);

    std::string_view rest;
};

} // namespace greengagehead::protocol
