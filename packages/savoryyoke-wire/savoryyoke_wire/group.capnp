@0xa8f3c6d1925be047;
# Messages between the agents of a group's ranks, and between them and entries.

struct Rank {
  experts @0 :List(UInt16);
}

# The experts of all ranks in one list, and the number of experts per rank.
struct Set {
  counts @0 :Data;
  experts @1 :List(UInt16);
}

struct Directive {
  group @0 :Text;
  epoch @1 :UInt64;
  termNumber @2 :UInt64;
  termRank @3 :Int32;
  sequence @4 :UInt64;
  leaderHost @5 :Text;
  phase @6 :Text;
  version @7 :UInt64;
  step @8 :UInt64;
  holdRank @9 :UInt32;
  wantsExperts @10 :Bool;
}

struct Map {
  group @0 :Text;
  version @1 :UInt64;
  sets @2 :List(Set);
}

# The changed ranks of a set, and their experts as in Set.
struct SetChange {
  ranks @0 :List(UInt16);
  counts @1 :Data;
  experts @2 :List(UInt16);
}

# A map that differs from the map of baseVersion in these experts only. There is
# an item for each set.
struct MapChange {
  group @0 :Text;
  version @1 :UInt64;
  baseVersion @2 :UInt64;
  sets @3 :List(SetChange);
}

struct MapRequest {
  group @0 :Text;
  version @1 :UInt64;
  host @2 :Text;
}

struct Report {
  group @0 :Text;
  epoch @1 :UInt64;
  rank @2 :UInt32;
  ranks @3 :UInt32;
  isOpen @4 :Bool;
  step @5 :UInt64;
  active @6 :UInt64;
  prepared @7 :Int64;
  armed @8 :Int64;
  held @9 :Int64;
  host @10 :Text;
  termNumber @11 :UInt64;
  termRank @12 :Int32;
  pace @13 :Float32;
  # Absent in messages of older builds, which read as 0 and false.
  sequence @14 :UInt64;
  isSurelyUnarmed @15 :Bool;
}

# Counts as little-endian numbers of bytesEach bytes.
struct Counts {
  bytesEach @0 :UInt8;
  values @1 :Data;
}

struct Choices {
  group @0 :Text;
  rank @1 :UInt32;
  choices @2 :List(Counts);
}

# A part of a message that is too long for one datagram.
struct Part {
  messageId @0 :UInt64;
  number @1 :UInt16;
  parts @2 :UInt16;
  content @3 :Data;
}

struct Held {
  group @0 :Text;
  rank @1 :UInt32;
  version @2 :UInt64;
  sets @3 :List(Rank);
}

struct Pace {
  address @0 :Text;
  pace @1 :Float32;
}

struct MembersRequest {
  group @0 :Text;
}

# The published ranks of a group, and their hosts in the same order.
struct Members {
  group @0 :Text;
  sets @1 :UInt32;
  experts @2 :UInt32;
  slots @3 :UInt32;
  maxCopiesPerRank @4 :UInt32;
  copyS @5 :Float64;
  ranks @6 :List(UInt32);
  hosts @7 :List(Text);
}

struct Message {
  version @0 :UInt16;
  union {
    directive @1 :Directive;
    report @2 :Report;
    choices @3 :Choices;
    pace @4 :Pace;
    held @5 :Held;
    map @6 :Map;
    mapRequest @7 :MapRequest;
    part @8 :Part;
    mapChange @9 :MapChange;
    membersRequest @10 :MembersRequest;
    members @11 :Members;
  }
}
