"""Limits and versions of the protocol, the one place for its defaults."""

VERSION_LOW = 1
VERSION_HIGH = 1
PREFACE = b'SYK\x01'

FRAME_LENGTH_BYTES = 4
FRAME_LIMIT_BYTES = 2 * 1024 * 1024
UNPACKED_LIMIT_WORDS = FRAME_LIMIT_BYTES // 4
TEXT_LIMIT_BYTES = 256 * 1024
HEADERS_LIMIT = 64
LIST_LIMIT = 1024
CRASH_REPORTS_LIMIT = 16
CRASH_DIGEST_BYTES = 8

GOSSIP_VERSION = 1
DATAGRAM_LIMIT_BYTES = 8 * 1024

# A longer message travels in parts; the rest of a datagram is for its frame.
PART_BYTES = 8 * 1024 - 128
# The map of 1,300 ranks with 16 sets and 8 places takes 350 KB.
MESSAGE_LIMIT_BYTES = 512 * 1024
# What one process holds of messages that are not whole yet.
ASSEMBLIES_LIMIT = 32
# Parts of a message leave within a second on the narrowest link.
ASSEMBLY_TIMEOUT_S = 3.0
# Counts of so many experts share a width, so that one that is chosen often
# widens few others.
COUNTS_CHUNK = 64

# Reasons of refusals that the entry acts on.
QUARANTINED_REASON = 'quarantined'
DATA_CENTRE_OUT_REASON = 'data_centre_out'
ISOLATING_REASON = 'isolating'
SAME_REQUEST_REASON = 'isolating-same-request'

# Heartbeats and copies of published values between entries.
FLEET_VERSION = 1
SNAPSHOT_LIMIT_BYTES = 8 * 1024 * 1024
GROUP_VERSION = 3
