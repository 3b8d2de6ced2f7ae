"""Defaults of the entry daemon, in one place."""

CREDIT_BYTES = 256 * 1024
CREDIT_RETURN_BYTES = 64 * 1024
LINK_RETRY_FIRST_S = 0.05
LINK_RETRY_LIMIT_S = 1.0
VM_LIST_PERIOD_S = 0.5
BODY_TIMEOUT_S = 10.0
PATH_LIMIT_CHARACTERS = 2048
HEADERS_LIMIT = 64
HEADER_LIMIT_CHARACTERS = 8192
PREFIX_BLOCK_CHARACTERS = 256
PREFIX_BLOCKS_LIMIT = 64
ADMIN_HEADER_TIMEOUT_S = 5.0
PAUSE_CHECK_S = 0.05
DRAIN_POLL_S = 0.05
RETRY_AFTER_S = 1.0
DIRECTORY_PATH = '/v1/directory'
TEAM_HEADER = 'savoryyoke-team'
KEY_HEADER = 'idempotency-key'
TIMEOUT_HEADER = 'savoryyoke-timeout-s'
SERVER_ERROR_STATUS = 500
ISOLATION_PAUSE_S = 0.05
# Time left at which a call stops waiting for another suspect's outcome.
ISOLATION_RESERVE_S = 0.2
FIRST_TOKEN_TARGET_S = 0.68
# Shares of the target for the first token, by priority, lowest first.
WAIT_SHARES = (0.25, 0.5, 1.0, 3.0)
WAITING_LIMIT = 256
TURN_POLL_S = 0.01
