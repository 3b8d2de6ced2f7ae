"""Defaults of map changes."""

# Time from the hold to the switch: arming takes one exchange of datagrams and
# one order, some 20 ms, and observing each 30 ms, so the hold is seldom
# reached. Passes take 40 to 100 ms, and half a second where a rank is slow.
SWITCH_AHEAD_S = 0.2
LEAST_PASSES_AHEAD = 2
MOST_PASSES_AHEAD = 4

# A leader is replaced when it has not been heard for this long; the second
# figure keeps ranks from standing at the same time.
ELECTION_S = 0.5
ELECTION_PER_RANK_S = 0.1

# An agent that has not been heard for this long is helped by the leader.
SILENCE_S = 0.4

# Copying the most experts that an engine takes at once lasts below half a
# second; a rank that has not done so by then is stuck.
PREPARE_TIMEOUT_S = 3.0

# An order whose answer is lost is given again after this time; engines
# answer their own VM within a few milliseconds.
ORDER_TIMEOUT_S = 0.15

# A leader's VM has 4 Mbit/s on the users' grown sites. There a map is 6 KB
# and a report of counts 5 KB; up to this many ranks they fit beside each
# other without a detour.
SMALL_GROUP_RANKS = 16

# Low bits of a map's version are random, so that two leaders never give
# one version to two maps.
VERSION_RANDOM_BITS = 16
