"""Defaults of orders to engines and of placement."""

ORDER_VALID_S = 10.0

# The delay before the first retry of a failed load, which grows by the factor
# with each further attempt.
LOAD_RETRY_FIRST_S = 5.0
LOAD_RETRY_FACTOR = 2.0
LOAD_RETRY_MAX_S = 300.0
# Number of attempts after which a version that fails to load is given up.
LOAD_ATTEMPTS_MAX = 3

# Sizes of the fields of a fencing number, which has 63 bits.
REVISION_BITS = 31
COUNTER_BITS = 20
WRITER_BITS = 12
