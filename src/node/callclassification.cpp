#include "node/callclassification.h"

#include <array>

namespace Egretpath
{

PeerCallClass classify(std::string_view method, bool streamedBody)
{
    if (streamedBody) {
        return PeerCallClass::Upload;
    }
    return method == "GET" || method == "HEAD" ? PeerCallClass::Lookup : PeerCallClass::Write;
}

CallClass toCallClass(PeerCallClass callClass)
{
    constexpr std::array<CallClass, CallClassCount> Classes{CallClass::Lookup, CallClass::Internal, CallClass::Write,
                                                            CallClass::Upload};
    return Classes.at(static_cast<std::size_t>(callClass));
}

}
