#include "admission/callclass.h"

#include <array>

namespace Egretpath
{

namespace
{

constexpr std::array<std::string_view, CallClassCount> ClassWords{"lookup", "internal", "write", "upload"};

}

std::string_view toString(CallClass callClass)
{
    return ClassWords.at(static_cast<std::size_t>(callClass));
}

}
