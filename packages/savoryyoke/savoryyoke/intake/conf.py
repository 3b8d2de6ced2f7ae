"""Default settings of the input limits."""

# Assumed for processes whose settings don't state them.
MEMORY_MB = 200.0
MAX_FDS = 4100

# An idle entry uses 46 MB. The rest, which is not measured by itself, is for
# tasks, published values and fragments of the heap.
BASE_BYTES = 64 * 1000 * 1000

# A body is held up to twice: while it is joined and while it is sent.
COPIES = 2

# Smallest budget, so that a process with too little memory serves requests
# of the usual sizes.
MIN_BUDGET_BYTES = 8 * 1000 * 1000

# Share of the budget that buffered answers may use.
ANSWERS_SHARE = 0.5

# A request up to this size may use the whole budget, a larger one all but
# ``RESERVE_SHARE`` of it. So bodies never leave ordinary requests without
# room.
SMALL_BYTES = 32 * 1024
RESERVE_SHARE = 0.125

# A body that grows by less than this has made no progress, so that bytes sent
# one by one don't protect a connection.
PROGRESS_BYTES = 16 * 1024

# Descriptors that are kept for files, as the operators require.
FILE_DESCRIPTORS = 200
# Descriptors for listeners, peers, the platform and connections that are
# accepted before others are closed.
OTHER_DESCRIPTORS = 64
MIN_CONNECTIONS = 16

# A head may exceed ``HeaderBytes`` by this much, since callers may count its
# bytes in another way.
HEAD_SLACK_BYTES = 1024
# Callers send about ten lines.
HEAD_LINES_LIMIT = 1000
# Memory of a line beyond its text: a pair and two objects of bytes.
LINE_BYTES = 150
# Limit on empty lines before a request; clients send one at most.
BLANK_BYTES_LIMIT = 64
# Limit on the framing of a chunked body beyond ``CHUNK_BYTES`` per chunk:
# trailers, extensions and digits of sizes together.
FRAMING_BYTES_LIMIT = 8192
# Framing of a chunk of the largest size: 16 digits and two line breaks.
CHUNK_BYTES = 20

# Apply until there is a configuration.
HEADER_BYTES = 16384
BODY_BYTES = 4 * 1024 * 1024
