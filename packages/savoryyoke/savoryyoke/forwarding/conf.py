"""Default settings of forwarding."""

# A connection that could not be opened carries no request, so it does not
# count against the operators' limit of attempts. This limits the number of
# such connections for a request.
UNREACHABLE_TRIES_LIMIT = 3

# No service of the users can answer in less time than this, so no further try
# is started.
SHORTEST_TRY_S = 0.03

# Ids of events with more digits are taken for text.
EVENT_NUMBER_DIGITS = 19

# Limits the size of one event of a stream. The users' events are below 1 KB.
EVENT_LIMIT_BYTES = 1024 * 1024
