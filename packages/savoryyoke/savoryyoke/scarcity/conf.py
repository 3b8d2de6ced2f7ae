"""Default settings of scarcity."""

# Time constant of the mean pause between two events. A group makes some four
# passes in it, and demand shifts only every three to four seconds.
PACE_TIME_CONSTANT_S = 0.4

# An estimate without a new pause for this time is not used.
PACE_LIFETIME_S = 1.0

# A longer pause counts as this multiple of the limit of the routes, so that
# a stream whose VM was frozen doesn't outweigh all others.
PAUSE_MAX_RATIO = 3.0

# A stream is late if one of its pauses is too long. Single passes take up to a
# third longer than the mean one, because their ranks read long prompts.
MEAN_PAUSE_SHARE = 0.75

# Streams whose buffered events arrive together show shorter pauses.
SHORTEST_PAUSE_S = 0.001

# Interval at which pauses are compared with the requests in flight, and the
# time for which the longest one counts. Demand shifts every three to four
# seconds.
LIMIT_INTERVAL_S = 0.1
LIMIT_WINDOW_S = 5.0

# The limit never falls below this share of the slots: part of a pass takes the
# same time with any number of requests.
LOWEST_LIMIT_SHARE = 0.4

# Each level of urgency after the second uses this much less of the limit than
# the one before it. Reports of peers are up to 0.4 s old, in which the number
# of requests in flight changes by some 5 %.
LEVEL_SHARE_STEP = 0.12
# Share of the limit that any level may use.
LOWEST_LEVEL_SHARE = 0.4

# Time constant of the record of what was served and refused.
HISTORY_TIME_CONSTANT_S = 10.0

# A route's priority or a team that is served less often than this share of
# what all requests are served may use all slots.
STARVED_RATIO = 0.5
# Fewer requests than this say nothing about how often they are served.
STARVED_MIN_REQUESTS = 3.0

# Teams and priorities whose record is kept.
HISTORY_LIMIT = 1024

# Shortest time until a refused caller returns, for each level of urgency, and
# the part of the placement rate that is expected to be free for them.
RETURN_DELAY_PER_LEVEL_S = 0.4
RETURN_RATE_SHARE = 0.25
LOWEST_RETURN_RATE_PER_S = 0.5
# Callers with much time left return after this time at the latest.
RETURN_MAX_S = 3.0
# Consecutive return times are spread by this part of their distance.
RETURN_SPREAD_SHARE = 0.5

# A stated size is a caller's claim; no request counts for more than this
# multiple of the mean one.
WORK_MAX = 8.0
# The first size that is seen may not exceed this; longer ones are unusual.
TOKENS_MAX = 10_000
