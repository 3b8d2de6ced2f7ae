@0xd1c9a27be58f4406;
# Messages between entries: heartbeats, and snapshots of published values.

struct InFlight {
  targetId @0 :Text;
  requests @1 :UInt32;
}

struct SlowTarget {
  address @0 :Text;
  pace @1 :Float32;
}

struct Crash {
  crashId @0 :Text;
  release @1 :Text;
  fingerprints @2 :List(Data);
  cleared @3 :List(Data);
  remainingS @4 :Float64;
  # Absent in messages of older builds, which read as none.
  promptParts @5 :List(Data);
}

struct LeavingTarget {
  targetId @0 :Text;
  incarnation @1 :Int64;
  ageS @2 :Float64;
}

struct RateReport {
  targetId @0 :Text;
  incarnation @1 :Int64;
  # False if the target no longer states a limit.
  isLimited @2 :Bool;
  limitPerS @3 :Float64;
  ageS @4 :Float32;
  sentCount @5 :UInt32;
  demandPerS @6 :Float32;
}

struct Heartbeat {
  version @0 :UInt16;
  senderId @1 :Text;
  senderHost @2 :Text;
  incarnation @3 :UInt64;
  sequence @4 :UInt64;
  callerAddress @5 :Text;
  dataCentre @6 :Text;
  isReady @7 :Bool;
  isLeaving @8 :Bool;
  publishedAsOf @9 :UInt64;
  inFlight @10 :List(InFlight);
  contactHosts @11 :List(Text);
  slowTargets @12 :List(SlowTarget);
  evidenceDigest @13 :UInt64;
  crashes @14 :List(Crash);
  leavingTargets @15 :List(LeavingTarget);
  # Absent in messages of older builds, which read as the first epoch.
  publishedEpoch @16 :UInt64;
  configurationVersion @17 :Int64;
  canRelay @18 :Bool;
  wantsRelay @19 :Bool;
  rateReports @20 :List(RateReport);
  # Absent in messages of older builds, which read as false.
  canBatch @21 :Bool;
}

struct Item {
  key @0 :Text;
  revision @1 :UInt64;
  value @2 :Data;
  epoch @3 :UInt64;
}

struct Hold {
  key @0 :Text;
  remainingS @1 :Float64;
  # A null pointer if the platform lacks the key.
  overruled @2 :Item;
}

struct Lapse {
  key @0 :Text;
  remainingS @1 :Float64;
}

struct Snapshot {
  version @0 :UInt16;
  asOf @1 :UInt64;
  items @2 :List(Item);
  epoch @3 :UInt64;
  holds @4 :List(Hold);
  lapses @5 :List(Lapse);
}
