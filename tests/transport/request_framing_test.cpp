// Where requests end, and when a body over the limit is noticed.

#include <catch2/catch.hpp>

#include <string>

#include "transport/request_framing.h"

namespace {

using greengagehead::transport::request_framing;
using progress = request_framing::progress;

constexpr std::size_t body_limit = 1'024;

std::string head(std::string const& headers)
{
    return "POST /a HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n";
}

} // namespace

SCENARIO("the end of a request is followed", "[limits]")
{
    struct request {
        std::string bytes;
        progress expected;
    };
    auto const sent = GENERATE(
        request {head("").substr(0, 20), progress::head}, request {head(""), progress::complete},
        request {"GET / HTTP/1.1\n\n", progress::complete},
        request {head("Content-Length: 1024\r\n"), progress::body},
        request {head("content-length:5\r\n") + "hello", progress::complete},
        request {head("Content-Length: 5\r\n") + "helloGET /next", progress::complete},
        request {head("Transfer-Encoding: chunked\r\n") + "5\r\nhello\r\n0\r\n\r\n",
                 progress::complete},
        request {head("Transfer-Encoding: Chunked\r\n") + "3ff;a=b\r\n", progress::body},
        request {head("Transfer-Encoding: chunked\r\n") + "0\r\nTrailer: a\r\n", progress::body},
        request {head("Transfer-Encoding: chunked\r\n") + "hello\r\n", progress::unknown},
        request {"\r\n", progress::unknown},
        // Guards against bodies over the limit that are read, or kept, before they are refused.
        request {head("Content-Length: 1025\r\n"), progress::too_large},
        request {head("Content-Length: 99999999999999999999999\r\n"), progress::too_large},
        request {head("Content-Length:        1025\r\n"), progress::too_large},
        request {head("Content-Length: 5\r\nContent-Length: 5000\r\n"), progress::too_large},
        request {head("Transfer-Encoding: chunked\r\n") + "401\r\n", progress::too_large},
        request {head("Transfer-Encoding: chunked\r\n") + "ffffffffffffffffffff\r\n",
                 progress::too_large},
        request {head("Transfer-Encoding: chunked\r\n") + "400\r\n" + std::string(1'024, 'x')
                     + "\r\n1\r\n",
                 progress::too_large});
    GIVEN("the bytes of a request")
    {
        CAPTURE(sent.bytes);
        request_framing framing(body_limit);
        WHEN("they arrive at once")
        {
            THEN("its state is known")
            {
                CHECK(framing.feed(sent.bytes) == sent.expected);
            }
        }
        // Guards against lines and lengths that are lost between two reads.
        WHEN("they arrive one by one")
        {
            for (char const byte : sent.bytes)
                framing.feed({&byte, 1});
            THEN("its state is the same")
            {
                CHECK(framing.state() == sent.expected);
            }
        }
        // Guards against a limit that is carried over from one request to the next.
        WHEN("another request follows")
        {
            framing.feed(sent.bytes);
            framing.reset();
            THEN("it begins anew")
            {
                CHECK(framing.feed(head("Content-Length: 1\r\n") + "x") == progress::complete);
                CHECK(framing.head_lines() == 3);
            }
        }
    }
}
