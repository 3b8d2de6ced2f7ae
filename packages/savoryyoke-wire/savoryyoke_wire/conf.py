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

# Reasons of refusals that the entry acts on.
QUARANTINED_REASON = 'quarantined'
DATA_CENTRE_OUT_REASON = 'data_centre_out'
ISOLATING_REASON = 'isolating'
SAME_REQUEST_REASON = 'isolating-same-request'

# Heartbeats and copies of published values between entries.
FLEET_VERSION = 1
SNAPSHOT_LIMIT_BYTES = 8 * 1024 * 1024
GROUP_VERSION = 2
