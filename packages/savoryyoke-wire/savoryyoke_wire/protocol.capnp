@0xd6a1f0b3c5e79284;
# Messages between entry daemons and target processes.
#
# Evolution rules: fields are only added, at the end. A reader uses the default
# of a field that an older peer does not send. Version N-1 ignores a union
# member that version N adds, and version N never requires that member.

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Hello {
  versionLow @0 :UInt16;
  versionHigh @1 :UInt16;
  processId @2 :Text;          # vm or target identifier
  incarnation @3 :UInt64;      # random, chosen at process start
  dataCentre @4 :Text;
  service @5 :Text;            # empty for an entry
}

# One crash of one back end. The fingerprints are concatenated digests of
# requests, 8 bytes each.
struct CrashReport {
  crashId @0 :Text;
  fingerprints @1 :Data;       # requests in flight at the crash
  cleared @2 :Data;            # those that have succeeded since
  remainingMs @3 :UInt32;      # time until the report expires
}

struct Call {
  callId @0 :UInt64;           # unique within the connection
  service @1 :Text;
  operation @2 :Text;
  team @3 :Text;
  teamWeight @4 :Float64;
  priority @5 :Int16;          # a lower number is served first
  remainingMs @6 :UInt32;      # time left until the deadline
  idempotent @7 :Bool;
  key @8 :Text;                # bound idempotency key, else empty
  fingerprint @9 :Data;
  stampMs @10 :UInt64;         # newest stamp known at the request's arrival
  method @11 :Text;
  path @12 :Text;
  headers @13 :List(Header);
  body @14 :Data;
  streamed @15 :Bool;
  resumeIndex @16 :UInt32;     # events that the caller already has
  resumeText @17 :Text;        # text of these events
  cost @18 :Float64;           # estimated work in tokens
  creditBytes @19 :UInt32;     # first flow-control window
  sealOnly @20 :Bool;          # close the key without running the call
  attempt @21 :Text;           # the entry's identifier of the attempt
  number @22 :UInt16;          # number of the message in the attempt
  crashReports @23 :List(CrashReport);  # that involve this request
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
  holdsForMs @6 :UInt32;       # how long 'not run' stays true, from the request on
  status @7 :UInt16;           # of an answer that is no longer stored
  crashReports @8 :List(CrashReport);   # of a crash that ended the call
}

# The clock of one incarnation's ledger, and the target that now answers for it.
struct Stamp {
  targetId @0 :Text;
  incarnation @1 :UInt64;
  stampMs @2 :UInt64;
  windowMs @3 :UInt32;
}

struct Load {
  sentMs @0 :UInt64;           # the sender's monotonic clock
  running @1 :UInt32;
  queued @2 :UInt32;
  limit @3 :UInt32;
  waitMs @4 :UInt32;
  cold @5 :Bool;
  draining @6 :Bool;
  kvFree @7 :Float64;          # ratio of free KV memory
  stamps @8 :List(Stamp);
  revision @9 :Text;           # configuration in force at the sender
  crashReports @10 :List(CrashReport);  # new ones first, then all in rotation
}

# Refers an entry to the heir of a target that has left.
struct Redirect {
  callId @0 :UInt64;
  heirTargetId @1 :Text;
  heirIncarnation @2 :UInt64;
  stampMs @3 :UInt64;
}

struct Handover {
  sourceIncarnation @0 :UInt64;
  exportNumber @1 :UInt32;
  part @2 :UInt32;
  parts @3 :UInt32;
  data @4 :Data;               # part of the JSON of a snapshot
}

struct HandoverAnswer {
  sourceIncarnation @0 :UInt64;
  exportNumber @1 :UInt32;
  accepted @2 :Bool;
}

struct HeirNamed {
  sourceIncarnation @0 :UInt64;
  exportNumber @1 :UInt32;
  heirTargetId @2 :Text;
  heirIncarnation @3 :UInt64;
  stamps @4 :List(Stamp);
}

struct RecordTransfer {
  data @0 :Data;               # JSON of one record
}

struct Version {
  name @0 :Text;
  revision @1 :UInt64;
  digest @2 :UInt64;
}

struct StateRequest {
  requestId @0 :UInt64;
  site @1 :Text;
}

struct StateAnswer {
  requestId @0 :UInt64;
  held @1 :List(Version);
  inForce @2 :List(Version);   # empty, or the versions of base and overlay
}

struct DocumentRequest {
  requestId @0 :UInt64;
  name @1 :Text;
  revision @2 :UInt64;
}

struct Document {
  requestId @0 :UInt64;
  name @1 :Text;
  revision @2 :UInt64;
  content @3 :Data;            # UTF-8
}

struct DocumentRefusal {
  requestId @0 :UInt64;
}

# A rate of one team's limit that an entry requests or lends.
struct LoanRow {
  team @0 :Text;
  resource @1 :Text;           # 'requests' or 'tokens'
  ratePerS @2 :Float64;
  number @3 :UInt64;           # chosen by the borrower and echoed
}

struct LoanRequest {
  requestId @0 :UInt64;
  entryId @1 :Text;            # the borrower
  rows @2 :List(LoanRow);
}

struct LoanAnswer {
  requestId @0 :UInt64;
  rows @1 :List(LoanRow);
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
    redirect @9 :Redirect;
    handover @10 :Handover;
    handoverAnswer @11 :HandoverAnswer;
    heirNamed @12 :HeirNamed;
    recordTransfer @13 :RecordTransfer;
    stateRequest @14 :StateRequest;
    stateAnswer @15 :StateAnswer;
    documentRequest @16 :DocumentRequest;
    document @17 :Document;
    documentRefusal @18 :DocumentRefusal;
    loanRequest @19 :LoanRequest;
    loanAnswer @20 :LoanAnswer;
  }
}
