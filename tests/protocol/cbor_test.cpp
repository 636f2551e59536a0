// Tests the parts of CBOR that messages consist of, against the encoding of the JSON library, which
// earlier versions wrote.

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <limits>
#include <string>

#include <nlohmann/json.hpp>

#include "protocol/cbor.h"

namespace {

using namespace greengagehead::protocol;
using nlohmann::json;

std::string library_cbor(json const& value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

template <typename T> std::string encode_number(T value)
{
    std::string bytes;
    cbor_writer(bytes).number(value);
    return bytes;
}

template <typename T> void check_number(T value)
{
    auto const bytes = encode_number(value);
    RC_ASSERT(bytes == library_cbor(value));
    cbor_reader reader(bytes);
    RC_ASSERT(reader.number<T>() == value);
    RC_ASSERT(reader.at_end());
}

} // namespace

// Guards against processes of two versions that do not understand each other, and against stored
// snapshots that cannot be read any more.
SCENARIO("values have the bytes that the library writes", "[protocol][cbor]")
{
    // Bits decide the length of the encoding, so that each length is drawn.
    rc::prop("unsigned numbers", [] {
        auto const bits = *rc::gen::inRange(0, 64);
        check_number(*rc::gen::arbitrary<std::uint64_t>() >> bits);
    });
    rc::prop("signed numbers", [] {
        auto const bits = *rc::gen::inRange(0, 63);
        check_number(*rc::gen::arbitrary<std::int64_t>() >> bits);
    });
    rc::prop("byte strings and arrays", [] {
        auto const text = *rc::gen::container<std::string>(*rc::gen::inRange(0, 300),
                                                           rc::gen::arbitrary<char>());
        std::string bytes;
        cbor_writer writer(bytes);
        writer.array(2);
        writer.byte_string(text);
        writer.boolean(!text.empty());
        RC_ASSERT(bytes
                  == library_cbor(
                      json::array({json::binary({text.begin(), text.end()}), !text.empty()})));
        cbor_reader reader(bytes);
        RC_ASSERT(reader.array() == 2U);
        RC_ASSERT(reader.byte_string() == text);
        RC_ASSERT(reader.boolean() == !text.empty());
    });
    THEN("the extremes are restored")
    {
        for (auto const value :
             {std::numeric_limits<std::int64_t>::min(), std::numeric_limits<std::int64_t>::max()}) {
            auto const bytes = encode_number(value);
            CHECK(bytes == library_cbor(value));
            CHECK(cbor_reader(bytes).number<std::int64_t>() == value);
        }
    }
}

// Guards against a peer that ends a process or fills its memory with a few bytes.
SCENARIO("malformed bytes are read", "[protocol][cbor]")
{
    THEN("numbers out of range are refused")
    {
        CHECK_THROWS(cbor_reader(encode_number(-1)).number<std::uint64_t>());
        CHECK_THROWS(cbor_reader(encode_number(256)).number<std::uint8_t>());
        CHECK_THROWS(
            cbor_reader(encode_number(std::numeric_limits<std::uint64_t>::max())).number<long>());
        // -2^64, which no type holds.
        CHECK_THROWS(cbor_reader("\x3b\xff\xff\xff\xff\xff\xff\xff\xff").number<std::int64_t>());
    }
    THEN("sizes beyond the bytes are refused")
    {
        CHECK_THROWS(cbor_reader("\x9b\xff\xff\xff\xff\xff\xff\xff\xff").array());
        CHECK_THROWS(cbor_reader("\x5b\xff\xff\xff\xff\xff\xff\xff\xff").byte_string());
        CHECK_THROWS(cbor_reader("\x9f\xff").array()); // Without a size.
        CHECK_THROWS(cbor_reader("").boolean());
    }
    rc::prop("any bytes give a value or an exception", [] {
        auto const bytes = *rc::gen::arbitrary<std::string>();
        try {
            cbor_reader reader(bytes);
            auto const size = reader.array();
            RC_ASSERT(size <= bytes.size());
            for (std::size_t index = 0; index < size; ++index)
                RC_ASSERT(reader.byte_string().size() <= bytes.size());
        } catch (std::runtime_error const&) {
            return;
        }
    });
}
