@0xf6b94c8f790c9d5a;
# Datagrams between the fleet's own processes, packed. See docs/design/FLEET.md.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("banyan::schema");

struct GossipNode {
  id @0 :Text;
  vm @1 :Text;
  domain @2 :Text;
  address @3 :Text;
  port @4 :UInt16;
}

struct MemberUpdate {
  node @0 :GossipNode;
  incarnation @1 :UInt32;
  state @2 :UInt8;                # In the order of member_state.
  leaving @3 :Bool;
}

struct GossipPatch {
  version @0 :UInt64;
  mergePatch @1 :Text;
}

struct GossipMessage {
  kind @0 :UInt8;                 # In the order of gossip_kind.
  sequence @1 :UInt64;
  sender @2 :MemberUpdate;
  target @3 :Text;
  probe @4 :GossipNode;           # Null but in a ping request.
  more @5 :Bool;
  hasHead @6 :Bool;
  head @7 :UInt64;
  updates @8 :List(MemberUpdate);
  patches @9 :List(GossipPatch);
}
