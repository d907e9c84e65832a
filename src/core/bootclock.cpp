#include "core/bootclock.h"

#include <ctime>

namespace Egretpath
{

Microseconds timeSinceBoot()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<Microseconds>(std::chrono::seconds(time.tv_sec)
                                                    + std::chrono::nanoseconds(time.tv_nsec));
}

}
