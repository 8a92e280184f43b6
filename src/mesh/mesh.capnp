@0xb1f4c6d25a7e9c03;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("basaltchute::mesh::wire");

struct Frame {
  union {
    hello @0 :Hello;
    request @1 :Request;
    reply @2 :Reply;
  }
}

# Sent on connecting and every half second: who this is, and whether it leads.
struct Hello {
  node @0 :Text;
  leading @1 :Bool;
  token @2 :UInt64;
}

# A user's or worker's request passed on to the leader.
struct Request {
  id @0 :UInt64;
  method @1 :Text;
  target @2 :Text;
  body @3 :Data;
}

struct Reply {
  id @0 :UInt64;
  status @1 :UInt16;
  retryAfterS @2 :UInt32;
  body @3 :Data;
}
