// A machine is suspended with an agent and its worker, and goes on with its runs when it wakes.
// Nobody can tell it meanwhile from one that is gone.

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

#include "entry/resubmission_fixture.h"

namespace {

using namespace greengagehead;
using namespace greengagehead::test;
using protocol::job_state;
using status = entry::submit_reply::kind;

/// Callers wait for this long.
constexpr milliseconds deadline {1500};

struct suspended_fleet : linked_fleet {
    suspended_fleet() : linked_fleet({"entry.a", "entry.b", "entry.c"})
    {
        this->set_run_time(milliseconds(450));
        for (auto& [name, agent] : this->agents)
            agent.slots = 32;
    }
    std::shared_ptr<submission> send(std::string const& entry, std::string const& name)
    {
        auto request = make_submission(name, 2);
        request.deadline = deadline;
        return this->submit(entry, request, deadline);
    }
    /// Nothing is heard of the machine, and nothing goes on there, until `wake`.
    void suspend(std::string const& agent)
    {
        this->isolated.insert(agent);
        this->suspended_at = this->now;
        for (auto& [key, record] : this->agents.at(agent).records)
            record.ends += std::chrono::hours(1);
    }
    void wake(std::string const& agent)
    {
        this->isolated.erase(agent);
        auto const time = this->now - this->suspended_at;
        for (auto& [key, record] : this->agents.at(agent).records)
            record.ends += time - std::chrono::hours(1);
    }
    /// The entry ends with its links.
    void kill(std::string const& entry)
    {
        this->isolated.insert(entry);
        for (auto const& [name, core] : this->entries) {
            if (name != entry)
                this->close_link(entry, name);
        }
    }

    /// The entry starts again and connects to the others.
    void restart(std::string const& entry)
    {
        this->isolated.erase(entry);
        this->add_entry(entry, "recife");
        for (auto const& [name, core] : this->entries) {
            if (name == entry)
                continue;
            core->peer_up(entry, this->now);
            this->entries.at(entry)->peer_up(name, this->now);
        }
    }

    steady_time suspended_at;
};

bool complete(simulated_fleet::submission const& submission)
{
    return submission.replies.size() == 1
        && submission.replies.front().answer.state == job_state::complete;
}

bool unknown(simulated_fleet::submission const& submission)
{
    return submission.replies.size() == 1 && submission.replies.front().status == status::unknown;
}

} // namespace

SCENARIO("a machine is suspended while it runs tasks", "[entry][suspended]")
{
    GIVEN("jobs with runs there, whose callers send them again at other entries")
    {
        suspended_fleet fleet;
        auto const time = GENERATE(1200, 2000, 2500, 3800, 6000, 20'000);
        bool const entry_is_killed = GENERATE(false, true);
        std::vector<std::string> const names {"s0", "s1", "s2", "s3"};
        for (auto const& name : names)
            fleet.send("entry.a", name);
        REQUIRE(fleet.run_until([&fleet] { return fleet.running() == 8; }));
        fleet.suspend("agent.1");
        auto const wakes = fleet.now + milliseconds(time);
        if (entry_is_killed)
            fleet.kill("entry.a");

        WHEN("it wakes")
        {
            std::vector<std::string> const entries {"entry.b", "entry.c", "entry.b"};
            auto next_entry = entries.begin();
            bool awake = false;
            std::vector<std::shared_ptr<simulated_fleet::submission>> last;
            auto const pass = [&](milliseconds duration) {
                auto const end = fleet.now + duration;
                if (!awake && end >= wakes) {
                    fleet.run(std::chrono::duration_cast<milliseconds>(wakes - fleet.now));
                    fleet.wake("agent.1");
                    awake = true;
                }
                fleet.run(std::chrono::duration_cast<milliseconds>(end - fleet.now));
            };
            do {
                pass(deadline + resend_delay);
                last.clear();
                for (auto const& name : names)
                    last.push_back(fleet.send(*next_entry, name));
                next_entry = next_entry + 1 == entries.end() ? entries.begin() : next_entry + 1;
            } while (!awake);
            pass(deadline + resend_delay);
            for (std::size_t i = 0; i < names.size(); ++i) {
                if (!complete(*last[i]))
                    last[i] = fleet.send("entry.c", names[i]);
            }
            pass(deadline + resend_delay);
            // Guards against silence that is taken for the end of a run: the machine keeps its
            // lease while its clock stands still.
            THEN("no task ran twice at the same time, and all jobs are served then")
            {
                INFO("suspended for " << time << " ms, entry killed: " << entry_is_killed);
                CHECK(fleet.violations == std::vector<std::string> {});
                for (auto const& request : last)
                    CHECK(complete(*request));
            }
        }
    }
}

SCENARIO("a caller returns while the machine of its runs is not heard", "[entry][suspended]")
{
    GIVEN("a job whose first caller has got no answer")
    {
        suspended_fleet fleet;
        fleet.send("entry.a", "s0");
        REQUIRE(fleet.run_until([&fleet] { return fleet.running() == 2; }));
        auto const agent = fleet.agents.at("agent.1").running() > 0 ? "agent.1" : "agent.2";
        fleet.suspend(agent);
        fleet.run(deadline + resend_delay);

        WHEN("it sends the job to any entry")
        {
            auto const entry = GENERATE("entry.b", "entry.c");
            auto const second = fleet.send(entry, "s0");
            fleet.run(milliseconds(700));
            // Guards against a caller that waits until its deadline for what may not come, and
            // against one that is told that its job has not run.
            THEN("it is told soon that the state of the job is not known")
            {
                CHECK(unknown(*second));
                CHECK(fleet.violations == std::vector<std::string> {});
            }
        }
    }
}

SCENARIO("the entry of the runs starts again while their machine is suspended",
         "[entry][suspended]")
{
    GIVEN("jobs with runs there, whose entry has ended and started again")
    {
        suspended_fleet fleet;
        std::vector<std::string> const names {"s0", "s1", "s2", "s3"};
        for (auto const& name : names)
            fleet.send("entry.a", name);
        REQUIRE(fleet.run_until([&fleet] { return fleet.running() == 8; }));
        fleet.suspend("agent.1");
        fleet.run(milliseconds(300));
        fleet.kill("entry.a");
        fleet.run(milliseconds(1000));
        fleet.restart("entry.a");

        WHEN("the callers send them again, also to that entry, until the machine wakes")
        {
            auto const time = GENERATE(1400, 2000, 2600, 3200, 3800);
            auto const wakes = fleet.now + milliseconds(time);
            while (fleet.now < wakes) {
                for (auto const& name : names)
                    fleet.send("entry.a", name);
                fleet.run(milliseconds(200));
            }
            fleet.wake("agent.1");
            fleet.run(deadline);
            // Guards against an entry that asks only the agents that it has heard since its start,
            // and takes their answers for the end of all runs.
            THEN("no task ran twice at the same time")
            {
                INFO("woken " << time << " ms after the start of the entry");
                CHECK(fleet.violations == std::vector<std::string> {});
            }
            THEN("all jobs are served after it has woken")
            {
                std::vector<std::shared_ptr<simulated_fleet::submission>> last;
                for (auto const& name : names)
                    last.push_back(fleet.send("entry.a", name));
                fleet.run(deadline + resend_delay);
                for (auto& request : last)
                    CHECK(complete(*request));
            }
        }
    }
}
