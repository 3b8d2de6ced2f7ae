@0xb3f0c2d49a1e6f57;
# Membership datagrams between all processes, and the data attached to them.

enum Kind {
  ping @0;
  pingRequest @1;
  ack @2;
}

struct Update {
  vmId @0 :Text;
  incarnation @1 :UInt64;
  refutation @2 :UInt32;
  state @3 :UInt8;
  role @4 :Text;
  dataCentre @5 :Text;
  address @6 :Text;
}

struct Version {
  name @0 :Text;
  revision @1 :UInt64;
  digest @2 :UInt64;
}

struct Attachment {
  name @0 :Text;
  content @1 :Data;
}

struct Datagram {
  version @0 :UInt16;
  kind @1 :Kind;
  senderId @2 :Text;
  senderIncarnation @3 :UInt64;
  senderRefutation @4 :UInt32;
  senderState @5 :UInt8;
  sequence @6 :UInt64;
  versionsDigest @7 :UInt64;
  versions @8 :List(Version);
  attachments @9 :List(Attachment);
  updates @10 :List(Update);
  joining @11 :Bool;
  subjectId @12 :Text;
  subjectAddress @13 :Text;
  reached @14 :Bool;
}
