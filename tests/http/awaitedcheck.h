#pragma once

#include <catch2/catch.hpp>

#include <boost/assert/source_location.hpp>

namespace Egretpath
{

/// CHECK() for an awaited value. Catch2's macros contain their expression twice, the second time in code that is never
/// executed. g++ 12 executes a co_await there nevertheless and so runs the operation again.
template<typename Value>
void checkAwaited(const Value &value, boost::source_location location = BOOST_CURRENT_LOCATION)
{
    INFO(location.file_name() << ":" << location.line());
    CHECK(static_cast<bool>(value));
}

/// REQUIRE() for an awaited value: as checkAwaited(), but stops the test if the value is false or an error.
template<typename Value>
void requireAwaited(const Value &value, boost::source_location location = BOOST_CURRENT_LOCATION)
{
    INFO(location.file_name() << ":" << location.line());
    REQUIRE(static_cast<bool>(value));
}

}
