@0xb1f4c6d25a7e9c03;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("basaltchute::peer_rpc::wire");

struct Frame {
  union {
    hello @0 :Hello;
    request @1 :Request;
    reply @2 :Reply;
    pledge @3 :Pledge;
    borrow @4 :Borrow;
    loan @5 :Loan;
  }
}

# Sent on connecting and every half second: who this is, and whether it leads.
struct Hello {
  node @0 :Text;
  leading @1 :Bool;
  token @2 :UInt64;
  ready @3 :Bool;  # has loaded all records, too, so that requests can be answered
  hears @4 :UInt64;  # token of the leader that this node hears; 0: none
  loans @5 :Bool;    # knows Borrow and Loan; a node of an older version would end the link
  handsOn @7 :Bool;  # reckons with loans that holders hand on to each other
  process @6 :Text;  # drawn at its start: a node that was started again is another party
  format @8 :UInt16 = 1;  # of the stored state, the newest that this node knows
}

# Asks the receiver not to campaign for a while: no node reaches the state service, and the
# leader's right may be stretched only if every other node agrees. Answered by a Reply.
struct Pledge {
  id @0 :UInt64;
  token @1 :UInt64;
  holdMs @2 :UInt32;
}

# Asks the leader for the right to answer the reports of its zone's workers, without orders, should
# the leader fall silent. Says what the asker holds and when it last made use of one.
struct Borrow {
  id @0 :UInt64;
  node @1 :Text;
  token @2 :UInt64;   # of the last loan that it took
  number @3 :UInt64;  # of that loan; 0: none
  sinceUseMs @4 :UInt64;
}

# Answers a Borrow, and replaces what the asker holds; a span of 0 lends nothing.
struct Loan {
  id @0 :UInt64;
  token @1 :UInt64;
  number @2 :UInt64;
  spanMs @3 :UInt32;  # from when the Borrow was sent
}

# A user's or worker's request passed on to the leader, or a request to the state service or to a
# worker from a node that cannot reach it itself.
struct Request {
  id @0 :UInt64;
  method @1 :Text;
  target @2 :Text;
  body @3 :Data;
  purpose @4 :Purpose;

  enum Purpose {
    leader @0;
    stateService @1;
    worker @2;
  }
  worker @5 :Text;  # its address, with that purpose
}

struct Reply {
  id @0 :UInt64;
  status @1 :UInt16;
  retryAfterS @2 :UInt32;
  body @3 :Data;
}
