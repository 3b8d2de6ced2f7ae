"""Figures of the fault soak."""

ZONES = {'zone-a': 'region', 'zone-b': 'region'}

ENTRIES = 4
REPLICAS = 4
CALLERS = 16
SECONDS = 12.0
# Callers go on for so long after the last fault has ended.
QUIET_S = 3.0

# Mean time between two faults; most overlap.
FAULT_GAP_S = 0.7
FAULT_SHORTEST_S = 0.2
FAULT_LONGEST_S = 2.5

# Routes: what a caller gives a request, and what a replica works on it.
DEADLINE_S = 3.0
WORK_S = 0.02
STREAM_EVENTS = 12
CALLER_PAUSE_S = 0.03

# Callers keep an answer of the directory for less than three times its TTL.
DIRECTORY_KEPT_TIMES = 2.5
# So an entry may be gone this long after it was asked to stop.
STOPPED_GONE_S = 3.0

# A caller whose request crashes each target sends it again so soon; the
# target is back after a while.
FATAL_PAUSE_S = 0.2
FATAL_FOR_S = 6.0
FATAL_BODY = b'fatal'
TARGET_RETURN_S = 0.5
# What the users grant from the third crash on: time to learn of it, then
# so many more arrivals.
CRASHES_TO_LEARN = 3
LEARNING_S = 3.0
ARRIVALS_AFTER_LIMIT = 3

# A busy target turns all requests away for a while, and asks for a pause with
# each. The users grant two requests in a pause, its first moment left out.
BUSY_FOR_S = 0.4
PAUSE_S = 2.0
PAUSE_GRACE_S = 0.5
ARRIVALS_IN_PAUSE = 2

# A stopped entry finishes what it has begun within this time.
GRACE_S = 8.0
STOP_S = GRACE_S + 3.0

# What the users' platform grants: how late configuration may be in force and
# work may still come to a target that is leaving.
CONFIGURATION_S = 3.0
DRAIN_S = 3.0

# A machine that is busy with other tests delays every process.
BUSY_S = 2.0
CONFIGURATION_GAP_S = 1.5
START_S = 20.0
LINES_SHOWN = 20
