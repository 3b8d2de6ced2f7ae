"""Defaults of map changes."""

# Time from the order to hold the group until the switch. Arming takes one
# exchange of datagrams and one order, about 20 ms, and engines are observed
# every 30 ms, so passes seldom have to wait for the hold to be released.
# Passes take 40 to 100 ms, or 500 ms if a rank is slow.
SWITCH_LEAD_TIME_S = 0.1
MIN_PASSES_AHEAD = 1
MAX_PASSES_AHEAD = 4

# A rank becomes leader after this time without a directive, plus the second
# value times its rank, so that ranks don't all become leaders at once.
ELECTION_TIMEOUT_S = 0.5
ELECTION_STAGGER_PER_RANK_S = 0.1

# These apply while the group may be held. The leader repeats its directive
# every 0.03 s then, or at an interval that grows with the group.
HELD_ELECTION_TIMEOUT_S = 0.25
HELD_ELECTION_MISSED_DIRECTIVES = 3
HELD_ELECTION_STAGGER_PER_RANK_S = 0.03

# The leader gives orders directly to the engine of an agent that has not
# reported for this long.
AGENT_TIMEOUT_S = 0.4

# Copying as many experts as an engine accepts at once takes less than 0.5 s;
# a rank that takes longer than this limit is stuck.
PREPARE_TIMEOUT_S = 3.0

# So many changes in a row end because demand shifts while experts are copied.
MAX_OUTDATED_CHANGES = 2

# The leader repeats its direct orders to engines after this time, as an answer
# may be lost; engines answer requests of their own VM within a few ms.
ORDER_RETRY_S = 0.15

# Groups of up to this many ranks exchange maps and counts with the leader
# directly, without blocks. On the users' enlarged sites, the leader's VM has
# 4 Mbit/s, a map takes 6 KB and a report of counts 5 KB, so both fit at once.
SMALL_GROUP_MAX_RANKS = 16

# The low bits of a map's version are random, so that two leaders don't give
# the same version to different maps.
VERSION_RANDOM_BITS = 16
