"""Define the versions, limits and refusal reasons of the protocol."""

# Versions of ``protocol.capnp`` that this process supports.
VERSION_LOW = 1
VERSION_HIGH = 1
# First bytes of each stream connection.
PREFACE = b'SYK\x01'

FRAME_LENGTH_BYTES = 4
FRAME_LIMIT_BYTES = 2 * 1024 * 1024
UNPACKED_LIMIT_WORDS = FRAME_LIMIT_BYTES // 4
TEXT_LIMIT_BYTES = 256 * 1024
HEADERS_LIMIT = 64
LIST_LIMIT = 1024
CRASH_REPORTS_LIMIT = 16
CRASH_DIGEST_BYTES = 8

# Version of the membership datagrams.
GOSSIP_VERSION = 1
DATAGRAM_LIMIT_BYTES = 8 * 1024

# Content of one part of a long message. The 128 bytes leave room in the
# datagram for the other fields of ``MessagePart``.
PART_BYTES = 8 * 1024 - 128
# An expert map of 1,300 ranks, 16 sets and 8 experts per rank takes 350 KB.
MESSAGE_LIMIT_BYTES = 512 * 1024
# Incomplete messages that one process stores.
ASSEMBLIES_LIMIT = 32
# On the slowest link, all parts of a message are sent within one second.
ASSEMBLY_TIMEOUT_S = 3.0
# Number of experts whose counts are encoded with the same number of bytes. The
# chunks are small so that a high count makes only a few others longer.
COUNTS_PER_CHUNK = 64

# Values of ``Refusal.reason`` that change what the entry does next.
QUARANTINED_REASON = 'quarantined'
DATA_CENTRE_OUT_REASON = 'data_centre_out'
ISOLATING_REASON = 'isolating'
SAME_REQUEST_REASON = 'isolating-same-request'

# Version of the heartbeats and snapshots that entries exchange.
FLEET_VERSION = 1
# First bytes of a batch of heartbeats. At the start of a packed heartbeat,
# they would mean more than 256 segments, which no heartbeat has.
BATCH_PREFACE = b'SYB\x01'
# Heartbeats in one batch. Those of an idle entry take about 110 bytes, so that
# 74 of them fill the datagram.
BATCH_ITEMS_LIMIT = 128

# Limits the heartbeats that are kept to recognize repetitions. Each peer sends
# one without contacts and some with contacts; each takes about 1.5 KB.
REPEATED_HEARTBEATS_LIMIT = 256
SNAPSHOT_LIMIT_BYTES = 8 * 1024 * 1024

# Version of the messages between the agents of a group's ranks.
GROUP_VERSION = 3
