// Entry point of the greengagehead program.

#include <exception>
#include <iostream>
#include <span>

#include "cli/command_line.h"
#include "platform/verbs.h"

int main(int argument_count, char** arguments)
{
    try {
        return static_cast<int>(greengagehead::cli::run_command_line(
            std::span<char const* const>(arguments, static_cast<std::size_t>(argument_count)),
            greengagehead::platform::verbs()));
    } catch (std::exception const& failure) {
        std::cerr << "greengagehead failed with an unexpected error: " << failure.what() << "\n";
        return static_cast<int>(greengagehead::cli::exit_code::failed);
    }
}
