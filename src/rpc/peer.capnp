@0xb3f1c6a2d94e7085;
# Messages between the nodes of egretpath. Times are in microseconds unless a comment says otherwise.

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
  # Smoothed service time of calls of the reported route, at the VM's baseline speed. 0 is unknown.
  leaving @4 :Bool;
  # The node is stopping and refuses new requests for the upstream.
  pacePercent @5 :UInt16;
  # The time that work takes at the upstream now, in percent of the baseline: the VM's slowdown multiplied by the
  # upstream's own slowdown. 100 is normal, 0 is unknown.
  meanService @6 :UInt32;
  # Smoothed service time of calls of all routes, at the VM's baseline speed. 0 is unknown.
  failurePercent @7 :UInt8;
  # Failures among the upstream's latest answers.
  arrivalDelay @8 :UInt32;
  # How much later calls reach the node than they would on an idle link.
  spellLeft @9 :UInt32;
  # Time until the VM's slow period is expected to end, if calls wait for the end at the node; otherwise zero.
  settledPacePercent @10 :UInt16;
  # The slowdown that is expected after the slow period; pacePercent if there is no slow period to wait for.
  limitedFor @11 :UInt32;
  # Time until the upstream may get a request by the rate limit that it named; zero: now, or it named none.
  urgentWait @12 :UInt32;
  # Expected wait of a request of priority 0 that arrives now. Nodes of an earlier version don't set it.
  linkBacklog @13 :UInt32;
  # Time that it takes to send the answers that wait for the node's link. Nodes of an earlier version don't set it.
}

struct CatalogMark {
  # The versions of the routes and of the instance list that a node has, so that a node that missed a change learns of
  # it from any other node.
  routes @0 :UInt64;
  list @1 :UInt64;
  evacuations @2 :UInt64;
  # The latest change of an evacuation that the node knows.
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
  # Time until the deadline.
  sentAt @8 :Int64;
  # Boot clock of the sender. Only differences between times of one incarnation are meaningful.
  repeatable @9 :Bool;
  targetUpstream @10 :Text;
  # The registered id of the upstream that must run the call; empty allows any.
  callerService @11 :Text;
  # The service on the VM where the request began.
  route @12 :Text;
  priority @13 :UInt8;
  # 0 is the most urgent.
  targetLatency @14 :Int64;
  # Time left of the latency target, after which an answer has lost most of its value; may be negative.
  acceptable @15 :UInt64;
  # The egress declines a call that it expects to take longer than this, since the ingress expects another upstream to
  # be quicker. Zero: the egress takes every call that can meet its deadline.
  question @16 :Bool;
  # A dry run: asks whether the egress would take the call now. The message has no body, and nothing is run.
  brokeOff @17 :Text;
  # The id of the upstream that last disconnected while it ran the call in an earlier try; empty if none did.
  routesVersion @18 :UInt64;
  # The version of the routes by which the ingress chose the upstream; zero from nodes of an earlier version.
  dependent @19 :Bool;
  # An upstream waits for the answer and needs it for its own work. Nodes of an earlier version don't set it.
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
    # The complete answer was sent through the AnswerSink.
  }
  quarantine @6 :UInt64;
  # Identifies the set of requests that the node refuses because they crash upstreams; zero: none.
  dependentRoute @7 :Bool;
  # The node knows that calls of this route from the calling service are dependent (see CallHead).
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

interface BodySource {
  read @0 (offset :UInt64, size :UInt32) -> (piece :Data);
  # Returns size bytes of the body, from offset on.
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
  # In milliseconds.
  revision @9 :UInt64;
}

struct GoneInstance {
  id @0 :Text;
  revision @1 :UInt64;
}

struct Catalog {
  routesVersion @0 :UInt64;
  # Zero: the sender has no routes.
  routes @1 :Data;
  # As the platform published them, compressed with zlib. Only nodes of an earlier version send it.
  revision @2 :UInt64;
  # Revision of the sender's list; zero: it has no list.
  whole @3 :Bool;
  # Whether the instances are the complete list. Otherwise they are the changes after the requesting node's revision.
  instances @4 :List(InstanceRecord);
  gone @5 :List(GoneInstance);
  inOrder @6 :Bool;
  # The platform's store can be read by the sender or the node that reads it for the sender, and no entry can be missing
  # from the list because it expired during an outage of the store.
  hops @7 :UInt8;
  # Number of nodes between the sender and the store: 0 for a sender that reads the store itself.
  routesAge @8 :UInt32;
  # Milliseconds since a node read the sender's routes from the store.
  listAge @9 :UInt32;
  # Milliseconds since a node read the newest change of the sender's list from the store.
  held @10 :UInt32;
  # Milliseconds for which the sender held the request because it had nothing newer.
  store @11 :UInt8;
  # State of the store if inOrder is false: 1 recovering (it became readable a moment ago), 2 unavailable. Nodes of an
  # earlier version don't set it.
  reader @12 :Text;
  # The node that reads the store for the sender.
  storeAge @13 :UInt32;
  # Milliseconds since that node last read the store.
  inOrderFor @14 :UInt32;
  # Milliseconds for which that node has been able to read the store without interruption. Zero also comes from nodes of
  # an earlier version.
  quarantine @15 :UInt64;
  # As in CallOutcome, for the sender.
  routeChanges @16 :Data;
  # A message whose root is RouteChanges, compressed with zlib; empty if the requesting node has the sender's routes.
  evacuations @17 :Evacuations;
  # Null if the sender does not know which zones are evacuated, as a node of an earlier version.
  searching @18 :Bool;
  # The sender does not read the store now and has no source that is known to: store is the state that it last knew.
  # Nodes of an earlier version don't set it.
  via @19 :List(UInt32);
  # Hashes of the nodes between the sender and the reader, the nearest first.
  confirmed @20 :UInt32;
  # Milliseconds since a time up to which all that the store had accepted is in what the sender has, plus 1; zero if the
  # sender knows none. Nodes of an earlier version don't set it.
  routeChangesFrom @21 :UInt64 = 0xffffffffffffffff;
  # The version of the routes to which routeChanges apply; zero if they are all routes. Nodes of an earlier version don't
  # set it, which reads as the largest number.
  unwatched @22 :Bool;
  # Neither the sender nor the node that it follows knows a node that calls the store now: that the store is unavailable
  # is then no more than the lack of news. Nodes of an earlier version don't set it.
}

struct Evacuation {
  zone @0 :Text;
  revision @1 :UInt64;
  # The change that began it.
}

struct Evacuations {
  # All evacuations that are under way at a revision of the store.
  revision @0 :UInt64;
  lastChange @1 :UInt64;
  # The latest change that is known: the beginning or the end of an evacuation.
  zones @2 :List(Evacuation);
}

struct RouteDestination {
  service @0 :Text;
  weight @1 :UInt32;
}

struct RouteRow {
  host @0 :Text;
  name @1 :Text;
  prefix @2 :Text;
  kind @3 :UInt8;
  # 0 safe, 1 unsafe, 2 upload, 3 download. Nodes of an earlier version read a value that they don't know as unsafe.
  targetLatency @4 :UInt64;
  # In milliseconds, as the times below.
  timeout @5 :UInt64;
  priority @6 :UInt32;
  maxAttempts @7 :UInt32;
  destinations @8 :List(RouteDestination);
  regions @9 :List(Text);
  # The only regions in which the route may be served; empty: all.
}

struct RouteKey {
  host @0 :Text;
  prefix @1 :Text;
}

struct ServiceRow {
  name @0 :Text;
  healthPath @1 :Text;
  maxConnections @2 :UInt32;
  coldPerSecond @3 :Float64 = -1;
  # The requests a second that a cold upstream takes; negative: any number.
}

struct RouteChanges {
  from @0 :UInt64;
  # The version to which the changes apply; zero: they are the complete table.
  to @1 :UInt64;
  changed @2 :List(RouteRow);
  removed @3 :List(RouteKey);
  changedServices @4 :List(ServiceRow);
  removedServices @5 :List(Text);
  headerBytes @6 :UInt64;
  bodyBytes @7 :UInt64;
  headerTime @8 :UInt64;
  idleTime @9 :UInt64;
  contentHash @10 :UInt64;
  # Of the table that results, so that the receiver notices if it got another one.
}

struct UpstreamCrash {
  id @0 :UInt64;
  upstreamFlaps @1 :Bool;
  # Whether the upstream has crashed repeatedly without a request that explains it.
}

struct SuspectedRequest {
  fingerprintHigh @0 :UInt64;
  fingerprintLow @1 :UInt64;
  crashes @2 :List(UpstreamCrash);
  # The crashes of upstreams that held the request.
  age @3 :UInt32;
  # Milliseconds since the latest of these crashes.
}

struct QuarantineNews {
  mark @0 :UInt64;
  # Identifies the set of requests that the sender refuses, as in CallOutcome.
  requests @1 :List(SuspectedRequest);
}

interface Node {
  call @0 (head :CallHead, body :Data, answer :AnswerSink) -> (outcome :CallOutcome);
  probe @1 () -> (identity :Identity, report :LoadReport);
  catalog @2 (haveRoutes :UInt64, haveRevision :UInt64, wait :UInt32, known :UInt8, takesChanges :Bool,
      haveEvacuations :UInt64, wantsConfirmation :Bool)
      -> (catalog :Catalog);
  # Returns when the node has something newer, when its store state differs from known, or after wait milliseconds; with
  # wantsConfirmation also when it has confirmed what it has since the request came.
  # Nodes of an earlier version don't set takesChanges, since they can't read routeChanges. The call then fails if there
  # are newer routes, so that they ask elsewhere.
  quarantine @3 (news :QuarantineNews) -> (news :QuarantineNews);
  # Takes what the sender knows of requests that crash upstreams; returns what the node knows beyond that.
  stopped @4 () -> ();
  # Returns when the node has stopped: all calls that it has run are answered, and it runs none any more. A call that has
  # no answer when the connection ends after that was not run. Nodes of an earlier version don't know it.
  callWithBody @5 (head :CallHead, size :UInt64, body :BodySource, answer :AnswerSink) -> (outcome :CallOutcome);
  # As call, for a body that is too large for one message. The node reads its size bytes from the ingress before it runs
  # the call. Nodes of an earlier version don't know it, and run nothing.
}
