@0xb1f1b0c5a3d94e17;
# Calls between the fleet's own processes, over TCP.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("banyan::schema");

struct HttpField {
  name @0 :Text;
  value @1 :Text;
}

struct CellId {
  pool @0 :Text;
  domain @1 :Text;
  shard @2 :UInt32;
}

struct CellLoad {
  onlineQueued @0 :UInt32;
  onlineInFlight @1 :UInt32;
  batchQueued @2 :UInt32;
  batchInFlight @3 :UInt32;
  slots @4 :UInt32;
  expectedWaitMicros @5 :Int64;
}

struct RunRequest {
  id @0 :Text;
  caller @1 :Text;
  service @2 :Text;
  batch @3 :Bool;
  repeatable @4 :Bool;
  resumable @5 :Bool;
  fingerprint @6 :UInt64;
  prefixHash @7 :UInt64;
  expectedTokens @8 :UInt32;
  remainingMicros @9 :Int64;      # Until the deadline, so that clocks need not agree.
  cell @10 :CellId;
  method @11 :Text;
  target @12 :Text;
  fields @13 :List(HttpField);
  body @14 :Data;
  recordKey @15 :Text;
  fencingNumber @16 :UInt64;
  startRecorded @17 :Bool;
  streamed @18 :Bool;
}

struct RunResult {
  disposition @0 :UInt8;
  reason @1 :UInt8;
  retryAfterMicros @2 :Int64;     # Negative: none.
  load @3 :CellLoad;
  trace @4 :Text;                 # What was decided, for the explain call.
  startRecorded @5 :Bool;
}

interface AnswerSink {
  # Receives an answer as it comes from the upstream.
  head @0 (status :UInt16, fields :List(HttpField)) -> ();
  piece @1 (bytes :Data) -> stream;
  end @2 () -> ();                # Returns when all pieces have been taken.
}

struct ConfigurationPatch {
  version @0 :UInt64;             # That the patch led to.
  patch @1 :Text;                 # JSON merge patch against the version before.
}

struct ConfigurationUpdate {
  union {
    patches @0 :List(ConfigurationPatch);
    snapshot :group {
      version @1 :UInt64;
      json @2 :Text;
    }
  }
}

struct VmEntry {
  id @0 :Text;
  upstream @1 :Bool;
  leaving @2 :Bool;
  domain @3 :Text;
  address @4 :Text;
  port @5 :UInt16;
  pool @6 :Text;
}

interface Peer {
  run @0 (secret :Text, request :RunRequest, sink :AnswerSink) -> (result :RunResult);
  # Dropping the call cancels the request.

  configurationSince @1 (secret :Text, version :UInt64) -> (update :ConfigurationUpdate);

  keepResult @2 (secret :Text, recordKey :Text, result :Data) -> ();
  # Keeps a copy of a result that the store could not take, until forgetResult.

  forgetResult @3 (secret :Text, recordKey :Text) -> ();

  stopFingerprint @4 (secret :Text, fingerprint :UInt64, remainingMicros :Int64) -> ();
  # Refuses requests with this content for a time, because it has crashed several upstreams.

  vmList @5 (secret :Text) -> (vms :List(VmEntry));
  # The platform's list as the node read it last, for a node that cannot read it itself.
}
