// Ephemeral submissions that arrive at a second entry while the first one still runs them, as after
// a connection that has broken on the caller's side only.

#include <catch2/catch.hpp>

#include "entry/simulated_fleet.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::test;
using protocol::job_state;

/// Callers send a job again this long after they have got no answer.
constexpr milliseconds resend_delay {1300};

protocol::job_request make_submission(std::string const& submission, std::size_t tasks)
{
    auto request = make_job(submission, tasks, false);
    request.ephemeral = true;
    for (std::size_t i = 0; i < tasks; ++i)
        request.tasks[i].name = submission + ".0.0." + std::to_string(i);
    return request;
}

struct two_entries : simulated_fleet {
    two_entries() : simulated_fleet(1)
    {
        this->add_entry("entry.a", "recife");
        this->add_entry("entry.b", "fortaleza");
        this->add_agent("agent.1", "recife");
        this->add_agent("agent.2", "fortaleza");
        this->run(milliseconds(500));
    }
    void set_run_time(milliseconds time)
    {
        for (auto& [name, agent] : this->agents)
            agent.run_time = time;
    }
};

} // namespace

SCENARIO("a job is sent to a second entry while the first one runs it", "[entry][resubmission][known-red]")
{
    GIVEN("a job whose runs outlast the callers' delay, and whose caller has left unnoticed")
    {
        two_entries fleet;
        fleet.set_run_time(milliseconds(2500));
        fleet.submit("entry.a", make_submission("s1", 2));
        fleet.run(resend_delay);

        WHEN("the job arrives at the other entry")
        {
            auto const second = fleet.submit("entry.b", make_submission("s1", 2));
            fleet.run(milliseconds(4500));
            // Guards against runs that are kept apart by time alone.
            THEN("no task runs twice at the same time, and the caller is answered")
            {
                CHECK(fleet.violations.empty());
                REQUIRE(second->replies.size() == 1);
                CHECK(second->replies.front().answer.state == job_state::complete);
            }
        }
    }
}
