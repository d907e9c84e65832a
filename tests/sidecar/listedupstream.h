#pragma once

#include <string>
#include <utility>

#include "core/strongtype.h"

namespace Egretpath
{

/// An upstream as the instance list names it.
class ListedUpstream
{
public:
    explicit ListedUpstream(std::string id, Endpoint address = Endpoint("127.0.0.1:0"))
        : id_(std::move(id))
        , address_(std::move(address))
    {
    }

    [[nodiscard]] const std::string &id() const { return id_; }
    [[nodiscard]] const Endpoint &address() const { return address_; }

protected:
    std::string id_;
    Endpoint address_;
};

}
