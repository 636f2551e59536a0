// Checks the settings templates in the deploy folder.

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>
#include <string>

namespace {

std::string read_file(std::filesystem::path const& path)
{
    std::ifstream input(path);
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

} // namespace

SCENARIO("the settings templates contain no fixed port", "[platform][deploy]")
{
    for (auto const* name : {"entry.toml", "agent.toml", "control.toml"}) {
        GIVEN(name)
        {
            auto const text = read_file(std::filesystem::path(GH_SOURCE_DIR) / "deploy" / name);
            REQUIRE_FALSE(text.empty());
            // Guards against a fixed port of the agent that the platform gives to the worker: the
            // agent then called itself, took the worker for unhealthy and served nothing.
            THEN("every port comes from the platform")
            {
                CHECK_FALSE(std::regex_search(text, std::regex(":[0-9]+\"")));
            }
        }
    }
}
