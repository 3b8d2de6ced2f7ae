"""Defaults of the target process, in one place."""

ANSWER_LIMIT_BYTES = 1024 * 1024
SERVER_ERROR_STATUS = 500
ADMIN_HEADER_TIMEOUT_S = 5.0
TICK_S = 0.1
