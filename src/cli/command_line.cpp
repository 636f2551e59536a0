// Table of verbs.

#include "cli/command_line.h"

#include <algorithm>
#include <array>
#include <iostream>

namespace greengagehead::cli {

namespace {

constexpr std::array verbs {
    verb {"run", "run [--config FILE] [--data DIR] [--http ADDR] [--announce ADDR]",
          "Run the roles of a settings file, or all roles on loopback.", &run_verb},
    verb {"check", "check FILE", "Check a settings file and list every problem.", &check_verb},
    verb {"submit", "submit --team T [--id ID] [--wait DURATION] FILE|-",
          "Submit a job and print its answer.", &submit_verb},
    verb {"job", "job ID [--wait DURATION]", "Print the answer of a job.", &job_verb},
    verb {"cancel", "cancel ID", "Stop a job.", &cancel_verb},
    verb {"explain", "explain ID", "Print every decision on a job.", &explain_verb},
    verb {"config", "config get|set|list|history PATH [VALUE] [--expect VERSION]",
          "Read or change settings of the fleet.", &config_verb},
    verb {"zone", "zone out|in ZONE", "Take a zone out or bring it back.", &zone_verb},
    verb {"drain", "drain ENDPOINT [--undo]", "Give an endpoint no new work.", &drain_verb},
    verb {"status", "status [--watch]", "Show processes, zones, endpoints and queues.",
          &status_verb},
    verb {"control", "control list|add|remove|replace MEMBER [REPLACEMENT] [--address ADDR]",
          "Show or change the members of the control group.", &control_verb},
    verb {"bench", "bench [--entries URL,...] [--rate N] [--seconds N] WORKLOAD",
          "Load a running fleet and measure its answers.", &bench_verb},
};

void print_usage(std::ostream& output, std::vector<verb> const& all)
{
    output << "usage: greengagehead VERB [OPTIONS]\n\n";
    for (auto const& item : all)
        output << "  " << item.usage << "\n      " << item.summary << "\n";
    output << "\nEach verb has --help. Exit codes: 0 done, 1 failed or refused, 2 wrong usage or "
              "settings.\n";
}

} // namespace

exit_code run_command_line(std::span<char const* const> words, std::span<verb const> further)
{
    std::vector<verb> all(verbs.begin(), verbs.end());
    all.insert(all.end(), further.begin(), further.end());
    std::string const name = words.size() > 1 ? words[1] : "";
    if (name == "--help" || name == "-h" || name == "help") {
        print_usage(std::cout, all);
        return exit_code::done;
    }
    auto const found = std::find_if(all.begin(), all.end(),
                                    [&name](verb const& item) { return item.name == name; });
    if (found == all.end()) {
        std::cerr << (name.empty() ? "a verb is required" : "unknown verb " + name) << "\n\n";
        print_usage(std::cerr, all);
        return exit_code::usage;
    }
    return found->run({words.begin() + 2, words.end()});
}

} // namespace greengagehead::cli
