#pragma once

#include <string>

#include "routing/link.h"

namespace Egretpath
{

/// The label of metrics that are counted by link. Thread safety: safe. Errors: none.
[[nodiscard]] inline std::string linkLabel(LinkKind link)
{
    std::string label = "link=\"";
    label.append(toString(link)).append("\"");
    return label;
}

}
