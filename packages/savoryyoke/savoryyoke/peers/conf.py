"""Default settings of the heartbeats between entries."""

# With ten heartbeats per second, the counts of requests in flight are at most
# 100 ms old, a quarter of the latency objective of the users' streams (about
# 400 ms).
HEARTBEAT_INTERVAL_S = 0.1

# An unchanged heartbeat is not sent until the last one is this old. With an
# interval of 0.1 s, two of three heartbeats may be lost within the timeout.
UNCHANGED_HEARTBEAT_INTERVAL_S = 0.25

# The list of contacts is sent when it has changed, and again after this time
# for entries that missed the change.
CONTACTS_INTERVAL_S = 1.0

# The interval between heartbeats grows with the number of peers, because each
# datagram takes about 0.1 ms of processor time at the sender and the receiver.
# 6 ms per peer keep this below 3 % of a core. Above the safe interval of
# 0.4 s, two lost heartbeats would exceed the timeout, so a larger fleet uses
# only 2 ms per peer, which keeps the load below 10 % of a core.
HEARTBEAT_PER_PEER_S = 0.006
HEARTBEAT_SAFE_INTERVAL_S = 0.4
HEARTBEAT_MIN_PER_PEER_S = 0.002

# Larger fleets relay heartbeats between data centres. In smaller ones, relays
# would save little and a heartbeat would depend on two datagrams.
DIRECT_FLEET_ENTRIES = 16

# A peer without a heartbeat for this time is considered down. That is three to
# ten lost datagrams in a row, more than on a lossy link.
PEER_TIMEOUT_S = 1.0

# A report of a slow target expires after this time. Reports arrive three times
# per second while the target is slow.
SLOW_REPORT_LIFETIME_S = 1.0

# Contacts that are not seeds are sent heartbeats for this time after their own
# last heartbeat. A VM restarts within a few seconds.
CONTACT_LIFETIME_S = 15.0

# Limits the number of contacts in one heartbeat.
HEARTBEAT_CONTACTS_LIMIT = 16
