"""Hold the defaults of the quarantine package."""

import dataclasses

from savoryyoke.quarantine import exceptions

FINGERPRINT_BYTES = 8
# Fields that callers change from one try to the next.
IGNORED_FIELDS = frozenset(
    {'idempotency_key', 'metadata', 'request_id', 'stream', 'user'}
)

# A try that ended without an answer counts as part of a crash that is
# noticed within this time. The users' targets are listed or reached again
# two to four seconds after a crash.
LOST_TRY_MEMORY_S = 5.0
LOST_TRIES_LIMIT = 256


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuarantinePolicy:
    """State when a request is quarantined and for how long.

    ``crashes_to_quarantine`` counts distinct crashes that no other request
    explains as well. Evidence expires ``evidence_s`` after the crash and
    is not passed on in its last ``silent_s``. A success clears a request
    of the crashes known then or heard of within ``success_memory_s``.
    """

    crashes_to_quarantine: int = 3
    evidence_s: float = 3600.0
    silent_s: float = 10.0
    success_memory_s: float = 30.0
    crash_limit: int = 256
    success_limit: int = 4096

    def __post_init__(self):
        if self.crashes_to_quarantine < 2:
            raise exceptions.InvalidPolicy(
                'one crash cannot tell a request from its batch'
            )
