#pragma once

namespace Review
{

/// What a case returns, as its script does: the rule held, the rule was broken, or the case could not run.
enum Outcome : int { Held = 0, Broken = 1, CouldNotRun = 2 };

int runLimitsCase();
int runReadersCase();
int runRefusedCase();

}
