#include "standins/loadplan.h"

namespace Egretpath
{

std::string_view toString(CallKind kind)
{
    constexpr std::array<std::string_view, 3> Words{"lookup", "payment", "upload"};
    return Words.at(static_cast<std::size_t>(kind));
}

}
