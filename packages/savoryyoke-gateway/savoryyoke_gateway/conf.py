"""Defaults of the gateway."""

# A connection within a data centre or to the next one opens in 1 to 8 ms; a
# lost packet is sent again after about 200 ms.
CONNECT_TIMEOUT_S = 0.35

# An engine whose group has lost a rank gives its requests up after 1.5 s,
# and callers leave a stream that was silent for 2 s.
STREAM_SILENCE_S = 1.8

# A stream that has been silent for too long moves to another target as soon
# as there is one; its place is looked for each time that a pass may free one.
SILENCE_CHECK_S = 0.1

# A plain answer that is not whole this long after its head is a fault of the
# target; the users' answers fit into one packet.
BODY_STALL_S = 0.5

# Targets end their work at the deadline they were told; their own answer is
# better than one of ours, so it gets the time of a round trip.
DEADLINE_GRACE_S = 0.06

# A target whose connection broke is asked for another at once; its VM is
# 1 to 8 ms away, and the request's next try waits for the answer.
CRASH_PROBE_TIMEOUT_S = 0.1

# A process that ends closes all its sockets within some ten milliseconds.
CRASH_PROBE_DELAY_S = 0.1
LATER_PROBES_LIMIT = 64

# Reports of crashes in one heartbeat. A report of 16 requests takes some
# 0.4 KB; the other fields of a heartbeat take 4 KB of its 8 in large fleets.
CRASH_REPORTS_PER_HEARTBEAT = 8
CRASH_DIGESTS_PER_REPORT = 16

# Bounds an answer's head, with the informational answers before it and the
# 64 KB that the HTTP library reads at once. The users' heads are below 1 KB.
HEAD_LIMIT_BYTES = 128 * 1024

# Bounds an answer that is held until it is whole.
ANSWER_LIMIT_BYTES = 16 * 1024 * 1024

# Part of the objective after which waiting for a target has used up what
# the first event of a stream still needs.
WAIT_SHARE = 0.5

# Part of the time of a plain request that it may wait for a target.
PLAIN_WAIT_SHARE = 0.25

# Callers leave a stream without a first event after 2 s; a request whose
# objective is lost waits at most this long, which leaves time to begin.
LATE_WAIT_S = 1.1

# A platform that answers in milliseconds is asked again this soon after a
# failure, so that its return is noticed well within a second.
SOURCE_RETRY_S = 0.4

# The platform answers within this time, or after the wait it was asked for.
SOURCE_TIMEOUT_S = 0.5

# A peer's newer view is copied when the platform has not told this entry of
# it in this time.
PEER_COPY_AFTER_S = 0.3

# Callers keep an answer of the directory for this long, and some three
# times as long.
DIRECTORY_TTL_S = 1.0
DIRECTORY_KEPT_TIMES = 3

# The shares of the retry limit that entries spend: the rest covers entries
# that restart and so forget what they have spent.
RETRY_SHARE = 0.6

# Entries to expect before any peer is heard; each user has 8 entry VMs.
EXPECTED_ENTRIES = 8

# Time that a stopping entry keeps for its own end.
STOP_MARGIN_S = 0.6
