#include "node/sighting.h"

namespace Egretpath
{

void recordSighting(Blackboard &board, const NodeIdentity &seen, const std::optional<LoadReport> &report,
                    TimePoint sentAt, TimePoint now)
{
    if (report && report->leaving) {
        board.membership.refusedDraining(seen.upstream, seen.incarnation, sentAt, now);
    } else {
        board.membership.answered(seen.upstream, seen.incarnation, sentAt, now);
    }
    board.load.onReplaced(seen.upstream, seen.incarnation, now);
}

}
