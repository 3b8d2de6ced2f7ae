"""Default settings of placement."""

import dataclasses

# Time without requests for a target that refused one because it was full. An
# engine frees slots within one step, which takes 40 to 60 ms on the users'
# groups.
REFUSED_AVOIDANCE_S = 0.1

# A target that refuses connections is tried again after this time, which
# doubles with each further failure up to the longest one. VMs restart within
# two to five seconds.
UNREACHABLE_AVOIDANCE_MIN_S = 0.5
UNREACHABLE_AVOIDANCE_MAX_S = 4.0

# Time without requests for a target whose address turned out to belong to
# another target. The published list lags by about two seconds; after that it
# has the right address.
MISDIRECTED_AVOIDANCE_S = 2.0

# An entry that learns from a refusal that a group is out of service sends it
# one request in this time until one is answered. A group is out of service for
# two to five seconds.
GROUP_RETRY_INTERVAL_S = 0.5

# An entry sends a group that is published as out of service one request in
# this time, as the published values may be old or from another writer. Most
# outages are over after one or two such requests.
GROUP_REPORT_CHECK_INTERVAL_S = 2.0

# A target may request a pause of any length. Replacing its VM takes less than
# five minutes, so a longer pause is treated as a fault and cut to this.
PAUSE_MAX_S = 300.0

# After a pause, each entry raises its limit of concurrent requests to the
# target by one every 0.1 s, which is two steps of an engine. After 64 such
# increases the limit is lifted.
PAUSE_RAMP_STEP_S = 0.1
PAUSE_RAMP_STEPS = 64

# Callers that were refused until the end of a pause get retry times that are
# spread over this interval after the end.
PAUSE_RETRY_SPREAD_S = 0.3

# A leaving target is removed from the published list, or marked as draining
# in it, some seconds after it has announced that it leaves. Until then,
# entries without the announcement use the hints of other entries.
HINT_LIFETIME_S = 10.0
HINTS_LIMIT = 32

# Bounds the leaving incarnations that are stored for a service. Enough for
# 1,300 targets that are replaced three times, at 32 bytes and a key each.
NOTICES_LIMIT = 4096

# A target's rate limit ends with an answer that doesn't state it whose request
# was sent this long after the last answer that did.
RATE_LIMIT_END_S = 0.5

# The end of a rate limit is reported to other entries for this time. A limit
# that is not stated again is removed after RATE_LIMIT_LIFETIME_S, which is
# longer than targets that are replaced stay published.
RATE_LIMIT_END_LIFETIME_S = 5.0
RATE_LIMIT_LIFETIME_S = 600.0

# A target that states a lower rate limit, or zero, gets requests at this rate:
# only an answer shows that the limit has ended.
LOWEST_RATE_PER_S = 1.0 / 30.0

# All entries together may send a target the requests of RATE_BURST_S and
# RATE_BURST_REQUESTS at once. The users tolerate 1.5 times the limit and five
# requests in 4 s, so the rest covers entries that send at the same time.
RATE_BURST_S = 1.0
RATE_BURST_REQUESTS = 2.0

# Room that less urgent requests leave for more urgent ones, which thereby find
# room more often. A whole request would leave next to nothing to the others in
# a long overload.
RATE_RESERVE_REQUESTS = 0.25

# Part of the unused rate that all entries may claim in a CLAIM_INTERVAL_S. In
# large fleets, a report may take two intervals to reach all entries.
RATE_CLAIM_SHARE = 0.5

# Time constant of the average rate of requests of an entry, and the rate that
# is assumed for an entry without requests.
DEMAND_WINDOW_S = 4.0
LOWEST_DEMAND_PER_S = 0.25

# Callers that were refused because of rate limits get retry times that are
# spread over this interval after their expected turn.
RATE_RETRY_SPREAD_S = 0.3

# Limits the reports on rate limits in a heartbeat, which take about 50 bytes
# each.
RATE_REPORTS_LIMIT = 48

# The rate at which this entry places requests is measured over this time.
PLACEMENT_RATE_WINDOW_S = 1.0
# The requests of a peer that is silent for longer tell nothing about what it
# places; it is taken for gone soon after.
REPORT_AGE_MAX_S = 0.5
# Interval between two draws for a slot that several entries may claim. Peers
# report within it.
CLAIM_INTERVAL_S = 0.3
# As many requests end unnoticed as are placed, so a free slot is claimed by
# several entries before it is taken for sure.
CLAIMS_PER_FREE_SLOT = 1.5
# Time in which no peer can have noticed a slot that this entry has freed.
OWN_SLOT_S = 0.1

# The failure rate of a target halves in this time, so that a recovered target
# gets requests again within a few seconds.
FAILURE_HALF_LIFE_S = 2.0

# Weight of one result in the moving averages of failures and latencies.
RESULT_WEIGHT = 0.3

# A target with a failure rate of 0.5 scores like one that is full.
FAILURE_PENALTY = 2.0

# Share of a service's cold limit (requests per second to one target) that the
# entries use. The rest covers requests that two entries send at the same time.
COLD_SHARE = 0.8
COLD_WINDOW_S = 1.0

# Callers honour a retry time of up to a third of the time they have left. The
# retry time is chosen at random, between the minimum share of the longest one
# and the longest one.
RETRY_AFTER_MAX_SHARE = 1.0 / 3.0
RETRY_AFTER_MIN_SHARE = 0.3
RETRY_AFTER_MAX_S = 1.5

# A group of engines that has lost a rank is out of service for two to five
# seconds, so its callers get retry times up to 3 s, close to the longest that
# they honour: most of them retry only once.
OUTAGE_RETRY_AFTER_MIN_SHARE = 0.9
OUTAGE_RETRY_AFTER_MAX_S = 3.0

# All engines of a group run each step together, at the speed of the slowest
# rank. A rank whose steps take this many times the usual time gets no requests
# while most ranks are faster.
SLOW_PACE_RATIO = 1.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlacementPolicy:
    """Hold the placement limits for one kind of service.

    ``engine_requests_per_target`` limits the requests that all entries
    together have in flight at one engine. It is lower than the number of
    slots of an engine, because more requests lengthen the steps of every rank
    of a group.
    """

    engine_requests_per_target: int = 6
