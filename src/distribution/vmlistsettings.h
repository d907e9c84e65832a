#pragma once

#include "distribution/readerelection.h"
#include "distribution/tableexchange.h"

namespace Egretpath
{

/// How the list of VMs is passed on. Thread safety: safe. Errors: none.
[[nodiscard]] ExchangeSettings vmListExchangeSettings();
/// How the list of VMs is read; @p pollInterval is the operators' setting for a standby's polls, and is lengthened
/// where the list needs it. Thread safety: safe. Errors: none.
[[nodiscard]] ReaderSettings vmListReaderSettings(Milliseconds pollInterval);

}
