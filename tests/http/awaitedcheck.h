#pragma once

#include <catch2/catch.hpp>

#include <boost/assert/source_location.hpp>

namespace Egretpath
{

/// CHECK() for a value that was awaited. Catch2's macros name their expression twice, the second time where it never
/// runs; g++ 12 runs a co_await there all the same, and the operation would happen again.
template<typename Value>
void checkAwaited(const Value &value, boost::source_location where = BOOST_CURRENT_LOCATION)
{
    INFO(where.file_name() << ":" << where.line());
    CHECK(static_cast<bool>(value));
}

/// As checkAwaited(), but ends the test when the value is false or an error.
template<typename Value>
void requireAwaited(const Value &value, boost::source_location where = BOOST_CURRENT_LOCATION)
{
    INFO(where.file_name() << ":" << where.line());
    REQUIRE(static_cast<bool>(value));
}

}
