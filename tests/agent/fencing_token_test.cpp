// When a fencing token is raised, and when its process counts as superseded.

#include <catch2/catch.hpp>

#include <chrono>

#include "agent/fencing_token.h"

using namespace greengagehead;
using agent::fencing_token;
using refusal = fencing_token::refusal;
using std::chrono::milliseconds;
using std::chrono::seconds;

SCENARIO("a fencing token is refused", "[agent][leased]")
{
    GIVEN("the token of a process that begins")
    {
        base::steady_time const began {std::chrono::hours(1)};
        fencing_token token(100, began);

        // Guards against an agent being refused for good after its clock was set back.
        WHEN("the worker has never accepted it")
        {
            THEN("it is raised, by more each time, once for the calls with one token")
            {
                CHECK(token.on_refused(100, began) == refusal::raised);
                CHECK(token.value() == 60'100);
                CHECK(token.on_refused(100, began) == refusal::former_token);
                CHECK(token.on_refused(60'100, began) == refusal::raised);
                CHECK(token.value() == 180'100);
            }
            // Guards against a process that was paused right after it began, and outbids one that
            // began meanwhile.
            THEN("it is not raised long after the process began")
            {
                CHECK(token.on_refused(100, began + seconds(6)) == refusal::superseded);
                CHECK(token.value() == 100);
            }
        }
        // Guards against two processes of one agent that outbid each other.
        WHEN("the worker has accepted it")
        {
            token.on_accepted();
            THEN("the process is superseded, and stays so when more calls are refused")
            {
                CHECK(token.on_refused(100, began) == refusal::superseded);
                CHECK(token.superseded());
                CHECK(token.on_refused(100, began) == refusal::former_token);
                CHECK(token.value() == 100);
            }
            THEN("a call that was sent before the token advanced tells nothing")
            {
                token.advance();
                CHECK(token.on_refused(100, began) == refusal::former_token);
                CHECK_FALSE(token.superseded());
                CHECK(token.on_refused(101, began) == refusal::superseded);
            }
        }
        // Guards against an agent that stays without work for good, and against two that take the
        // worker from each other again and again.
        WHEN("the process is superseded")
        {
            token.on_accepted();
            (void)token.on_refused(100, began);
            THEN("it resumes with a higher token after 30 s, and the next time after 60 s")
            {
                CHECK_FALSE(token.resume(began + milliseconds(29'999)));
                auto const resumed = began + seconds(30);
                CHECK(token.resume(resumed));
                CHECK_FALSE(token.superseded());
                CHECK(token.value() == 60'100);
                token.on_accepted();
                CHECK(token.on_refused(60'100, resumed) == refusal::superseded);
                CHECK_FALSE(token.resume(resumed + milliseconds(59'999)));
                CHECK(token.resume(resumed + seconds(60)));
            }
            THEN("a process that has resumed raises its token until the worker accepts it")
            {
                auto const resumed = began + seconds(30);
                REQUIRE(token.resume(resumed));
                CHECK(token.on_refused(60'100, resumed) == refusal::raised);
                CHECK(token.value() == 180'100);
            }
        }
    }
}
