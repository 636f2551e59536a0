// Entry point of the greengagehead program.

#include <exception>
#include <iostream>
#include <span>

#include "cli/command_line.h"
#include "platform/verbs.h"

int main(int count, char** words)
{
    try {
        return static_cast<int>(greengagehead::cli::run_command_line(
            std::span<char const* const>(words, static_cast<std::size_t>(count)),
            greengagehead::platform::verbs()));
    } catch (std::exception const& failure) {
        std::cerr << "unexpected failure: " << failure.what() << "\n";
        return static_cast<int>(greengagehead::cli::exit_code::failed);
    }
}
