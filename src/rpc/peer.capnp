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
}

struct CallHead {
  requestId @0 :Text;
  attempt @1 :UInt32;
  ingress @2 :Identity;
  sequence @3 :UInt64;
  # Counts the calls of one ingress incarnation; see RequestLedger.
  targetIncarnation @4 :UInt64;
  # Zero: any incarnation will do.
  service @5 :Text;
  method @6 :Text;
  target @7 :Text;
  headers @8 :List(Header);
  remaining @9 :UInt64;
  # Until the deadline.
  sentAt @10 :Int64;
  # Monotonic clock of the sender; only differences within one incarnation mean anything.
  idempotencyKey @11 :Text;
  callClass @12 :UInt8;
  contentLength @13 :Int64;
  # Negative: unknown.
  repeatable @14 :Bool;
  wantsReport @15 :Bool;
  # The answer is to carry a load report.
  targetUpstream @16 :Text;
  # The id under which the upstream registered that must run the call; empty: any.
  callerService @17 :Text;
  # The service beside whose VM the request began.
  route @18 :Text;
  priority @19 :UInt8;
  # 0 is the most urgent.
  targetLatency @20 :Int64;
  # Until an answer loses most of its worth; may be negative.
  acceptable @21 :UInt64;
  # The egress declines a call that it expects to take longer than this, since another upstream is thought to be
  # quicker. Zero: it takes the call whenever the deadline can be met.
  question @22 :Bool;
  # The body is not here, and nothing is to be run: would the egress take the call now?
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
  # Null unless the call asked for it or the egress refuses.
  union {
    failure @2 :Failure;
    answer @3 :Answer;
    streamed @4 :Void;
    # The whole answer went through the AnswerSink.
  }
}

struct Answer {
  head @0 :AnswerHead;
  body @1 :Data;
  replayed @2 :Bool;
}

interface AnswerSink {
  begin @0 (head :AnswerHead) -> ();
  write @1 (chunk :Data) -> stream;
  end @2 () -> ();
}

interface Upload {
  write @0 (chunk :Data) -> stream;
  end @1 () -> ();
  outcome @2 () -> (outcome :CallOutcome);
}

struct TableVersion {
  number @0 :UInt64;
  digestHigh @1 :UInt64;
  digestLow @2 :UInt64;
}

struct TableSummary {
  version @0 :TableVersion;
  # Null: the sender has no table in force.
  heard @1 :TableVersion;
  # Null: the sender has heard of none.
  confirmedAge @2 :Int64;
  # Milliseconds; negative: never confirmed.
}

enum Scope {
  zone @0;
  region @1;
  fleet @2;
}

enum Subject {
  table @0;
  vmList @1;
}

struct TablePush {
  base @0 :TableVersion;
  target @1 :TableVersion;
  scope @2 :Scope;
  payload @3 :Data;
}

struct TablePull {
  have @0 :TableVersion;
  wantsTable @1 :Bool;
}

enum PayloadKind {
  none @0;
  change @1;
  whole @2;
}

struct TablePullAnswer {
  summary @0 :TableSummary;
  kind @1 :PayloadKind;
  base @2 :TableVersion;
  target @3 :TableVersion;
  payload @4 :Data;
}

struct Notice {
  identity @0 :Identity;
  leaving @1 :Bool;
  age @2 :UInt32;
  # Milliseconds.
  scope @3 :Scope;
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

struct Catalog {
  routesVersion @0 :UInt64;
  # Zero: the sender has none.
  routes @1 :Data;
  # As the platform published them; empty if the asker has them.
  hasList @2 :Bool;
  revision @3 :UInt64;
  instances @4 :List(InstanceRecord);
  # Empty unless hasList and the asker's revision is older.
  inOrder @5 :Bool;
  # The sender reads the platform's store, and nothing may have lapsed from its list.
}

interface Node {
  call @0 (head :CallHead, body :Data, answer :AnswerSink) -> (outcome :CallOutcome);
  upload @1 (head :CallHead, answer :AnswerSink) -> (upload :Upload, refusal :CallOutcome);
  # Returns once the call is admitted (upload) or ended (refusal).
  pushTable @2 (sender :Text, push :TablePush, subject :Subject) -> (summary :TableSummary);
  pullTable @3 (sender :Text, pull :TablePull, subject :Subject) -> (answer :TablePullAnswer);
  notify @4 (sender :Text, notices :List(Notice)) -> ();
  probe @5 () -> (identity :Identity, report :LoadReport);
  vmList @6 () -> (list :Data);
  # The platform's list as the node has it, for nodes that start while the platform is away.
  hello @7 (from :Identity, nextSequence :UInt64) -> (identity :Identity);
  # The first message of each connection; see RequestLedger.
  catalog @8 (haveRoutes :UInt64, haveRevision :UInt64) -> (catalog :Catalog);
  # Routes and list of upstreams as the node has them, for nodes that can't read the platform.
}
