#pragma once

#include "admission/turnqueue.h"
#include "admission/workqueue.h"
#include "ingress/ingresscontext.h"
#include "instances/catalogtimes.h"
#include "instances/readerelection.h"

namespace Egretpath
{

/// All constants of a node's decisions, for experiments that change one of them. The product uses the defaults.
struct DecisionSettings
{
    IngressDecisionSettings ingress;
    WorkQueueSettings queue;
    TurnQueueSettings turns;
    ReaderElectionSettings readers;
    CatalogTimes catalog;
    /// See EgressSettings::keepsAccount.
    bool keepsUpstreamAccount = true;
    /// See EgressSettings::maxAnswerPause.
    Milliseconds maxAnswerPause{30'000};
    /// Whether traffic over links that are paid for by volume is compressed.
    bool compressesPaidLinks = true;
};

}
