"""Defaults of placement."""

import dataclasses

# Refused targets and entries that are full change within a pass of the
# engines, which is 40 to 60 ms on the users' groups.
BUSY_S = 0.1

# A target that refuses connections is tried again after this time, which
# doubles with each further failure; VMs restart within two to five seconds.
UNREACHABLE_FIRST_S = 0.5
UNREACHABLE_LONGEST_S = 4.0

# An address that turned out to be another target's is left alone until the
# list of targets, which lags by about two seconds, names it anew.
MISDIRECTED_S = 2.0

# A target may ask for a pause of any length. Five minutes are longer than
# its machine needs to be replaced; a longer one is taken for a fault.
PAUSE_LONGEST_S = 300.0

# After a pause, each entry sends one request more at a time for each two
# passes of the engines, and as many as there is room for after 64 steps.
PAUSE_RAMP_S = 0.1
PAUSE_RAMP_STEPS = 64

# Callers that were refused until the end of a pause return spread over this.
PAUSE_RETURN_SPREAD_S = 0.3

# A target is gone or published as leaving some seconds after it has said so;
# until then entries that did not hear it go by the hints of others.
HINT_MEMORY_S = 10.0
HINTS_LIMIT = 32

# Leaving incarnations that are remembered for a service: 1,300 targets that
# are replaced three times, at 32 bytes and a key each.
NOTICES_LIMIT = 4096

# Evidence of failures halves in this time, so that a recovered target is
# tried again within a few seconds.
FAILURE_HALF_LIFE_S = 2.0

# Weight of one result in the moving averages of failures and latencies.
RESULT_WEIGHT = 0.3

# A target with a failure rate of 0.5 scores like one that is full.
FAILURE_PENALTY = 2.0

# Part of the cold limit that entries hand out; the rest covers requests
# that two entries send in the same instant.
COLD_SHARE = 0.8
COLD_WINDOW_S = 1.0

# Callers honour a time to return of up to a third of what they have left.
RETURN_SHARE_LIMIT = 1.0 / 3.0
RETURN_EARLIEST_SHARE = 0.3
RETURN_LATEST_S = 1.5

# A group of engines that has lost a rank is out of service for two to five
# seconds: its callers return late, but no later than that.
OUTAGE_EARLIEST_SHARE = 0.7
OUTAGE_LATEST_S = 3.0


# Engines of a group advance together: a rank that takes this many times the
# usual time gets nothing while most others are faster.
SLOW_PACE = 1.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlacementPolicy:
    """Tune placement for one kind of service.

    ``engine_requests_per_target`` bounds what all entries together have at
    one engine. More requests lengthen the passes of every rank of a group:
    it stays below the slots of the engine.
    """

    engine_requests_per_target: int = 6
