@0xb1f4c6d25a7e9c03;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("basaltchute::peer_rpc::wire");

# The messages between controllers. A node may run next to others of the version before or after
# it: fields are only added, and their defaults must be right for a node that does not send them.

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

# Sent on connecting and every half second by both sides: who the sender is, and whether it leads.
struct Hello {
  node @0 :Text;
  leading @1 :Bool;
  token @2 :UInt64;
  ready @3 :Bool;  # leads and has loaded all records, so that requests can be answered
  hears @4 :UInt64;  # token of the leader that the sender is connected to; 0: none
  loans @5 :Bool;    # supports Borrow and Loan; a node that does not would close the connection
  handsOn @7 :Bool;  # takes into account that nodes may transfer loans to each other
  process @6 :Text;  # random name of the process: it differs after a restart of the node
  format @8 :UInt16 = 1;  # the newest format of the stored state that the sender can read
}

# Asks the receiver not to campaign for `holdMs`. While no node reaches the state service, the
# leader's lease may be extended only if every other node agrees. Answered by a Reply: status 200 if
# the receiver agrees, else 409.
struct Pledge {
  id @0 :UInt64;
  token @1 :UInt64;
  holdMs @2 :UInt32;
}

# Asks the leader for a delegation (called a loan here): the right to answer the heartbeats of the
# agents in the sender's zone, without commands, if the leader falls silent. A node without a
# delegation may also ask another node of its zone to transfer one. Says which delegation the sender
# has, and when it last answered by one.
struct Borrow {
  id @0 :UInt64;
  node @1 :Text;
  token @2 :UInt64;   # of the last loan that the sender accepted
  number @3 :UInt64;  # of that loan; 0: none
  sinceUseMs @4 :UInt64;
}

# Answers a Borrow. It replaces the delegation that the receiver has; with a span of 0 the receiver
# has none afterwards.
struct Loan {
  id @0 :UInt64;
  token @1 :UInt64;
  number @2 :UInt64;
  spanMs @3 :UInt32;  # counted from when the Borrow was sent
  lastToken @4 :UInt64;  # the last one that agents may have seen of this leader; 0: the same as token
}

# A user's request or an agent's heartbeat that is forwarded to the leader, or a request to the state
# service or to an agent from a node that cannot reach it itself. Answered by a Reply.
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
  worker @5 :Text;  # address of the agent, for that purpose
}

struct Reply {
  id @0 :UInt64;
  status @1 :UInt16;
  retryAfterS @2 :UInt32;
  body @3 :Data;
}
