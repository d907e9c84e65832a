#pragma once

namespace Egretpath
{

/// Blocks the signals that a node handles: SIGHUP, SIGTERM and SIGINT. They stay pending in place of ending the
/// process. Needs no library but the system's C library. Precondition: no other thread runs. Thread safety: none.
/// Errors: none.
void blockHandledSignals();

/// Delivers the signals of blockHandledSignals() again, those that are pending at once, even if the parent process had
/// blocked them. Preconditions, thread safety and errors: as above.
void unblockHandledSignals();

}
