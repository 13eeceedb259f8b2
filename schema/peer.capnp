@0xb1c6f7a9d20e4c35;
# What daemons of one fleet ask each other. `src/link/message.rs` gives the meaning of each field.

struct PeerName {
  daemon @0 :Text;
  incarnation @1 :UInt64;
}

# The bootstrap interface: gives nothing but the proof of belonging to the fleet.
interface Greeter {
  challenge @0 (caller :PeerName, nonce :Data) -> (answerer :PeerName, nonce :Data, proof :Data);
  prove @1 (proof :Data) -> (peer :Peer);
}

# Handed out after the proof only.
interface Peer {
  heartbeat @0 () -> ();
  ask @1 (request :Request) -> (answer :Answer);
}

struct Request {
  union {
    borrow :group {
      escrow @0 :EscrowId;
      count @1 :UInt32;
    }
    promise :group {
      holder @2 :PeerName;
      custodian @3 :PeerName;
    }
    fence :group {
      request @4 :Data;
      attempt @5 :UInt32;
      incarnation @25 :UInt64;
    }
    cancel @6 :Data;
    claim :group {
      organisation @7 :Text;
      idempotencyKey @8 :Text;
      request @9 :Data;
      release @26 :Bool;
    }
    records :group {
      stream @10 :Text;
      from @11 :UInt64;
      limitCount @12 :UInt32;
      era @30 :UInt64;
    }
    tombstones @13 :List(Data);
    poison @14 :List(PoisonReport);
    gossip :group {
      summaries @15 :List(Summary);
      entries @16 :List(DaemonEntry);
      digest @17 :UInt64;
      wanted @27 :List(Text);
      deltas @28 :List(Delta);
      known @29 :UInt64;
    }
    compare :group {
      depth @18 :UInt8;
      prefix @19 :UInt64;
      digests @20 :List(UInt64);
    }
    members :group {
      after @21 :Text;
      limitBytes @22 :UInt32;
    }
    probe @23 :Text;
    summary @24 :Text;
    rollout :group {
      service @31 :Text;
      targetVersion @32 :Text;
      order @33 :UInt64;
      step @34 :UInt8;
      holdsForMs @35 :UInt64;
    }
  }
}

struct Answer {
  union {
    done @0 :Void;
    borrow :group {
      count @1 :UInt32;
      lapsesAfterMs @2 :UInt64;
      retryAfterMs @3 :UInt64;
    }
    promise :group {
      given @4 :Bool;
      holdsForMs @5 :UInt64;
    }
    fence @6 :FenceState;
    claim :group {
      state @7 :ClaimState;
      by @8 :Data;
    }
    records :group {
      checkpoint @9 :Text;
      records @10 :List(Record);
      next @11 :UInt64;
    }
    gossip :group {
      summaries @12 :List(Summary);
      wanted @13 :List(Text);
      digest @14 :UInt64;
      entries @23 :List(DaemonEntry);
      deltas @25 :List(Delta);
      known @26 :UInt64;
    }
    compare :group {
      summaries @15 :List(Summary);
      deeper @16 :UInt16;
      listed @24 :UInt16;
    }
    members :group {
      summaries @17 :List(Summary);
      entries @18 :List(DaemonEntry);
      next @19 :Text;
      complete @20 :Bool;
    }
    probe @21 :Bool;
    summary @22 :List(ServerSummary);
    rollout :group {
      servers @27 :List(ServerSummary);
      openCount @28 :UInt32;
      step @29 :UInt8;
    }
  }
}

struct EscrowId {
  union {
    organisation @0 :Text;
    service @1 :Text;
  }
}

enum FenceState {
  fenced @0;
  running @1;
  ended @2;
  unknown @3;
}

enum ClaimState {
  granted @0;
  taken @1;
  unknown @2;
}

struct Record {
  offset @0 :UInt64;
  body @1 :Text;
}

struct PoisonReport {
  fingerprint @0 :Data;
  deathCount @1 :UInt32;
  holdsForMs @2 :UInt64;
}

struct Address {
  ip @0 :Data;
  port @1 :UInt16;
}

struct ServerEntry {
  server @0 :Text;
  service @1 :Text;
  slotsCount @2 :UInt32;
  cold @3 :Bool;
  draining @4 :Bool;
  sharePermille @5 :UInt16;
  softwareVersion @6 :Text;
  rolloutStep @7 :UInt8;
}

struct DaemonEntry {
  daemon @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt64;
  domain @3 :Text;
  guardAddress @4 :Address;
  linkAddress @5 :Address;
  leaving @6 :Bool;
  servers @7 :List(ServerEntry);
}

struct Delta {
  daemon @0 :Text;
  incarnation @1 :UInt64;
  fromVersion @2 :UInt64;
  version @3 :UInt64;
  leaving @4 :Bool;
  servers @5 :List(ServerEntry);
  removed @6 :List(Text);
}

struct Summary {
  daemon @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt64;
  round @3 :UInt32;
  suspect @4 :Bool;
}

struct RouteCounts {
  seenCount @0 :UInt32;
  failedCount @1 :UInt32;
  stuckCount @2 :UInt32;
  buckets @3 :List(UInt32);
}

struct RouteSummary {
  route @0 :Text;
  recent @1 :RouteCounts;
  long @2 :RouteCounts;
}

struct ServerSummary {
  server @0 :Text;
  routes @1 :List(RouteSummary);
}
