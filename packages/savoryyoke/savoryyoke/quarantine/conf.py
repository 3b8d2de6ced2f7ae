"""Define the defaults of the quarantine package."""

import dataclasses

from savoryyoke.quarantine import exceptions

FINGERPRINT_BYTES = 8
# Further parts of a prompt are ignored, so that the digests of one request
# fit into one crash report. Callers send up to three.
MAX_PROMPT_PARTS = 15
# Fields that callers may change between tries of the same request.
IGNORED_FIELDS = frozenset(
    {'idempotency_key', 'metadata', 'request_id', 'stream', 'user'}
)

# A try that ended without an answer counts as part of a crash that is detected
# within this time. A crashed target is listed or reachable again after two to
# four seconds.
LOST_TRY_RETENTION_S = 5.0
MAX_LOST_TRIES_PER_TARGET = 256


@dataclasses.dataclass(frozen=True, kw_only=True)
class QuarantinePolicy:
    """Configure when a request is quarantined and for how long.

    A request, or a part of the prompts of several requests, is quarantined
    after ``crashes_to_quarantine`` distinct crashes that cannot be attributed
    to another one as well. A process that
    reaches no other process uses ``crashes_to_quarantine_without_peers``
    instead. If ``total_crashes_to_quarantine`` is set, that many crashes are
    enough for a request even if they can be attributed to others: several
    fatal requests that always run at the same time would otherwise hide each
    other. It does not apply to parts of prompts, since healthy requests that
    share a part are sent any number of times.

    Each entry reports only the requests that it sent itself to a crashed
    target, so the reports of a crash are complete ``report_completion_s``
    after the last addition, which is two heartbeats of most fleets. Before,
    requests are not refused for parts of their prompts, but wait.

    Evidence expires ``evidence_lifetime_s`` after the crash. It is no longer
    shared during the last ``stop_sharing_before_expiry_s`` of that time, so
    that a delayed message does not restore it elsewhere. A success clears a
    request of the crashes that are recorded by then or reported within
    ``success_retention_s`` after it.

    An entry retries a quarantined request ``retrial_s`` after its last crash.
    Each further crash doubles that time, up to ``max_retrial_s``. A retrial
    without a result blocks further ones for ``retrial_timeout_s``. A crashed
    engine makes its group unavailable for up to five seconds, so one retrial
    in ten minutes costs less than one percent of the capacity.

    A request that has crashed two releases is tried on another release
    ``release_trial_s`` after its last crash. Each further crashed release
    doubles that time, since some platforms give every start of a target a
    release of its own.
    """

    crashes_to_quarantine: int = 3
    crashes_to_quarantine_without_peers: int = 2
    total_crashes_to_quarantine: int | None = None
    report_completion_s: float = 0.2
    evidence_lifetime_s: float = 3600.0
    stop_sharing_before_expiry_s: float = 10.0
    success_retention_s: float = 30.0
    crash_limit: int = 256
    success_limit: int = 4096
    retrial_s: float = 600.0
    max_retrial_s: float = 3000.0
    retrial_timeout_s: float = 60.0
    release_trial_s: float = 30.0

    def __post_init__(self):
        if (
            min(
                self.crashes_to_quarantine,
                self.crashes_to_quarantine_without_peers,
            )
            < 2
        ):
            raise exceptions.InvalidPolicy(
                'one crash cannot tell a request from its batch'
            )


# Entries that call targets directly don't isolate suspects. Callers and
# entries together send a healthy request at most four times, so it cannot
# reach five crashes. The required upper bound is six.
ENTRY_POLICY = QuarantinePolicy(total_crashes_to_quarantine=5)
