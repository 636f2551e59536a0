// Table of verbs, and lookup of the verb to run.

#include "cli/command_line.h"

#include <algorithm>
#include <array>
#include <iostream>

namespace greengagehead::cli {

namespace {

constexpr std::array built_in_verbs {
    verb {"run", "run [--config FILE] [--data DIR] [--http ADDR] [--announce ADDR]",
          "Run the roles of a settings file, or all roles on loopback.", &run_verb},
    verb {"check", "check FILE", "Check a settings file and list every problem.", &check_verb},
    verb {"submit", "submit --team T [--id ID] [--wait DURATION] FILE|-",
          "Submit a job and print its answer.", &submit_verb},
    verb {"job", "job ID [--wait DURATION]", "Print the answer of a job.", &job_verb},
    verb {"cancel", "cancel ID", "Cancel a job.", &cancel_verb},
    verb {"explain", "explain ID", "Print every decision made about a job.", &explain_verb},
    verb {"config", "config get|set|list|history PATH [VALUE] [--expect VERSION]",
          "Read or change settings of the fleet.", &config_verb},
    verb {"zone", "zone out|in ZONE", "Take a zone out of service or bring it back.", &zone_verb},
    verb {"drain", "drain ENDPOINT [--undo]", "Stop sending new work to an endpoint.", &drain_verb},
    verb {"status", "status [--watch]", "Show processes, zones, endpoints and queues.",
          &status_verb},
    verb {"control", "control list|add|remove|replace MEMBER [REPLACEMENT] [--address ADDR]",
          "Show or change the members of the control group.", &control_verb},
    verb {"bench", "bench [--entries URL,...] [--rate N] [--seconds N] WORKLOAD",
          "Send load to a running fleet and measure its response times.", &bench_verb},
};

void print_usage(std::ostream& output, std::vector<verb> const& all_verbs)
{
    output << "usage: greengagehead VERB [OPTIONS]\n\n";
    for (auto const& listed : all_verbs)
        output << "  " << listed.usage << "\n      " << listed.summary << "\n";
    output << "\nEach verb has --help. Exit codes: 0 done, 1 failed or refused, 2 wrong usage or "
              "invalid settings.\n";
}

} // namespace

exit_code run_command_line(std::span<char const* const> args,
                           std::span<verb const> additional_verbs)
{
    std::vector<verb> all_verbs(built_in_verbs.begin(), built_in_verbs.end());
    all_verbs.insert(all_verbs.end(), additional_verbs.begin(), additional_verbs.end());
    std::string const name = args.size() > 1 ? args[1] : "";
    if (name == "--help" || name == "-h" || name == "help") {
        print_usage(std::cout, all_verbs);
        return exit_code::done;
    }
    auto const found
        = std::find_if(all_verbs.begin(), all_verbs.end(),
                       [&name](verb const& candidate) { return candidate.name == name; });
    if (found == all_verbs.end()) {
        std::cerr << (name.empty() ? "a verb is required" : "unknown verb " + name) << "\n\n";
        print_usage(std::cerr, all_verbs);
        return exit_code::usage;
    }
    return found->run({args.begin() + 2, args.end()});
}

} // namespace greengagehead::cli
