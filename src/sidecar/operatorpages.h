#pragma once

#include <string>

#include <boost/asio/awaitable.hpp>

#include "answers/heldanswers.h"
#include "egress/egressrole.h"
#include "http/httpexchange.h"
#include "ingress/ingressrole.h"
#include "messages/heldmessages.h"
#include "sidecar/catalogcontroller.h"
#include "sidecar/quarantinecontroller.h"
#include "sidecar/sidecarstate.h"
#include "transfer/linkpacer.h"

namespace Egretpath
{

/// The pages that a node serves to its operators: /status, /table, /quarantine, and its metrics at any other path.
///
/// Preconditions: references outlive the object. Thread safety: none. Errors: none; an operator that has disconnected
/// is ignored.
class OperatorPages
{
public:
    /// @p linkPacer is null if the rate of the link is not known.
    OperatorPages(SidecarState &state, const HeldAnswers &heldAnswers, const HeldMessages &heldMessages,
                  const CatalogController &catalog, const EgressRole &egress, const IngressRole &ingress,
                  const QuarantineController &quarantine, const LinkPacer *linkPacer);

    [[nodiscard]] boost::asio::awaitable<void> serve(HttpExchange &exchange);

private:
    [[nodiscard]] std::string statusText() const;
    /// Returns the metrics with those that are only set when they are asked for.
    [[nodiscard]] std::string metricsText();

    SidecarState &state_;
    const HeldAnswers &heldAnswers_;
    const HeldMessages &heldMessages_;
    const CatalogController &catalog_;
    const EgressRole &egress_;
    const IngressRole &ingress_;
    const QuarantineController &quarantine_;
    const LinkPacer *linkPacer_;
};

}
