"""Defaults of the view of published values."""

# The platform restores the entries of live targets within about two seconds
# of the end of an outage.
LAPSE_GRACE_S = 2.0

# 43 entries that read each of three changes a second make 130 calls a second.
# With this pause a larger fleet makes no more than 80, and the pause stays
# well below the three seconds in which configuration must be in force.
SMALL_FLEET_ENTRIES = 16
PAUSE_PER_ENTRY_S = 0.012
PAUSE_MOST_S = 1.0

# While targets are out of service, callers may wait for their return, which
# takes seconds. Yet where a whole fleet starts, each of its targets makes one
# change and more.
URGENT_PAUSE_PER_ENTRY_S = 0.005
URGENT_PAUSE_MOST_S = 0.3

# A waiting read that stays open for so long finds a silent connection before
# an entry counts as in touch again (three seconds).
WAIT_S = 2.0
# Of a fleet whose entries hear each other, one at least renews its reading in
# each quarter of a second, and tells the others if something has changed. The
# platform holds a waiting read for 30 s at most.
FLEET_WAIT_PER_PEER_S = 0.25
WAIT_MOST_S = 25.0
# Renewals of a fleet that starts at once are spread over this part.
WAIT_SPREAD = 0.5
