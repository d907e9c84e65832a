#pragma once

#include <catch2/catch.hpp>

#include <string>

#include "sidecarfixture.h"

namespace Egretpath
{

// These functions keep co_await out of CHECK: g++ 12 destroys the temporaries of such expressions twice.

inline void checkStatus(const Reply &reply, std::uint16_t expected)
{
    CHECK(reply.status == expected);
}

inline void checkReadiness(std::uint16_t status, std::uint16_t expected)
{
    CHECK(status == expected);
}

inline void checkHappened(bool happened)
{
    CHECK(happened);
}

/// Two upstreams of one service with their nodes, and with the routes and the list published.
struct Deployment : SidecarFixture
{
    Deployment()
        : one(addUpstream("i-1"))
        , two(addUpstream("i-2"))
        , first(addNode(one, "statements"))
        , second(addNode(two, "statements"))
    {
        catalog.publishRoutes(10);
        catalog.publishList();
    }

    [[nodiscard]] int runs(const std::string &request) const { return one.runs(request) + two.runs(request); }

    FakeUpstream &one;
    FakeUpstream &two;
    TestNode &first;
    TestNode &second;
};

}
