#include <catch2/catch.hpp>

#include "egress/upstreampresence.h"

using namespace Egretpath;

namespace
{

InstanceRecord recordOf(const char *id, InstanceState state = InstanceState::Ready)
{
    InstanceRecord record;
    record.id = UpstreamName(id);
    record.state = state;
    return record;
}

bool takes(const UpstreamPresence &presence, const char *id)
{
    return !presence.rejection(UpstreamName(id)).has_value();
}

}

TEST_CASE("before anything is known, requests for anybody are handed over")
{
    UpstreamPresence presence;
    presence.listed(nullptr);
    CHECK(takes(presence, "i-1"));
    CHECK(takes(presence, ""));
}

TEST_CASE("an upstream that drains or is listed no more gets nothing, and one that is ready again does")
{
    UpstreamPresence presence;
    const InstanceRecord ready = recordOf("i-1");
    const InstanceRecord draining = recordOf("i-1", InstanceState::Draining);
    presence.listed(&ready);
    CHECK(takes(presence, "i-1"));
    presence.listed(&draining);
    CHECK_FALSE(takes(presence, "i-1"));
    presence.listed(&ready);
    CHECK(takes(presence, "i-1"));
    presence.listed(nullptr);
    CHECK_FALSE(takes(presence, "i-1"));
    presence.listed(nullptr);
    CHECK_FALSE(takes(presence, "i-1"));
}

TEST_CASE("a replacement at the address gets its own requests, and those of its predecessor go elsewhere")
{
    UpstreamPresence presence;
    const InstanceRecord first = recordOf("i-1");
    const InstanceRecord second = recordOf("i-2");
    presence.listed(&first);
    presence.answered(UpstreamName("i-1"));
    presence.listed(&second);
    CHECK_FALSE(takes(presence, "i-1"));
    presence.answered(UpstreamName("i-2"));
    CHECK(takes(presence, "i-2"));
    CHECK_FALSE(takes(presence, "i-1"));
}
