// Documents from outside that are nested too deeply or hold numbers out of range.

#include <catch2/catch.hpp>

#include <random>

#include "protocol/codec.h"
#include "protocol/job_json.h"
#include "protocol/json_document.h"

using namespace greengagehead;
using namespace greengagehead::protocol;
using nlohmann::json;

namespace {

/// JSON arrays and objects, nested `depth` levels deep.
std::string nested_json(std::size_t depth)
{
    std::string opening;
    std::string closing;
    for (std::size_t level = 0; level < depth; ++level) {
        opening += level % 2 == 0 ? "[" : R"({"a":)";
        closing.insert(closing.begin(), level % 2 == 0 ? ']' : '}');
    }
    return opening + "1" + closing;
}

/// CBOR arrays of one element, nested `depth` levels deep.
std::string nested_cbor(std::size_t depth)
{
    return std::string(depth, '\x81') + '\x01';
}

} // namespace

// Guards against a stack overflow, which ends the process.
SCENARIO("a document is nested deeply")
{
    GIVEN("documents at the limit")
    {
        THEN("they are read as the library reads them")
        {
            auto const text = nested_json(max_document_depth);
            CHECK(parse_json(text).value() == json::parse(text));
            CHECK(parse_cbor(nested_cbor(max_document_depth)));
            auto const mixed = R"({"a":[1,-2,2.5,"x",null,true,{"b":{}},[]],"a2":"\u00e9","a":7})";
            CHECK(parse_json(mixed).value() == json::parse(mixed));
            auto const value = json::parse(mixed);
            auto const bytes = json::to_cbor(value);
            CHECK(parse_cbor({reinterpret_cast<char const*>(bytes.data()), bytes.size()}).value()
                  == value);
        }
    }
    GIVEN("documents beyond the limit")
    {
        auto const depth = GENERATE(max_document_depth + 1, std::size_t {3'000'000});
        THEN("they are refused with a message")
        {
            CHECK(parse_json(nested_json(max_document_depth + 1)).error().message
                  == "nested deeper than 64 levels");
            CHECK_FALSE(parse_json(std::string(depth, '[')));
            CHECK_FALSE(parse_cbor(nested_cbor(depth)));
            CHECK_FALSE(decode_message(nested_cbor(depth)));
            CHECK_FALSE(decode_command(nested_cbor(depth)));
            auto const job = R"({"tasks":[{"kind":"a","payload":)" + std::string(depth, '[')
                + std::string(depth, ']') + "}]}";
            auto const refused = parse_job_request(job, job_limits());
            REQUIRE_FALSE(refused);
            CHECK(refused.error().message == "body is nested deeper than 64 levels");
        }
    }
}

// Guards against numbers that are converted silently to others, such as 99999999999 to 1215752191.
SCENARIO("a number does not fit its field")
{
    GIVEN("numbers of all forms")
    {
        THEN("those in the range are returned and the others are refused")
        {
            CHECK(whole_number<std::uint32_t>(json(4294967295)) == 4294967295U);
            CHECK(whole_number<std::int64_t>(json(-5)) == -5);
            CHECK(whole_number<std::uint32_t>(json(1e3)) == 1000);
            CHECK(whole_number<std::uint64_t>(json(UINT64_MAX)) == UINT64_MAX);
            CHECK(whole_number_or<std::uint32_t>(json::object(), "a", 7) == 7);
            CHECK_THROWS(whole_number<std::uint32_t>(json(99999999999)));
            CHECK_THROWS(whole_number<std::uint32_t>(json(1e300)));
            CHECK_THROWS(whole_number<std::uint32_t>(json(1.5)));
            CHECK_THROWS(whole_number<std::uint16_t>(json(-5)));
            CHECK_THROWS(whole_number<std::int64_t>(json(UINT64_MAX)));
            CHECK_THROWS(whole_number<std::uint32_t>(json("5")));
            CHECK_THROWS(whole_number<std::uint32_t>(json(5), 1, 4));
        }
    }
}

// Guards against damaged messages of peers that end the process or are taken for others.
SCENARIO("bytes of a message are changed on the way")
{
    GIVEN("a valid message")
    {
        view_update update;
        update.current.number = 3;
        update.current.zones_out = {"recife"};
        update.current.entries = {{{"entry.a", 7}, "recife", "10.0.0.1:1", "10.0.0.1:2"}};
        update.current.routing = {4, "{}"};
        auto const bytes = encode(message(update));
        REQUIRE(decode_message(bytes));
        THEN("each change of a byte is decoded to a message or refused")
        {
            for (std::size_t offset = 0; offset < bytes.size(); ++offset) {
                for (unsigned replacement = 0; replacement < 256; ++replacement) {
                    auto changed = bytes;
                    changed[offset] = static_cast<char>(replacement);
                    auto const decoded = decode_message(changed);
                    if (decoded)
                        REQUIRE(decode_message(encode(decoded.value())));
                }
            }
        }
        THEN("seeded random bytes are decoded or refused")
        {
            std::mt19937_64 random(1);
            for (int round = 0; round < 20'000; ++round) {
                std::string noise(random() % 64, '\0');
                for (auto& byte : noise)
                    byte = static_cast<char>(random());
                (void)decode_message(noise);
                (void)decode_command(noise);
                (void)parse_json(noise);
            }
        }
    }
}
