// Prints the comparison of placement policies that docs/measurements.md quotes.

#include <array>
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

/// Prints what each account gets, with and without fair shares, when each kind of job is an
/// account.
void print_account_table(std::uint64_t seed)
{
    struct demand {
        char const* name;
        std::array<double, job_kind_count> rates;
    };
    for (auto const& kinds : {demand {"even", {1, 1, 1}}, demand {"short x3", {3, 1, 1}},
                              demand {"middle x3", {1, 3, 1}}, demand {"long x3", {1, 1, 3}}}) {
        for (double const load : {0.9, 1.2, 1.6}) {
            for (bool const fair : {false, true}) {
                target_simulation_settings settings;
                settings.seed = seed;
                settings.load = load;
                settings.endpoints = 76;
                settings.mean_task_slots = 72;
                settings.entry_weights.assign(14, 1);
                settings.kind_rates = kinds.rates;
                settings.fair_accounts = fair;
                auto const result = run_target_simulation(settings);
                std::printf("accounts, %-9s %3.0f%% load, %s: credit %.3f", kinds.name, load * 100,
                            fair ? "fair" : "off ", mean_credit(result));
                for (auto const& kind : result.kinds)
                    std::printf("  in %.3f late %.3f refused %.3f", kind.in_target_share(),
                                static_cast<double>(kind.late) / kind.submitted_jobs,
                                static_cast<double>(kind.refused) / kind.submitted_jobs);
                std::printf("  slots used %.2f\n", result.utilization);
            }
        }
    }
}

/// Ways of dividing the slots among the entries.
struct division {
    char const* name;
    bool share_by_demand;
    bool move_refused_jobs;
};
constexpr std::array divisions {
    division {"equal parts", false, false}, division {"parts by demand", true, false},
    division {"equal parts, moved", false, true}, division {"by demand, moved", true, true}};

/// One in four entries gets three times as much work as the others.
std::vector<double> unequal_arrivals(std::size_t entries)
{
    std::vector<double> weights;
    for (std::size_t index = 0; index < entries; ++index)
        weights.push_back(index % 4 == 0 ? 3 : 1);
    return weights;
}

void print_share_rows(target_simulation_settings settings, char const* arrivals)
{
    for (auto const& way : divisions) {
        settings.share_by_demand = way.share_by_demand;
        settings.move_refused_jobs = way.move_refused_jobs;
        auto const result = run_target_simulation(settings);
        std::uint32_t submitted = 0;
        std::uint32_t in_target = 0;
        std::uint32_t refused = 0;
        for (auto const& kind : result.kinds) {
            submitted += kind.submitted_jobs;
            in_target += kind.in_target;
            refused += kind.refused;
        }
        std::printf("shares, %2zu entries %3.0f%% load, %s arrivals, %-18s: credit %.3f jobs %u in "
                    "target %.3f refused %.3f worst entry %.3f moved %u tables %llu refused "
                    "starts %.2f slots used %.2f\n",
                    settings.entry_weights.size(), settings.load * 100, arrivals, way.name,
                    mean_credit(result), submitted, static_cast<double>(in_target) / submitted,
                    static_cast<double>(refused) / submitted, result.worst_entry_refused,
                    result.moved_jobs, static_cast<unsigned long long>(result.tables),
                    result.refused_starts, result.utilization);
        std::fflush(stdout);
    }
}

/// Prints what the shares by demand and the moving of refused jobs change.
void print_share_table(std::uint64_t seed)
{
    struct site {
        std::size_t entries;
        std::uint32_t endpoints;
        std::uint32_t slots;
        double mean_task_slots;
    };
    for (site const& size :
         {site {3, 11, 640, 57}, site {4, 11, 640, 62}, site {10, 60, 640, 57},
          site {13, 71, 320, 57}, site {14, 76, 640, 72}, site {35, 160, 640, 100}}) {
        for (double const load : {0.9, 1.1}) {
            target_simulation_settings settings;
            settings.seed = seed;
            settings.load = load;
            settings.endpoints = size.endpoints;
            settings.slots = size.slots;
            settings.mean_task_slots = size.mean_task_slots;
            settings.entry_weights.assign(size.entries, 1);
            print_share_rows(settings, "equal");
            settings.entry_weights = unequal_arrivals(size.entries);
            print_share_rows(settings, "unequal");
        }
    }
}

} // namespace

/// Arguments: the seed, and `shares` or `speeds` to print only the rows of that part.
int main(int argc, char** argv)
{
    auto const seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::string_view const part = argc > 2 ? argv[2] : "";
    if (part == "shares") {
        print_share_table(seed);
        return 0;
    }
    print_speed_table(seed);
    if (part == "speeds")
        return 0;
    print_account_table(seed);
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
