#include "table/tablehead.h"

namespace Egretpath
{

using namespace TableHeadText;

std::string toString(const TableHead &head)
{
    std::string text(FirstLine);
    const auto append = [&text](std::string_view field, const std::string &value) {
        text.append("\n").append(field).append(" ").append(value);
    };
    append(NumberField, std::to_string(head.version.number.value()));
    append(DigestField, toHex(head.version.digest));
    append(PartCountField, std::to_string(head.parts.size()));
    for (const Digest &part : head.parts) {
        append(PartField, toHex(part));
    }
    return text.append("\n").append(LastLine).append("\n");
}

}
