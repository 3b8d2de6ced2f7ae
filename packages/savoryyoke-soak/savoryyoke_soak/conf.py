"""Define the sizes, durations and bounds of the fault soak."""

ZONES = {'zone-a': 'region', 'zone-b': 'region'}

ENTRIES = 4
REPLICAS = 4
CALLERS = 16
# Time during which faults start.
RUN_S = 12.0
# Time without faults at the end, in which callers still send requests.
QUIET_S = 3.0

# Mean time between the starts of two faults; most faults overlap.
FAULT_GAP_S = 0.7
FAULT_SHORTEST_S = 0.2
FAULT_LONGEST_S = 2.5

# Deadline of a request, and time that a fake target works on it.
DEADLINE_S = 3.0
WORK_S = 0.02
STREAM_EVENTS = 12
# Mean pause of a caller between two requests.
CALLER_PAUSE_S = 0.03

# Callers use a directory answer for less than three times its TTL.
DIRECTORY_MAX_AGE_TTLS = 2.5
# For that reason an entry must accept connections for this time after it was
# asked to stop.
STOPPED_REACHABLE_S = 3.0

# A caller repeats a request that crashes targets after ``FATAL_PAUSE_S``, for
# ``FATAL_FOR_S`` and the duration of the fault. A crashed target is replaced
# after ``TARGET_RETURN_S``.
FATAL_PAUSE_S = 0.2
FATAL_FOR_S = 6.0
FATAL_BODY = b'fatal'
# Requests that share a part of their prompts have bodies of their own: the
# body that names the part, this separator and a number.
FATAL_BODY_SEPARATOR = b'/'
TARGET_RETURN_S = 0.5
# Bounds that the users set for a request that crashes targets: from the third
# crash on, entries have ``CRASH_DETECTION_S`` to detect it; after that, only
# ``ARRIVALS_AFTER_LIMIT`` more of these requests may reach a target. For
# requests that share a part of their prompts, it is the fifth crash.
CRASHES_BEFORE_LIMIT = 3
PROMPT_CRASHES_BEFORE_LIMIT = 5
CRASH_DETECTION_S = 3.0
ARRIVALS_AFTER_LIMIT = 3

# A busy target refuses all requests for ``BUSY_FOR_S`` and asks for a pause of
# ``PAUSE_S`` with each refusal. The users allow two requests per pause, after
# its first ``PAUSE_GRACE_S``.
BUSY_FOR_S = 0.4
PAUSE_S = 2.0
PAUSE_GRACE_S = 0.5
ARRIVALS_IN_PAUSE = 2

# A limited target states for ``LIMITED_FOR_S`` and the duration of the fault
# that it takes ``RATE_LIMIT_PER_S`` from all entries together. The users allow
# 1.5 times the limit and five requests in any 4 s, from 3 s after the first
# statement on.
RATE_LIMIT_PER_S = 2.0
LIMITED_FOR_S = 9.0
RATE_LIMIT_LEARNING_S = 3.0
RATE_LIMIT_WINDOW_S = 4.0
ARRIVALS_IN_WINDOW = 1.5 * RATE_LIMIT_PER_S * RATE_LIMIT_WINDOW_S + 5

# An entry that is asked to stop finishes its requests within ``GRACE_S``.
GRACE_S = 8.0
STOP_TIMEOUT_S = GRACE_S + 3.0

# Bounds of the users' platform: time until a configuration must be in force,
# and time during which a leaving target may still get new work.
CONFIGURATION_DELAY_S = 3.0
DRAIN_DELAY_S = 3.0

# A restored store is away for ``RESTORE_OUTAGE_S``. What it has lost is
# written again ``REWRITE_DELAY_S`` later.
RESTORE_OUTAGE_S = 0.4
REWRITE_DELAY_S = 2.5

# Extra time in all bounds: other load on the machine delays the processes.
MACHINE_DELAY_S = 2.0
# Time between two published versions of the configuration.
CONFIGURATION_GAP_S = 1.5
START_TIMEOUT_S = 20.0
LOG_LINES_SHOWN = 20
