#include "sidecar/newerpeers.h"

namespace Egretpath
{

NewerPeers::NewerPeers(const CatalogContents &contents, Milliseconds tolerance)
    : contents_(contents)
    , tolerance_(tolerance)
{
}

void NewerPeers::record(const Endpoint &peer, const CatalogVersions &versions, TimePoint now)
{
    if (!contents_.isBehind(versions)) {
        return;
    }
    if (lead_ && contents_.isBehind(lead_->versions)) {
        lead_->peer = peer;
        return;
    }
    lead_ = Lead{peer, versions, now};
}

void NewerPeers::recordAnswer(const Endpoint &peer)
{
    if (lead_ && lead_->peer == peer) {
        lead_.reset();
    }
}

std::optional<Endpoint> NewerPeers::takeOverdue(TimePoint now)
{
    if (lead_ && !contents_.isBehind(lead_->versions)) {
        lead_.reset();
    }
    if (!lead_ || now - lead_->since < tolerance_) {
        return std::nullopt;
    }
    const Endpoint peer = lead_->peer;
    lead_.reset();
    return peer;
}

bool NewerPeers::haveNewerRoutes() const
{
    return lead_ && lead_->versions.routes > contents_.versions().routes;
}

}
