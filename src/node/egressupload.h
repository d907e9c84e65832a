#pragma once

#include <memory>
#include <string>

#include "node/egresscall.h"
#include "rpc/peerservice.h"

namespace Egretpath
{

/// An admitted upload: passes the pieces of the body on to the upstream as they come.
///
/// Thread safety: none.
class EgressUpload final : public UploadReceiver
{
public:
    /// Precondition: begin() of @p call returned nothing.
    explicit EgressUpload(std::shared_ptr<EgressCall> call);

    boost::asio::awaitable<bool> write(std::string chunk) override;
    boost::asio::awaitable<void> end() override;
    boost::asio::awaitable<CallOutcome> outcome() override;
    void abandon() override;

private:
    std::shared_ptr<EgressCall> call_;
    bool begun_ = false;
};

}
