"""Defaults of orders and placement, in one place."""

ORDER_VALID_S = 10.0
LOAD_RETRY_FIRST_S = 5.0
LOAD_RETRY_FACTOR = 2.0
LOAD_RETRY_MAX_S = 300.0
LOAD_ATTEMPTS_MAX = 3

# Sizes of the fields of a fencing number, which fits 63 bits.
REVISION_BITS = 31
COUNTER_BITS = 20
WRITER_BITS = 12
