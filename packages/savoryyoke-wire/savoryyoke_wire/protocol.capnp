@0xd6a1f0b3c5e79284;
# Messages between entry daemons and target processes.
#
# Evolution rules: fields are only added, at the end; a reader takes the
# default where an older peer left a field out; a union member that a reader
# does not know is ignored by version N-1 and never required by version N.

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Hello {
  versionLow @0 :UInt16;
  versionHigh @1 :UInt16;
  processId @2 :Text;          # vm or target identifier
  incarnation @3 :Text;        # hexadecimal, random at process start
  dataCentre @4 :Text;
  service @5 :Text;            # empty for an entry
}

struct Call {
  callId @0 :UInt64;           # unique within the connection
  service @1 :Text;
  operation @2 :Text;
  team @3 :Text;
  teamWeight @4 :Float64;
  priority @5 :Int16;          # a lower number goes first
  remainingMs @6 :UInt32;      # time left until the deadline
  idempotent @7 :Bool;
  key @8 :Text;                # bound idempotency key, else empty
  fingerprint @9 :Data;
  stampMs @10 :UInt64;         # newest stamp held when the request arrived
  method @11 :Text;
  path @12 :Text;
  headers @13 :List(Header);
  body @14 :Data;
  streamed @15 :Bool;
  resumeIndex @16 :UInt32;     # events that the caller already has
  resumeText @17 :Text;        # text of these events
  cost @18 :Float64;           # estimated work in tokens
  creditBytes @19 :UInt32;     # first flow-control window
  sealOnly @20 :Bool;          # close the key; never start a run
}

struct Cancel {
  callId @0 :UInt64;
}

struct Credit {
  callId @0 :UInt64;
  bytes @1 :UInt32;
}

struct Head {
  callId @0 :UInt64;
  status @1 :UInt16;
  headers @2 :List(Header);
}

struct Chunk {
  callId @0 :UInt64;
  index @1 :UInt32;            # index of the first event in data
  count @2 :UInt32;            # events in data; 1 for a plain body part
  data @3 :Data;
}

struct End {
  callId @0 :UInt64;
  total @1 :UInt32;            # events or body parts sent over the stream
  replayed @2 :Bool;           # the answer comes from the ledger
}

enum Outcome {
  notRun @0;
  mayHaveRun @1;
  keyReused @2;
  ranAnswerGone @3;
}

struct Refusal {
  callId @0 :UInt64;
  outcome @1 :Outcome;
  reason @2 :Text;
  retryAfterMs @3 :UInt32;
  sameKeyMayReturn @4 :Bool;
  handedOver @5 :Bool;         # the back end may have seen the call
}

struct Load {
  stampMs @0 :UInt64;
  window @1 :UInt32;           # current window of the ledger
  running @2 :UInt32;
  queued @3 :UInt32;
  limit @4 :UInt32;
  waitMs @5 :UInt32;
  cold @6 :Bool;
  draining @7 :Bool;
  kvFree @8 :Float64;          # ratio of free KV memory
  heir @9 :Text;               # target that answers for this one's keys
  inherited @10 :List(Text);   # incarnations this target answers for
}

struct Handover {
  part @0 :UInt32;
  parts @1 :UInt32;
  incarnation @2 :Text;
  data @3 :Data;
}

struct HandoverAck {
  incarnation @0 :Text;
  accepted @1 :Bool;
}

struct Envelope {
  union {
    hello @0 :Hello;
    call @1 :Call;
    cancel @2 :Cancel;
    credit @3 :Credit;
    head @4 :Head;
    chunk @5 :Chunk;
    end @6 :End;
    refusal @7 :Refusal;
    load @8 :Load;
    handover @9 :Handover;
    handoverAck @10 :HandoverAck;
  }
}
