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
    explains as well; a process that hears no other one takes
    ``crashes_when_alone``. With ``crashes_in_any_case``, so many quarantine
    it whatever else explains them: several such requests that run side by
    side explain each other's crashes. Evidence expires ``evidence_s`` after
    the crash and is not passed on in its last ``silent_s``. A success clears
    a request of the crashes known then or heard of within
    ``success_memory_s``.

    An entry tries a quarantined request once more ``retrial_s`` after its
    last crash; each further crash doubles that time, up to
    ``retrial_longest_s``. A retrial without an outcome blocks others for
    ``retrial_timeout_s``. A crashed engine takes its group out for up to five
    seconds: a retrial in ten minutes costs below one part in a hundred.

    A request that has crashed a second release is tried on a further one
    ``release_trial_s`` after its last crash, and doubly late for each more,
    since some platforms give each start of a target a release of its own.
    """

    crashes_to_quarantine: int = 3
    crashes_when_alone: int = 2
    crashes_in_any_case: int | None = None
    evidence_s: float = 3600.0
    silent_s: float = 10.0
    success_memory_s: float = 30.0
    crash_limit: int = 256
    success_limit: int = 4096
    retrial_s: float = 600.0
    retrial_longest_s: float = 3000.0
    retrial_timeout_s: float = 60.0
    release_trial_s: float = 30.0

    def __post_init__(self):
        if min(self.crashes_to_quarantine, self.crashes_when_alone) < 2:
            raise exceptions.InvalidPolicy(
                'one crash cannot tell a request from its batch'
            )


# Entries that call targets by themselves don't keep suspects apart. Callers
# and entries together send a healthy request four times at most, and the
# users' bound is six.
ENTRY_POLICY = QuarantinePolicy(crashes_in_any_case=5)
