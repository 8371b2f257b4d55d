// The one place that Catch2's main is compiled.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
