#include "node/blackboard.h"

#include <utility>

#include "settings/nodesettingsreader.h"

namespace Egretpath
{

namespace
{

EventLogSettings logSettings(const LogSettings &settings)
{
    return {settings.file, std::string(toString(settings.level)), settings.decisionsPerSecond};
}

}

Blackboard::Blackboard(NodeSettings nodeSettings, Incarnation incarnation, std::uint64_t seed)
    : settings(std::move(nodeSettings))
    , self{settings.node.upstream, incarnation}
    , location{settings.node.region, settings.node.zone}
    , random(seed)
    , log(logSettings(settings.log))
{
}

}
