// Options that all verbs share, parsed with cxxopts. Include it only in the sources of verbs: the
// header of cxxopts is slow to compile.

#pragma once

#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <cxxopts.hpp>

#include "cli/command_line.h"

namespace greengagehead::cli {

/// Parses the arguments of one verb. `--help` and wrong usage end the verb with `early_exit_code`.
class verb_options {
public:
    verb_options(std::string const& name, std::string const& summary)
        : options("greengagehead " + name, summary)
    {
        this->options.add_options()("help", "Show this help.")("json", "Print JSON.")(
            "entry", "Base URL of an entry.",
            cxxopts::value<std::string>()->default_value(default_entry()))(
            "token", "Bearer token; default from GREENGAGEHEAD_TOKEN.",
            cxxopts::value<std::string>()->default_value(default_token()));
    }

    cxxopts::OptionAdder add() { return this->options.add_options(); }

    /// Names the positional arguments in their order. The first `required_count` of them must be
    /// given.
    void positional(std::vector<std::string> names, std::size_t required_count)
    {
        std::string help;
        for (auto const& name : names) {
            this->options.add_options("words")(name, "", cxxopts::value<std::string>());
            help += (help.empty() ? "" : " ") + name;
        }
        this->options.positional_help(help);
        this->options.parse_positional(names);
        this->required_names.assign(names.begin(),
                                    names.begin() + static_cast<std::ptrdiff_t>(required_count));
    }

    /// Returns nothing when the verb ends here with `early_exit_code`: the help or a usage error
    /// has been printed.
    std::optional<cxxopts::ParseResult> parse(arguments const& args)
    {
        std::vector<char const*> argv {"greengagehead"};
        for (auto const& argument : args)
            argv.push_back(argument.c_str());
        try {
            auto parsed = this->options.parse(static_cast<int>(argv.size()), argv.data());
            if (parsed.count("help") > 0) {
                std::cout << this->options.help({""}) << "\n";
                this->early_exit_code = exit_code::done;
                return std::nullopt;
            }
            for (auto const& name : this->required_names) {
                if (parsed.count(name) == 0)
                    return this->report_usage_error(name + " is required");
            }
            if (!parsed.unmatched().empty())
                return this->report_usage_error("unexpected argument "
                                                + parsed.unmatched().front());
            return parsed;
        } catch (cxxopts::exceptions::exception const& failure) {
            return this->report_usage_error(failure.what());
        }
    }

    /// Prints the message and the help to standard error.
    std::nullopt_t report_usage_error(std::string const& message)
    {
        std::cerr << message << "\n\n" << this->options.help({""}) << "\n";
        this->early_exit_code = exit_code::usage;
        return std::nullopt;
    }

    /// Exit code of a verb that ends before it has run. Valid after parse() has returned nothing or
    /// after report_usage_error().
    exit_code early_exit_code = exit_code::done;

private:
    static std::string from_environment(char const* name, char const* fallback)
    {
        char const* const value = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
        return value == nullptr ? fallback : value;
    }
    static std::string default_entry()
    {
        return from_environment("GREENGAGEHEAD_ENTRY", "http://127.0.0.1:8410");
    }
    static std::string default_token() { return from_environment("GREENGAGEHEAD_TOKEN", ""); }

    cxxopts::Options options;
    std::vector<std::string> required_names;
};

} // namespace greengagehead::cli
