@0xb3f1c6a2d94e7085;
# Messages between the nodes of egretpath. Times are microseconds unless named otherwise.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Egretpath::Wire");

struct Identity {
  upstream @0 :Text;
  incarnation @1 :UInt64;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct LoadReport {
  inFlight @0 :UInt32;
  queued @1 :UInt32;
  slots @2 :UInt32;
  serviceTime @3 :UInt32;
  leaving @4 :Bool;
  pacePercent @5 :UInt16;
  # How long work takes on the VM at this moment; 100 is usual, 0 unknown.
  meanService @6 :UInt32;
  # Of calls of all kinds, at the VM's usual pace.
  failurePercent @7 :UInt8;
  # Of the upstream's latest answers.
  arrivalDelay @8 :UInt32;
  # By which calls reach the node later than on a free link.
  spellLeft @9 :UInt32;
  # Until the VM's slow spell is expected to end, if calls wait for that at the node; else zero.
  settledPacePercent @10 :UInt16;
  # The pace that is expected then; pacePercent while there is no spell to wait for.
}

struct CatalogMark {
  # Which routes and list a node has, so that one that missed a change learns of it from any other.
  routes @0 :UInt64;
  list @1 :UInt64;
}

struct CallHead {
  requestId @0 :Text;
  attempt @1 :UInt32;
  ingress @2 :Identity;
  service @3 :Text;
  method @4 :Text;
  target @5 :Text;
  headers @6 :List(Header);
  remaining @7 :UInt64;
  # Until the deadline.
  sentAt @8 :Int64;
  # Boot clock of the sender; only differences within one incarnation mean anything.
  repeatable @9 :Bool;
  targetUpstream @10 :Text;
  # The id under which the upstream registered that must run the call; empty: any.
  callerService @11 :Text;
  # The service beside whose VM the request began.
  route @12 :Text;
  priority @13 :UInt8;
  # 0 is the most urgent.
  targetLatency @14 :Int64;
  # Until an answer loses most of its worth; may be negative.
  acceptable @15 :UInt64;
  # The egress declines a call that it expects to take longer than this, since another upstream is thought to be
  # quicker. Zero: it takes the call whenever the deadline can be met.
  question @16 :Bool;
  # The body is not here, and nothing is to be run: would the egress take the call now?
  brokeOff @17 :Text;
  # The id of the upstream that last broke off while it ran the call, in an earlier try; empty: none did.
}

struct Failure {
  verdict @0 :UInt8;
  reason @1 :UInt8;
  retryAfterMilliseconds @2 :UInt32;
  detail @3 :Text;
}

struct AnswerHead {
  status @0 :UInt16;
  headers @1 :List(Header);
}

struct CallOutcome {
  identity @0 :Identity;
  report @1 :LoadReport;
  catalog @2 :CatalogMark;
  union {
    failure @3 :Failure;
    answer @4 :Answer;
    streamed @5 :Void;
    # The whole answer went through the AnswerSink.
  }
  quarantine @6 :UInt64;
  # Names the set of requests that the node refuses, since they end upstreams; zero: none.
}

struct Answer {
  head @0 :AnswerHead;
  body @1 :Data;
}

interface AnswerSink {
  begin @0 (head :AnswerHead) -> ();
  write @1 (chunk :Data) -> stream;
  end @2 () -> ();
}

struct InstanceRecord {
  id @0 :Text;
  service @1 :Text;
  region @2 :Text;
  zone @3 :Text;
  address @4 :Text;
  node @5 :Text;
  slots @6 :UInt32;
  draining @7 :Bool;
  warmUp @8 :UInt32;
  # Milliseconds.
  revision @9 :UInt64;
}

struct GoneInstance {
  id @0 :Text;
  revision @1 :UInt64;
}

struct Catalog {
  routesVersion @0 :UInt64;
  # Zero: the sender has none.
  routes @1 :Data;
  # As the platform published them, compressed by zlib; empty if the asker has them.
  revision @2 :UInt64;
  # Of the sender's list; zero: it has none.
  whole @3 :Bool;
  # The instances are the whole list; else what changed after the asker's revision.
  instances @4 :List(InstanceRecord);
  gone @5 :List(GoneInstance);
  inOrder @6 :Bool;
  # The platform's store can be read where this comes from, and nothing may have lapsed from the list.
  hops @7 :UInt8;
  # Nodes between the sender and the store: 0 for one that reads it.
  routesAge @8 :UInt32;
  # Milliseconds since a node read the sender's routes from the store.
  listAge @9 :UInt32;
  # As above, of the sender's list.
  held @10 :UInt32;
  # Milliseconds that the sender kept the question, since it had nothing newer.
  store @11 :UInt8;
  # Where this comes from, and not in order: 1 back since a moment, 2 away. Nodes of an earlier version say nothing.
  reader @12 :Text;
  # The node that reads the store for the sender.
  storeAge @13 :UInt32;
  # Milliseconds since that node last did.
  inOrderFor @14 :UInt32;
  # Milliseconds for which it has read the store without a loss; zero is also said by nodes of an earlier version.
  quarantine @15 :UInt64;
  # As in CallOutcome.
}

struct UpstreamCrash {
  id @0 :UInt64;
  upstreamFlaps @1 :Bool;
  # It has ended again and again with no request to blame.
}

struct SuspectedRequest {
  fingerprintHigh @0 :UInt64;
  fingerprintLow @1 :UInt64;
  crashes @2 :List(UpstreamCrash);
  # Those of upstreams that held the request.
  age @3 :UInt32;
  # Milliseconds since the last of them.
}

struct QuarantineNews {
  mark @0 :UInt64;
  # As in CallOutcome, of the sender.
  requests @1 :List(SuspectedRequest);
}

interface Node {
  call @0 (head :CallHead, body :Data, answer :AnswerSink) -> (outcome :CallOutcome);
  probe @1 () -> (identity :Identity, report :LoadReport);
  catalog @2 (haveRoutes :UInt64, haveRevision :UInt64, wait :UInt32, known :UInt8) -> (catalog :Catalog);
  # Returns when the node has something newer, its store is another than known, or after so many milliseconds.
  quarantine @3 (news :QuarantineNews) -> (news :QuarantineNews);
  # What the sender knows of requests that end upstreams, for what the node knows more.
}
