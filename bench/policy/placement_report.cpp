// Prints the comparison of placement policies that docs/measurements.md quotes.

#include <cstdio>
#include <cstdlib>
#include <string_view>

#include "policy/placement_simulation.h"
#include "policy/target_simulation.h"

using namespace greengagehead::policy;

namespace {

void print_row(char const* name, placement_simulation_settings const& settings)
{
    auto const result = run_placement_simulation(settings);
    std::printf("%-34s %4u endpoints %3.0f%% load: median %.3f p99 %.3f worst queue %u refused "
                "%.4f per task\n",
                name, settings.endpoints, settings.load * 100, result.median, result.p99,
                result.max_queue_length, result.refused);
}

/// Mean over the kinds of job, which are worth the same in total. A late answer counts a fifth.
double mean_credit(target_simulation_result const& result)
{
    constexpr double late_answer_value = 0.2;
    double total = 0;
    for (auto const& kind : result.kinds)
        total += kind.in_target_share() + late_answer_value * kind.late / kind.submitted_jobs;
    return total / static_cast<double>(result.kinds.size());
}

void print_target_row(char const* name, target_simulation_settings const& settings)
{
    auto const result = run_target_simulation(settings);
    std::printf("%s, %2zu entries %3.0f%% load: credit %.3f", name, settings.entry_weights.size(),
                settings.load * 100, mean_credit(result));
    for (auto const& kind : result.kinds)
        std::printf("  in %.3f late %.3f refused %.3f", kind.in_target_share(),
                    static_cast<double>(kind.late) / kind.submitted_jobs,
                    static_cast<double>(kind.refused) / kind.submitted_jobs);
    std::printf("  refused starts %.2f per task, slots used %.2f\n", result.refused_starts,
                result.utilization);
}

/// Prints the outcomes of each kind of job in the users' mix of jobs with targets.
void print_target_table(std::uint64_t seed)
{
    struct site {
        std::size_t entries;
        std::uint32_t endpoints;
        double mean_task_slots;
    };
    for (site const& size : {site {1, 11, 57}, site {3, 11, 57}, site {4, 11, 62},
                             site {10, 60, 57}, site {12, 66, 62}, site {35, 160, 100}}) {
        for (double const load : {0.8, 0.9, 1.0, 1.2, 1.4}) {
            target_simulation_settings settings;
            settings.seed = seed;
            settings.load = load;
            settings.endpoints = size.endpoints;
            settings.mean_task_slots = size.mean_task_slots;
            if (size.entries != settings.entry_weights.size())
                settings.entry_weights.assign(size.entries, 1);
            print_target_row("targets", settings);
        }
    }
}

/// Prints the outcomes with endpoints of unequal speed, declared times that are wrong and a few
/// long runs.
void print_speed_table(std::uint64_t seed)
{
    for (std::size_t const entries : {1U, 3U, 13U}) {
        for (double const load : {0.5, 0.7, 0.8, 0.9, 1.0, 1.2}) {
            target_simulation_settings settings;
            settings.seed = seed;
            settings.load = load;
            settings.entry_weights.assign(entries, 1);
            settings.endpoints = entries == 13 ? 71 : 12;
            settings.slots = 320;
            settings.mean_task_slots = 36;
            settings.run_time_factor = 0.85;
            settings.declared_error = 0.4;
            settings.deadline = std::chrono::milliseconds(1500);
            settings.long_run_share = 0.03;
            for (bool const with_speeds : {false, true}) {
                settings.knowledge = with_speeds ? run_time_knowledge::learned_with_speeds
                                                 : run_time_knowledge::learned;
                settings.speeds = {1};
                print_target_row(with_speeds ? "equal speeds, learn_speed" : "equal speeds",
                                 settings);
                settings.speeds = {0.55, 1.2, 1.2, 1.2};
                print_target_row(with_speeds ? "unequal speeds, learn_speed" : "unequal speeds",
                                 settings);
            }
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    auto const seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    print_speed_table(seed);
    if (argc > 2 && std::string_view(argv[2]) == "speeds")
        return 0;
    print_target_table(seed);
    for (std::uint32_t const endpoints : {12U, 120U}) {
        for (double const load : {0.3, 0.7, 0.9}) {
            placement_simulation_settings settings;
            settings.seed = seed;
            settings.load = load;
            settings.endpoints = endpoints;
            settings.tasks = endpoints * 5000;
            settings.policy = "random";
            print_row("random, reports", settings);
            settings.policy = "least_loaded";
            print_row("least_loaded, reports", settings);
            settings.sharing = slot_sharing::fixed_credits;
            print_row("least_loaded, fixed credits", settings);
            settings.sharing = slot_sharing::leased;
            print_row("least_loaded, leased", settings);
            settings.entry_weights = {5, 3, 2};
            print_row("least_loaded, leased, skewed", settings);
            settings.sharing = slot_sharing::fixed_credits;
            print_row("least_loaded, fixed credits, skewed", settings);
            settings.sharing = slot_sharing::reports;
            print_row("least_loaded, reports, skewed", settings);
        }
    }
}
