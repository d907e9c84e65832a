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

bool accepts(const UpstreamPresence &presence, const char *id)
{
    return !presence.rejection(UpstreamName(id)).has_value();
}

}

TEST_CASE("requests for any upstream are accepted before an upstream was listed or has answered")
{
    UpstreamPresence presence;
    presence.onListed(nullptr);
    CHECK(accepts(presence, "i-1"));
    CHECK(accepts(presence, ""));
}

TEST_CASE(
    "requests for an upstream that drains or is no longer listed are rejected, and accepted when it is ready again")
{
    UpstreamPresence presence;
    const InstanceRecord ready = recordOf("i-1");
    const InstanceRecord draining = recordOf("i-1", InstanceState::Draining);
    presence.onListed(&ready);
    CHECK(accepts(presence, "i-1"));
    presence.onListed(&draining);
    CHECK_FALSE(accepts(presence, "i-1"));
    presence.onListed(&ready);
    CHECK(accepts(presence, "i-1"));
    presence.onListed(nullptr);
    CHECK_FALSE(accepts(presence, "i-1"));
    presence.onListed(nullptr);
    CHECK_FALSE(accepts(presence, "i-1"));
}

TEST_CASE("a replacement at the address gets its own requests, and requests for its predecessor are rejected")
{
    UpstreamPresence presence;
    const InstanceRecord first = recordOf("i-1");
    const InstanceRecord second = recordOf("i-2");
    presence.onListed(&first);
    presence.onAnswered(UpstreamName("i-1"));
    presence.onListed(&second);
    CHECK_FALSE(accepts(presence, "i-1"));
    presence.onAnswered(UpstreamName("i-2"));
    CHECK(accepts(presence, "i-2"));
    CHECK_FALSE(accepts(presence, "i-1"));
}
