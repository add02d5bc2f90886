@0xc1d4a7e95b3f2806;
# What gateways send each other and keep in the platform's store. See docs/design/PLATFORM.md.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("banyan::schema");

struct UpstreamUsage {
  key @0 :UInt32;
  online @1 :UInt16;
  batch @2 :UInt16;
  troubled @3 :Bool;
  remaining @4 :UInt32;           # Milliseconds.
}

struct ServiceQueue {
  service @0 :UInt32;             # Key of its name.
  waiting @1 :UInt32;
}

struct LostContent {
  fingerprint @0 :UInt64;
  upstream @1 :UInt32;
}

struct PartLoss {
  part @0 :UInt64;
  content @1 :UInt64;
  upstream @2 :UInt32;
}

struct UpstreamLimit {
  upstream @0 :UInt32;            # Key of its start.
  perSecond @1 :Float32;
  ended @2 :Bool;
  age @3 :Int64;                  # Microseconds since the answer that said so.
}

struct ShareLease {
  cell @0 :UInt32;                # Key of the cell.
  holder @1 :UInt32;              # Key of the node that may use the share.
}

struct PoolLease {
  holder @0 :UInt32;
  heard @1 :UInt16;               # Low bits of the sequence of the holder's report that the lease counts from.
  pool @2 :UInt8;
}

struct PoolShare {
  share @0 :Float32;
  pool @1 :UInt8;
}

struct NodeLoad {
  sender @0 :Text;
  sequence @1 :UInt64;
  usage @2 :List(UpstreamUsage);
  waitingOnline @3 :List(ServiceQueue);
  lost @4 :List(LostContent);
  claims @5 :List(UInt64);
  placing @6 :UInt8;              # In the order of scheduling_state.
  leaving @7 :List(UInt32);       # Keys of starts of upstreams.
  lostParts @8 :List(PartLoss);
  provenParts @9 :List(UInt64);
  limits @10 :List(UpstreamLimit);
  leases @11 :List(ShareLease);
  poolLeases @12 :List(PoolLease);
  poolShares @13 :List(PoolShare);
  poolLeaseTime @14 :UInt32;      # Microseconds.
  unreachable @15 :List(UInt32);  # Keys of upstreams.
  reachesNone @16 :Bool;
  forwards @17 :UInt32;
}

struct SlotClaim {
  sender @0 :Text;
  request @1 :Text;
  service @2 :Text;
  batch @3 :Bool;
  priority @4 :UInt32;
  sinceArrival @5 :Int64;         # Microseconds, like the two after it; clocks of nodes differ.
  untilTarget @6 :Int64;
  untilDeadline @7 :Int64;
  cellIndex @8 :UInt32;
  cellCount @9 :UInt32;
  begun @10 :Bool;
  repeatable @11 :Bool;
  prefixHash @12 :UInt64;
  excluded @13 :List(Text);
  domain @14 :Text;
  ranBefore @15 :Int64;           # Microseconds.
  stream @16 :UInt64;
  continues @17 :Bool;
  version @18 :Text;
  caller @19 :UInt64;             # Whose share of the upstreams it uses.
  promptTokens @20 :UInt32;       # As the caller states it, like the one after it.
  outputTokens @21 :UInt32;
  origin @22 :UInt64;             # Whose runs may fail for the same reason; 0 if not known.
  failures @23 :UInt32;           # Earlier runs of the item that upstreams reported as failed.
}

struct SlotVerdict {
  request @0 :Text;
  state @1 :UInt8;                # In the order of claim_state.
  upstream @2 :Text;
  reason @3 :UInt8;               # In the order of end_reason.
  retryAfter @4 :Int64;           # Microseconds.
  version @5 :Text;
}

struct SlotRelease {
  sender @0 :Text;
  request @1 :Text;
  outcome @2 :UInt8;              # In the order of attempt_outcome.
}

struct SlotProgress {
  sender @0 :Text;
  request @1 :Text;
  firstByte @2 :Int64;            # Microseconds from the grant on.
  begunStream @3 :Bool;
}

struct OriginQuery {
  sender @0 :Text;
  streams @1 :List(UInt64);
}

struct CreditAsk {
  sender @0 :Text;
  id @1 :UInt64;
  organisation @2 :UInt64;
  needed @3 :UInt32;
  spare @4 :UInt32;
  version @5 :UInt64;             # Of the sender's configuration.
}

struct CreditGrant {
  id @0 :UInt64;
  granted @1 :UInt32;
  wait @2 :Int64;                 # Microseconds.
}

struct GatewayMessage {
  union {
    load @0 :NodeLoad;
    claim @1 :SlotClaim;
    verdict @2 :SlotVerdict;
    release @3 :SlotRelease;
    progress @4 :SlotProgress;
    originQuery @5 :OriginQuery;
    origins @6 :OriginRow;
    creditAsk @7 :CreditAsk;
    creditGrant @8 :CreditGrant;
  }
}

struct GatewayEntry {
  id @0 :Text;
  address @1 :Text;
  port @2 :UInt16;
  processorShare @3 :Float64 = 1;
  answersCalls @4 :Bool;          # The gateway answers a call by writing its row without one.
  calledBy @5 :Text;              # Id of the gateway that asks whether this one lives.
}

struct ItemField {
  name @0 :Text;
  value @1 :Text;
}

struct JobItem {
  id @0 :Text;
  path @1 :Text;
  fields @2 :List(ItemField);
  body @3 :Data;
  tokens @4 :UInt64;
}

struct JobItems {
  items @0 :List(JobItem);
}

struct JobEntry {
  route @0 :Text;
  host @1 :Text;
  submittedAt @2 :Int64;          # Microseconds since 1970.
  total @3 :UInt32;
  owner @4 :Text;                 # Empty: whoever takes it.
  ended @5 :Bool;
  complete @6 :Bool;
  itemsInObject @7 :Bool;
  tokensLeft @8 :UInt64;
  organisation @9 :Text;          # Empty: no key submitted it.
}

struct QuotaHolding {
  job @0 :Text;
  tokens @1 :UInt64;
  claim @2 :UInt64;
  heldSince @3 :Int64;            # Microseconds by the store's clock.
}

struct QuotaHoldings {
  holdings @0 :List(QuotaHolding);
}

struct ItemCheckpoint {
  item @0 :Text;
  lastEvent @1 :UInt64;
  output @2 :Data;
  ranBefore @3 :Int64;            # Microseconds.
  version @4 :Text;
  service @5 :Text;               # Empty in rows of earlier builds.
}

struct ServedVersion {
  version @0 :Text;
  ended @1 :Bool;
  endedAt @2 :Int64;              # Microseconds by the store's clock.
}

struct ServiceVersions {
  versions @0 :List(ServedVersion);
}

struct OriginName {
  service @0 :Text;
  version @1 :Text;
}

struct BegunStream {
  stream @0 :UInt64;
  origin @1 :UInt16;              # Position in the row's names.
}

struct OriginRow {
  writtenAt @0 :Int64;            # Microseconds by the store's clock.
  sequence @1 :UInt64;
  names @2 :List(OriginName);
  streams @3 :List(BegunStream);
}

struct ItemResult {
  item @0 :Text;
  succeeded @1 :Bool;
  output @2 :Data;
}
