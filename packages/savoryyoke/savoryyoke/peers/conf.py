"""Defaults of the exchange between entries."""

# Ten reports a second keep the count of requests in flight fresher than
# a quarter of the objective of the users' streams (some 400 ms).
HEARTBEAT_S = 0.1

# A heartbeat that says nothing new is left out until the last one is this
# old: with heartbeats each 0.1 s, two of three may be lost within the timeout.
UNCHANGED_HEARTBEAT_S = 0.25

# Contacts are passed on when they have changed and once in this time, for
# entries that missed the change.
CONTACTS_S = 1.0

# Spreads the datagrams of large fleets. Each takes some 0.1 ms of processor
# time at both ends: the first figure keeps them below 3 in 100 of a core.
# Above 0.4 s, two lost heartbeats would make a peer look gone, so only the
# second figure, below 10 in 100 of a core, stretches the interval further.
HEARTBEAT_PER_PEER_S = 0.006
HEARTBEAT_SAFE_S = 0.4
HEARTBEAT_LEAST_PER_PEER_S = 0.002

# Three to ten lost datagrams in a row are a peer that is gone, not a lossy
# link.
PEER_TIMEOUT_S = 1.0

# Reports of slow targets come three times a second while they are slow.
SLOW_MEMORY_S = 1.0

# Contacts that are not seeds are tried for so long after their last
# heartbeat; a VM restarts within a few seconds.
CONTACT_MEMORY_S = 15.0

# Bounds the contacts that one heartbeat passes on.
PASSED_CONTACTS_LIMIT = 16
