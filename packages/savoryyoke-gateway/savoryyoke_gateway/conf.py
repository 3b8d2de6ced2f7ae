"""Define the defaults of the gateway."""

# A connection opens in 1 to 8 ms within a data centre or to a neighbouring
# one. A lost packet is retransmitted after about 200 ms.
CONNECT_TIMEOUT_S = 0.35

# An engine whose group has lost a rank aborts its requests after 1.5 s, and
# callers abandon a stream that has been silent for 2 s.
STREAM_SILENCE_TIMEOUT_S = 1.8

# Interval at which an entry checks whether a stream should leave its target.
STREAM_CHECK_INTERVAL_S = 0.1

# Time that a stream waits for a target to move to before it is checked again.
MOVE_WAIT_S = 1.0

# A target is too slow if an answer that is no stream is incomplete this long
# after its head. The users' answers fit into one packet.
BODY_STALL_TIMEOUT_S = 0.5

# Targets stop work and answer at the deadline in the request. Their answer is
# more precise than the gateway's own, so the gateway waits for one
# further round trip.
DEADLINE_GRACE_S = 0.06

# Timeout of the connection that probes a target right after an exchange broke.
# Its VM is 1 to 8 ms away, and the request's next try waits for the result.
CRASH_PROBE_TIMEOUT_S = 0.1

# Delay before a second probe: a process that ends closes all its sockets
# within some ten milliseconds.
CRASH_PROBE_DELAY_S = 0.1
# Further probes are skipped while this many are delayed.
DELAYED_PROBES_LIMIT = 64

# Limits on the crash reports in a heartbeat. A report with 16 digests takes
# about 0.4 KB. In large fleets, the other fields take 4 of a heartbeat's 8 KB.
CRASH_REPORTS_PER_HEARTBEAT = 8
CRASH_DIGESTS_PER_REPORT = 16

# Limits how long a request waits for further reports on crashes. They come
# within a heartbeat or two of each crash.
CRASH_REPORTS_WAIT_S = 0.6

# Limit on an answer's head, including the informational answers before it and
# the 64 KB that the HTTP library reads at once. The users' heads are smaller
# than 1 KB.
HEAD_LIMIT_BYTES = 128 * 1024

# Limit on the body of an answer that is buffered until it is complete.
ANSWER_LIMIT_BYTES = 16 * 1024 * 1024

# Limit on what all buffered answers hold together, with the incomplete events
# of streams, unless half of the input budget is less. An entry VM with 200 MB
# uses 50 of them while idle, and an answer is copied when it is sent.
BUFFERS_LIMIT_BYTES = 32 * 1024 * 1024

# Share of the objective that a stream may wait for a target. The rest is
# needed for its first event.
STREAM_WAIT_SHARE = 0.5

# Share of its time limit that any other request may wait for a target.
PLAIN_WAIT_SHARE = 0.25

# Limit on the wait of a stream that can no longer meet its objective. Callers
# abandon a stream without a first event after 2 s, so this leaves time for it.
LATE_WAIT_S = 1.1

# Delay before the platform is read again after a failure. It answers in
# milliseconds, so its recovery is detected well within a second.
SOURCE_RETRY_DELAY_S = 0.4

# Time for the platform to answer, in addition to that of a long poll.
SOURCE_TIMEOUT_S = 0.5

# A peer's newer published values are copied if this entry hasn't read them
# from the platform within this time.
PEER_COPY_DELAY_S = 0.3

# Limit on the wait for a peer's view before an entry that starts reads the
# platform. Peers answer within 10 ms, and an ended process refuses at once.
START_COPY_TIMEOUT_S = 0.2

# Time after the start in which requests wait for the first configuration. It
# comes from a peer or the platform within some ten milliseconds, unless
# neither can be reached.
START_HOLD_S = 0.6

# Time after the start in which requests wait for a group that is out of
# service, even if they are on time. A group is formed within 0.6 s of the
# start of its last rank.
START_OUTAGE_HOLD_S = 3.0

# Limit on the wait of a stream for a group that is out of service. Its first
# event takes up to 0.4 s, and callers abandon a stream without one after 2 s.
OUTAGE_WAIT_S = 1.5

# Number of copies of the view that an entry sends at once. A copy takes some
# milliseconds; a peer that gets none asks another entry or the platform.
COPIES_SENT_LIMIT = 32

# Number of peers that an entry asks after the platform was restored from an
# older copy, for what it may have missed itself.
RESTORE_COPIES = 3
# Time in which they are asked. Each is asked once it has begun the new epoch
# itself, at most one long poll after this entry.
RESTORE_COPIES_FOR_S = 5.0

# Callers cache an answer of the directory for its TTL; some of them cache it
# for three times as long.
DIRECTORY_TTL_S = 1.0
DIRECTORY_CACHE_TTLS = 3

# Share of the retry limit that entries use. The rest covers entries that
# restart and lose the count of their repeated tries.
RETRY_SHARE = 0.6

# Number of entries assumed until heartbeats show more. Each user has 8 entry
# VMs.
EXPECTED_ENTRY_COUNT = 8
# Time after the start within which heartbeats of all reachable entries arrive.
ENTRIES_HEARD_AFTER_S = 3.0

# Part of the grace time that is reserved for ending the process.
STOP_MARGIN_S = 0.6
# Interval at which a shutdown checks the time and the requests in flight.
STOP_CHECK_INTERVAL_S = 0.05

# Datagrams of peers that are read before other tasks run. Decoding a single
# heartbeat takes 0.07 ms, a full batch of 74 unknown ones 4 ms.
DATAGRAMS_PER_READ = 16
