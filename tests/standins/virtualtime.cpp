#include "standins/virtualtime.h"

namespace Egretpath
{

void VirtualTime::at(TimePoint time, std::function<void()> action)
{
    events_.push({time, ++eventNumber_, std::move(action)});
}

void VirtualTime::runUntil(TimePoint end)
{
    while (!events_.empty() && events_.top().at <= end) {
        runNext();
    }
    now_ = end;
}

void VirtualTime::runAll()
{
    while (!events_.empty()) {
        runNext();
    }
}

void VirtualTime::runNext()
{
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
}

}
