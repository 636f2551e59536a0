// When a fencing token is raised, and when its process counts as superseded.

#include <catch2/catch.hpp>

#include <chrono>

#include "agent/fencing_token.h"

using namespace greengagehead;
using agent::fencing_token;
using refusal = fencing_token::refusal;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The worker announces itself regularly from `time` on. Returns when the process resumes.
base::steady_time resumed_at(fencing_token& token, base::steady_time time, milliseconds interval)
{
    auto const give_up = time + std::chrono::hours(1);
    while (time < give_up && !token.resume(time))
        time += interval;
    return time;
}

} // namespace

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
        WHEN("announcements have another interval than 1.5 s, and the process is superseded")
        {
            token.on_accepted();
            // Guards against a process that takes the worker from one that still has an endpoint.
            THEN("it resumes after three long intervals")
            {
                token.set_announcement_interval(seconds(5));
                (void)token.on_refused(100, began);
                CHECK(resumed_at(token, began, seconds(5)) == began + seconds(15));
            }
            // Guards against a process that takes the worker from the one that replaces it.
            THEN("it resumes after 4 s if the interval is short")
            {
                token.set_announcement_interval(milliseconds(100));
                (void)token.on_refused(100, began);
                CHECK(resumed_at(token, began, milliseconds(100)) == began + seconds(4));
            }
        }
        // Guards against an agent that stays without work for good, and against two that take the
        // worker from each other again and again.
        WHEN("the process is superseded")
        {
            token.on_accepted();
            (void)token.on_refused(100, began);
            THEN("it resumes with a higher token once another process would have no endpoint")
            {
                CHECK(resumed_at(token, began, milliseconds(1500)) == began + milliseconds(4500));
                CHECK_FALSE(token.superseded());
            }
            // Guards against a process whose token is ahead of the clock: the next life of the
            // worker would carry out its late orders after those of the process that follows it.
            THEN("it resumes with the token of a process that begins then")
            {
                auto const resumed = resumed_at(token, began, milliseconds(1500));
                CHECK(token.value() == 4'600);
                token.on_accepted();
                CHECK(token.on_refused(4'600, resumed) == refusal::superseded);
                (void)resumed_at(token, resumed, milliseconds(1500));
                CHECK(token.value() == 13'600);
            }
            THEN("its token is higher than before also when it had advanced by more")
            {
                for (int life = 0; life < 10'000; ++life)
                    token.advance();
                (void)resumed_at(token, began, milliseconds(1500));
                CHECK(token.value() == 10'101);
            }
            THEN("it waits twice as long each further time, up to 16 minutes")
            {
                auto time = began;
                for (auto expected : {4'500, 9'000, 18'000, 36'000, 72'000, 144'000, 288'000,
                                      576'000, 960'000, 960'000}) {
                    auto const resumed = resumed_at(token, time, milliseconds(1500));
                    CHECK(resumed == time + milliseconds(expected));
                    token.on_accepted();
                    // As a rival whose waiting time is twice as long.
                    time = resumed + milliseconds(2 * expected - 1);
                    if (expected < 30'000)
                        time = resumed + milliseconds(59'999);
                    CHECK(token.on_refused(token.value(), time) == refusal::superseded);
                }
            }
            // Guards against a delay that grows for good although each cause was a late order.
            THEN("it waits as at first again when it has kept the worker for a minute")
            {
                auto time = began;
                for (int order = 0; order < 5; ++order) {
                    auto const resumed = resumed_at(token, time, milliseconds(1500));
                    CHECK(resumed == time + milliseconds(4500));
                    token.on_accepted();
                    time = resumed + seconds(60);
                    CHECK(token.on_refused(token.value(), time) == refusal::superseded);
                }
            }
            // Guards against a process that takes the worker back from one that the worker
            // announces itself to.
            THEN("it does not resume while one announcement in two is missing")
            {
                for (auto time = began; time < began + seconds(300); time += seconds(3))
                    CHECK_FALSE(token.resume(time));
                CHECK(token.superseded());
            }
            // Guards against a process that was paused, and takes old announcements for present
            // ones.
            THEN("it does not resume on announcements that it reads together after a pause")
            {
                CHECK_FALSE(token.resume(began + milliseconds(1000)));
                auto const woken = began + seconds(60);
                for (int announcement = 0; announcement < 40; ++announcement)
                    CHECK_FALSE(token.resume(woken));
                CHECK_FALSE(token.resume(woken + milliseconds(100)));
                CHECK(resumed_at(token, woken + milliseconds(100), milliseconds(1500))
                      == woken + milliseconds(4600));
            }
            THEN("a process that has resumed raises its token until the worker accepts it")
            {
                auto const resumed = resumed_at(token, began, milliseconds(1500));
                CHECK(token.on_refused(4'600, resumed) == refusal::raised);
                CHECK(token.value() == 64'600);
                CHECK(token.on_refused(64'600, resumed) == refusal::raised);
                CHECK(token.value() == 184'600);
            }
        }
    }
}
