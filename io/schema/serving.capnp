@0xc1d4a7e95b3f2806;
# What gateways send each other and keep in the platform's store. See docs/design/PLATFORM.md.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("banyan::schema");

struct UpstreamUsage {
  key @0 :UInt32;
  online @1 :UInt16;
  batch @2 :UInt16;
  troubled @3 :Bool;
}

struct LostContent {
  fingerprint @0 :UInt64;
  upstream @1 :UInt32;
}

struct NodeLoad {
  sender @0 :Text;
  sequence @1 :UInt64;
  usage @2 :List(UpstreamUsage);
  waitingOnline @3 :UInt32;
  lost @4 :List(LostContent);
}

struct GatewayEntry {
  id @0 :Text;
  address @1 :Text;
  port @2 :UInt16;
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
}

struct ItemResult {
  item @0 :Text;
  succeeded @1 :Bool;
  output @2 :Data;
}
