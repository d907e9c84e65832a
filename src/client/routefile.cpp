#include "client/routefile.h"

#include <fstream>
#include <iterator>

namespace Egretpath
{

RouteTablePointer readRouteFile(const std::string &path, const RouteReader &reader, const CommandOutput &output)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        output.err << path << ": can't be read\n";
        return nullptr;
    }
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    const Result<RouteTablePointer> table = reader(text);
    if (!table) {
        output.err << path << ": " << table.error().detail << '\n';
        return nullptr;
    }
    return table.value();
}

}
