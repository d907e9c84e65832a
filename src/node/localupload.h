#pragma once

#include <memory>
#include <string>

#include "rpc/peerclient.h"
#include "rpc/peerservice.h"

namespace Egretpath
{

/// An upload to the egress of this very process; no network between the two.
///
/// Thread safety: none.
class LocalUpload final : public UploadSender
{
public:
    explicit LocalUpload(std::shared_ptr<UploadReceiver> receiver);

    boost::asio::awaitable<bool> write(std::string chunk) override;
    boost::asio::awaitable<bool> end() override;
    boost::asio::awaitable<Result<CallOutcome>> outcome(TimePoint deadline,
                                                        std::shared_ptr<Cancellation> cancellation) override;

private:
    std::shared_ptr<UploadReceiver> receiver_;
};

}
