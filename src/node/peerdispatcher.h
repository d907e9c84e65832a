#pragma once

#include "node/egresscontroller.h"
#include "node/membershipcontroller.h"
#include "node/tablecontroller.h"
#include "rpc/peerservice.h"

namespace Egretpath
{

/// Hands what other nodes ask for to the controller that does it.
///
/// Preconditions: references outlive the dispatcher. Thread safety: none.
class PeerDispatcher final : public PeerService
{
public:
    PeerDispatcher(Blackboard &board, EgressController &egress, TableController &tables,
                   MembershipController &membership);

    [[nodiscard]] NodeIdentity identity() const override;
    void hello(NodeIdentity peer, std::uint64_t nextSequence) override;
    boost::asio::awaitable<CallOutcome> call(CallHead head, std::string body, std::shared_ptr<AnswerReceiver> answer,
                                             std::shared_ptr<Cancellation> cancellation) override;
    boost::asio::awaitable<Admission> upload(CallHead head, std::shared_ptr<AnswerReceiver> answer,
                                             std::shared_ptr<Cancellation> cancellation) override;
    TableSummary pushTable(UpstreamName sender, PushChange push) override;
    PullAnswer pullTable(UpstreamName sender, PullRequest pull) override;
    void notify(UpstreamName sender, std::vector<MembershipNotice> notices) override;
    PeerProbe probe() override;
    std::string vmList() override;

private:
    Blackboard &board_;
    EgressController &egress_;
    TableController &tables_;
    MembershipController &membership_;
};

}
