// Seeded simulations of an agent with its worker and entries under overlapping troubles.
// GH_AGENT_SEED and GH_AGENT_SEEDS choose the first seed and the number of seeds; GH_AGENT_TRACE
// prints the trace of a seed that breaks a rule.

#include <catch2/catch.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

#include "agent/agent_simulation.h"

namespace {

using namespace greengagehead::agent::fakes;

std::uint64_t number_from_environment(char const* name, std::uint64_t otherwise)
{
    auto const* const text = std::getenv(name);
    return text == nullptr ? otherwise : std::stoull(text);
}

void print(simulation_result const& result, std::uint64_t seed)
{
    std::cout << "trace of seed " << seed << '\n';
    for (auto const& line : result.trace)
        std::cout << line << '\n';
}

/// Plays the seeds and checks that they break no rule.
/// @param default_seeds without GH_AGENT_SEEDS.
void play_seeds(agent_processes processes, std::uint64_t default_seeds)
{
    auto const first = number_from_environment("GH_AGENT_SEED", 1);
    auto const count = number_from_environment("GH_AGENT_SEEDS", default_seeds);
    bool const traced = std::getenv("GH_AGENT_TRACE") != nullptr;
    simulation_result sums;
    std::size_t broken = 0;
    std::string findings;
    for (auto seed = first; seed < first + count; ++seed) {
        auto const result = simulate_agent(seed, processes);
        sums.runs += result.runs;
        sums.runs_done += result.runs_done;
        sums.late_starts_exempted += result.late_starts_exempted;
        sums.frozen_runs_exempted += result.frozen_runs_exempted;
        if (result.violations.empty())
            continue;
        ++broken;
        constexpr std::size_t most_listed = 20;
        if (broken <= most_listed)
            findings += "seed " + std::to_string(seed) + " ("
                + std::to_string(result.violations.size()) + "): " + result.violations.front()
                + '\n';
        if (traced)
            print(result, seed);
    }
    WARN("seeds " << first << " to " << first + count - 1 << ": " << sums.runs << " runs, "
                  << sums.runs_done << " done, exempt: " << sums.late_starts_exempted
                  << " late starts for a former life, " << sums.frozen_runs_exempted
                  << " on frozen machines");
    INFO(findings);
    CHECK(sums.runs_done > 0);
    CHECK(broken == 0);
}

} // namespace

// Guards against runs that outlive their outcome, their entry or the patience of it, against runs
// that are lost without a cause, and against attempts without an outcome.
SCENARIO("an agent keeps the rules for runs under random troubles", "[agent][leased][schedules]")
{
    GIVEN("seeded troubles of the agent, its worker, the calls between them, and the entries")
    {
        THEN("no rule is broken")
        {
            constexpr std::uint64_t seeds = 40;
            play_seeds(agent_processes::one_at_a_time, seeds);
        }
    }
}

// Guards against runs that a process of the agent keeps on the worker although entries have learnt
// that the next one has replaced it.
SCENARIO("an agent keeps the rules for runs while two of its processes overlap",
         "[agent][leased][overlap]")
{
    GIVEN("the same troubles, and processes that call the worker for up to 2 s beside the next one")
    {
        THEN("no rule is broken")
        {
            constexpr std::uint64_t seeds = 10;
            play_seeds(agent_processes::overlapping, seeds);
        }
    }
}
