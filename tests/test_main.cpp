// Main function of every test program. It is compiled with trompeloeil so that a violated
// expectation of a mock is reported as a failed Catch2 assertion.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
