#include "node/peerdispatcher.h"

#include <utility>

namespace Egretpath
{

namespace asio = boost::asio;

PeerDispatcher::PeerDispatcher(Blackboard &board, EgressController &egress, TableController &tables,
                               MembershipController &membership, VmListController &lists)
    : board_(board)
    , egress_(egress)
    , tables_(tables)
    , membership_(membership)
    , lists_(lists)
{
}

NodeIdentity PeerDispatcher::identity() const
{
    return board_.self;
}

void PeerDispatcher::hello(NodeIdentity peer, std::uint64_t nextSequence)
{
    egress_.introduce(peer.incarnation, CallSequence(nextSequence));
}

asio::awaitable<CallOutcome> PeerDispatcher::call(CallHead head, std::string body,
                                                  std::shared_ptr<AnswerReceiver> answer,
                                                  std::shared_ptr<Cancellation> cancellation)
{
    return egress_.call(std::move(head), std::move(body), std::move(answer), std::move(cancellation));
}

asio::awaitable<PeerService::Admission> PeerDispatcher::upload(CallHead head, std::shared_ptr<AnswerReceiver> answer,
                                                               std::shared_ptr<Cancellation> cancellation)
{
    return egress_.upload(std::move(head), std::move(answer), std::move(cancellation));
}

TableSummary PeerDispatcher::pushTable(UpstreamName sender, ExchangeSubject subject, PushChange push)
{
    return driverOf(subject).pushReceived(sender, push);
}

PullAnswer PeerDispatcher::pullTable(UpstreamName sender, ExchangeSubject subject, PullRequest pull)
{
    return driverOf(subject).pullReceived(sender, pull);
}

ExchangeDriver &PeerDispatcher::driverOf(ExchangeSubject subject)
{
    return subject == ExchangeSubject::VmList ? lists_.driver() : tables_.driver();
}

void PeerDispatcher::notify(UpstreamName /*sender*/, std::vector<MembershipNotice> notices)
{
    membership_.noticesReceived(notices);
}

PeerProbe PeerDispatcher::probe()
{
    return {board_.self, egress_.report()};
}

std::string PeerDispatcher::vmList()
{
    return lists_.textForStarter();
}

}
