#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

// Reports of trompeloeil's mocks reach Catch2 only if its adapter is compiled once.
#include <catch2/trompeloeil.hpp>
