#pragma once

#include <string>
#include <string_view>

#include "core/strongtype.h"

namespace Egretpath
{

/// The parts of a request target, "/service/rest?key=value".
///
/// Preconditions: none. Thread safety: safe for concurrent reads. Errors: none; what is missing is empty.
class RequestTarget
{
public:
    explicit RequestTarget(std::string target);

    /// The first segment of the path, which names the service.
    [[nodiscard]] ServiceName service() const;
    /// The value of the query's first parameter called @p name, as it stands there; valid as long as this object.
    [[nodiscard]] std::string_view parameter(std::string_view name) const;

private:
    std::string target_;
};

}
