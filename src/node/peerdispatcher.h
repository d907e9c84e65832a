#pragma once

#include "node/egresscontroller.h"
#include "node/membershipcontroller.h"
#include "node/tablecontroller.h"
#include "node/vmlistcontroller.h"
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
                   MembershipController &membership, VmListController &lists);

    [[nodiscard]] NodeIdentity identity() const override;
    void hello(NodeIdentity peer, std::uint64_t nextSequence) override;
    boost::asio::awaitable<CallOutcome> call(CallHead head, std::string body, std::shared_ptr<AnswerReceiver> answer,
                                             std::shared_ptr<Cancellation> cancellation) override;
    boost::asio::awaitable<Admission> upload(CallHead head, std::shared_ptr<AnswerReceiver> answer,
                                             std::shared_ptr<Cancellation> cancellation) override;
    TableSummary pushTable(UpstreamName sender, ExchangeSubject subject, PushChange push) override;
    PullAnswer pullTable(UpstreamName sender, ExchangeSubject subject, PullRequest pull) override;
    void notify(UpstreamName sender, std::vector<MembershipNotice> notices) override;
    PeerProbe probe() override;
    std::string vmList() override;

private:
    [[nodiscard]] ExchangeDriver &driverOf(ExchangeSubject subject);

    Blackboard &board_;
    EgressController &egress_;
    TableController &tables_;
    MembershipController &membership_;
    VmListController &lists_;
};

}
