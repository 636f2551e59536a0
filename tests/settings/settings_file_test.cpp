// Checks of settings files.

#include <algorithm>

#include <catch2/catch.hpp>

#include "settings/settings_file.h"

namespace {

using namespace greengagehead::settings;

char const* const entry_file = R"(
name = "recife-1"
zone = "recife"
roles = ["entry"]

[entry]
listen = "127.0.0.1:9101"
http = "127.0.0.1:9102"

[[controls]]
name = "recife-c"
address = "127.0.0.1:9001"
)";

bool has_problem(settings_check const& check, std::string const& key, std::uint32_t line)
{
    return std::any_of(check.problems.begin(), check.problems.end(), [&](auto const& problem) {
        return problem.key == key && problem.line == line;
    });
}

} // namespace

SCENARIO("a settings file is checked as a whole")
{
    // Guards against a valid file being rejected or read incompletely.
    GIVEN("a correct file of an entry")
    {
        auto const check = read_settings_text(entry_file, "entry.toml");
        THEN("it is read without problems")
        {
            CHECK(check.problems.empty());
            CHECK(check.settings.entry_http == "127.0.0.1:9102");
            CHECK(check.settings.controls.size() == 1);
        }
    }

    // Guards against a part that is on without its setting, or off because of a wrong value.
    GIVEN("a file of an entry with and without entry.share_by_demand")
    {
        std::string text(entry_file);
        CHECK_FALSE(read_settings_text(text, "entry.toml").settings.share_by_demand);
        auto const with_value = [&text](std::string const& value) {
            auto changed = text;
            changed.insert(changed.find("listen = "), "share_by_demand = " + value + "\n");
            return read_settings_text(changed, "entry.toml");
        };
        THEN("it is off by default, and must be true or false")
        {
            CHECK(with_value("true").settings.share_by_demand);
            CHECK(has_problem(with_value("1"), "entry.share_by_demand", 7));
        }
    }

    // Guards against a part that is on without its setting, or that a misspelt value turns on.
    GIVEN("files with and without a value for learn_speed")
    {
        auto const with_value = [](std::string const& value) {
            std::string text(entry_file);
            text.insert(text.find("http ="), "learn_speed = " + value + "\n");
            return read_settings_text(text, "entry.toml");
        };
        THEN("it is off by default, and only true or false is accepted")
        {
            CHECK_FALSE(read_settings_text(entry_file, "entry.toml").settings.learn_speed);
            CHECK(with_value("true").settings.learn_speed);
            CHECK(with_value("true").problems.empty());
            CHECK(has_problem(with_value("\"yes\""), "entry.learn_speed", 8));
        }
    }

    // Guards against an aim of a wrong unit, which refuses everybody or nobody.
    GIVEN("files with and without a value for max_loop_delay_ms")
    {
        auto const with_value = [](std::string const& value) {
            std::string text(entry_file);
            text.insert(text.find("http ="), "max_loop_delay_ms = " + value + "\n");
            return read_settings_text(text, "entry.toml");
        };
        THEN("it has a default, can be turned off, and is at most ten seconds")
        {
            auto const standard = read_settings_text(entry_file, "entry.toml");
            CHECK(standard.settings.max_loop_delay > std::chrono::milliseconds(0));
            CHECK(with_value("0").problems.empty());
            CHECK(with_value("0").settings.max_loop_delay == std::chrono::milliseconds(0));
            CHECK(has_problem(with_value("10001"), "entry.max_loop_delay_ms", 8));
        }
    }

    // Guards against reporting only the first problem, so that a file must be fixed one error at a
    // time.
    GIVEN("a file with an unknown key, a value out of range and a malformed address")
    {
        std::string text(entry_file);
        text.replace(text.find("127.0.0.1:9102"), 14, "localhost:9102");
        text += "\n[limits]\ntasks_per_job = 0\n\n[timing]\nleave_dely_ms = 5\n";
        auto const check = read_settings_text(text, "entry.toml");
        THEN("all three are reported with their lines")
        {
            CHECK(check.problems.size() == 3);
            CHECK(has_problem(check, "entry.http", 8));
            CHECK(has_problem(check, "limits.tasks_per_job", 15));
            CHECK(has_problem(check, "timing.leave_dely_ms", 18));
        }
    }

    // Guards against a process that starts although it could never serve a request of the largest
    // size.
    GIVEN("a file whose memory is too small for the largest body")
    {
        std::string text(entry_file);
        text += "\n[limits]\nmemory_mb = 32\nconnections = 100\naddress_connections = 101\n";
        auto const check = read_settings_text(text, "entry.toml");
        THEN("it is reported, as is a limit for one address above that for all")
        {
            CHECK(check.problems.size() == 2);
            CHECK(has_problem(check, "limits.memory_mb", 15));
            CHECK(has_problem(check, "limits.address_connections", 17));
        }
    }
    // Guards against a check that refuses the smallest machines of customers.
    GIVEN("a file with the memory of a machine of 120 MB")
    {
        std::string text(entry_file);
        text += "\n[limits]\nmemory_mb = 114\n";
        auto const check = read_settings_text(text, "entry.toml");
        THEN("it is accepted, and a quarter of it is for connections")
        {
            CHECK(check.problems.empty());
            CHECK(connection_budget_bytes(check.settings.limits) == (114UL << 20U) / 4);
        }
    }

    // Guards against a process that starts without a setting that its role requires and fails
    // later.
    GIVEN("a control member without a data folder")
    {
        auto const check = read_settings_text(
            "name = \"c\"\nzone = \"z\"\nroles = [\"control\"]\n[control]\nlisten = "
            "\"127.0.0.1:1\"\n",
            "control.toml");
        THEN("the missing key is reported")
        {
            CHECK(has_problem(check, "data", 0));
        }
    }

    // Guards against a syntax error that is reported without its line.
    GIVEN("a file that is not TOML")
    {
        auto const check = read_settings_text("name = \n", "broken.toml");
        THEN("the line of the syntax error is reported")
        {
            CHECK(has_problem(check, "", 1));
        }
    }
}

SCENARIO("an operator turns on fair shares of accounts")
{
    auto const check_with = [](std::string const& line) {
        std::string text(entry_file);
        text.insert(text.find("listen"), line + "\n");
        return read_settings_text(text, "entry.toml");
    };
    // Guards against a part that changes decisions without its setting.
    THEN("they are off without the setting")
    {
        CHECK_FALSE(read_settings_text(entry_file, "entry.toml").settings.fair_accounts);
        CHECK(check_with("fair_accounts = true").settings.fair_accounts);
    }
    // Guards against a value that is taken for false without notice.
    THEN("a value that is not a flag is reported with its line")
    {
        for (auto const* line : {"fair_accounts = 1", "fair_accounts = \"yes\""})
            CHECK(has_problem(check_with(line), "entry.fair_accounts", 7));
    }
}
