#pragma once

#include <string_view>

#include "admission/callclass.h"
#include "rpc/peermessages.h"

namespace Egretpath
{

/// What kind of work a request is, from its method and whether its body is streamed. Thread safety: safe.
[[nodiscard]] PeerCallClass classify(std::string_view method, bool streamedBody);
/// The same kind in the words of the admission library. Thread safety: safe.
[[nodiscard]] CallClass toCallClass(PeerCallClass callClass);

}
