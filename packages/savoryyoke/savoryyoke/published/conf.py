"""Default settings of the view of published values."""

# Items with an expired lease are kept for this time after an outage of the
# platform. The items of live targets are published again within about two
# seconds of its end.
LEASE_GRACE_S = 2.0

# Removed items are remembered for this time, to recognise them in an older
# copy from which the platform is restored. Such copies are some seconds old.
REMOVAL_MEMORY_S = 60.0

# An entry is one instance of the load balancer; the entries form a fleet. If
# 43 entries read each of three changes per second separately, they make 130
# calls per second to the platform. With this pause after each change, a larger
# fleet makes at most 80. The pause stays well below the three seconds in which
# a new configuration must be in force.
SMALL_FLEET_ENTRIES = 16
PAUSE_PER_ENTRY_S = 0.012
PAUSE_MAX_S = 1.0

# A shorter pause applies while a target is out of service, because callers may
# be waiting for it to return, which takes seconds. It is not zero, because
# each target of a starting fleet makes at least one change.
URGENT_PAUSE_PER_ENTRY_S = 0.005
URGENT_PAUSE_MAX_S = 0.3

# A target whose published state has not changed for this time is not expected
# to return soon. Most targets that drain are gone within some seconds, and
# groups of engines return within five.
UNSETTLED_MAX_S = 10.0

# Duration of a long poll, which is a read that waits for a change. It detects
# a silent connection within the three seconds after an outage in which an
# entry must be in contact with the platform again.
LONG_POLL_S = 2.0
# Duration of a long poll per peer whose heartbeats arrive. With it, at least
# one entry of the fleet renews its poll every quarter of a second and informs
# the others about changes. The platform ends a poll after 30 s at most.
LONG_POLL_PER_PEER_S = 0.25
LONG_POLL_MAX_S = 25.0
# Share of the duration that is varied at random, so that the entries of a
# fleet that starts at once do not renew their polls together.
LONG_POLL_SPREAD_SHARE = 0.5
