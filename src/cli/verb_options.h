// Options that verbs share, on cxxopts. Heavy include: only verb sources use it.

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

/// Parses the words of one verb. `--help` and wrong usage end the verb with `early_exit_code`.
class verb_options {
public:
    verb_options(std::string const& name, std::string const& summary)
        : options("greengagehead " + name, summary)
    {
        this->options.add_options()("help", "Show this help.")("json", "Print JSON.")(
            "entry", "Base URL of an entry.",
            cxxopts::value<std::string>()->default_value(default_entry()))(
            "token", "Bearer token; also from GREENGAGEHEAD_TOKEN.",
            cxxopts::value<std::string>()->default_value(default_token()));
    }

    cxxopts::OptionAdder add() { return this->options.add_options(); }

    /// Names the words that are not options, in their order. The first `required` must be given.
    void positional(std::vector<std::string> names, std::size_t required)
    {
        std::string help;
        for (auto const& name : names) {
            this->options.add_options("words")(name, "", cxxopts::value<std::string>());
            help += (help.empty() ? "" : " ") + name;
        }
        this->options.positional_help(help);
        this->options.parse_positional(names);
        this->needed.assign(names.begin(), names.begin() + static_cast<std::ptrdiff_t>(required));
    }

    /// Empty when the verb ends here, with the code in `early_exit_code`.
    std::optional<cxxopts::ParseResult> parse(arguments const& words)
    {
        std::vector<char const*> raw {"greengagehead"};
        for (auto const& word : words)
            raw.push_back(word.c_str());
        try {
            auto parsed = this->options.parse(static_cast<int>(raw.size()), raw.data());
            if (parsed.count("help") > 0) {
                std::cout << this->options.help({""}) << "\n";
                this->early_exit_code = exit_code::done;
                return std::nullopt;
            }
            for (auto const& name : this->needed) {
                if (parsed.count(name) == 0)
                    return this->report_usage_error(name + " is required");
            }
            if (!parsed.unmatched().empty())
                return this->report_usage_error("unexpected word " + parsed.unmatched().front());
            return parsed;
        } catch (cxxopts::exceptions::exception const& failure) {
            return this->report_usage_error(failure.what());
        }
    }

    std::nullopt_t report_usage_error(std::string const& message)
    {
        std::cerr << message << "\n\n" << this->options.help({""}) << "\n";
        this->early_exit_code = exit_code::usage;
        return std::nullopt;
    }

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
    std::vector<std::string> needed;
};

} // namespace greengagehead::cli
