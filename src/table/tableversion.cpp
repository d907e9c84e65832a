#include "table/tableversion.h"

namespace Egretpath
{

std::string toString(const TableVersion &version)
{
    return std::to_string(version.number.value()) + "/" + toHex(version.digest);
}

}
