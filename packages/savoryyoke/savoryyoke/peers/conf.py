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

# A collector sends on what has arrived within this time. Fewer datagrams with
# a longer time; heartbeats are sent more often to make up for it, see
# ``pacing.choose_batch_interval_s``.
BATCH_WINDOW_PER_PEER_S = 0.00075
MIN_BATCH_WINDOW_S = 0.025
MAX_BATCH_WINDOW_S = 0.05
# Heartbeats in batches are sent more often by this many windows. Half a window
# of waiting on average is made up for by a whole one; the rest allows for the
# first heartbeats of a batch, which wait for longer, and for busy collectors.
BATCH_INTERVAL_WINDOWS = 1.5

# The second collector sends on what the first one has not sent in this time:
# three windows, so that a busy first collector causes no duplicates.
SECOND_COLLECTOR_WAIT_S = 0.15

# An entry collects for this time. Shorter than the interval of heartbeats in a
# large fleet, so that two heartbeats of an entry have different collectors.
COLLECTOR_TURN_S = 0.3
# Numbers of turns take 32 bits in a batch.
TURNS = 2**32

# In a data centre with fewer peers that support batches, a heartbeat goes to
# all of them directly.
MIN_BATCH_PEERS = 3

# Heartbeats that wait for the next batch: those of 0.15 s in a fleet of 400
# entries. Each has up to 8 KB, and usually 0.1 to 2 KB.
COLLECTED_LIMIT = 256
