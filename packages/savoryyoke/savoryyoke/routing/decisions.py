"""Define the requests, results and decisions of a router."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """Describe a request that needs a target.

    ``prefix_digests`` are the digests of ever longer prefixes of the
    prompt, shortest first. A larger ``priority`` is more important.
    ``remaining_s`` is the time left until the caller's deadline.
    """

    service: str
    model: str = ''
    adapter: str = ''
    version: str = ''
    prefix_digests: tuple[bytes, ...] = ()
    team: str = ''
    priority: int = 1
    remaining_s: float = 60.0
    excluded_target_ids: frozenset[str] = frozenset()


class ChoiceReason(enum.Enum):
    """Tell why a target became a candidate."""

    PREFIX = 'prefix'
    AFFINITY = 'affinity'
    SAMPLED = 'sampled'
    WARM_UP = 'warm_up'
    SCANNED = 'scanned'
    QUEUED = 'queued'


class NoTargetReason(enum.Enum):
    """Tell why no target could be chosen."""

    NO_TARGETS = 'no_targets'
    ALL_OUT = 'all_out'
    ALL_EXCLUDED = 'all_excluded'
    ALL_COLD = 'all_cold'
    NOT_LOADED = 'not_loaded'
    OVERLOADED = 'overloaded'
    DEADLINE = 'deadline'


class RejectionReason(enum.Enum):
    """Tell why an event was rejected as a whole."""

    UNKNOWN_TARGET = 'unknown_target'
    UNKNOWN_CALL = 'unknown_call'
    DUPLICATE_CALL = 'duplicate_call'
    OLD_INCARNATION = 'old_incarnation'
    UNKNOWN_INCARNATION = 'unknown_incarnation'
    OUT_OF_ORDER = 'out_of_order'
    ABSURD_STAMP = 'absurd_stamp'
    ABSURD_VALUE = 'absurd_value'
    OLD_REVISION = 'old_revision'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """Hold the score of one candidate target.

    ``score_s`` is the expected time to the first token, in seconds, less
    the bonuses for affinity and warm-up; the lowest is best. ``wait_s`` is
    the expected wait. ``matched_digests`` counts the leading prefix digests
    that the target is expected to have cached.
    """

    target_id: str
    score_s: float
    wait_s: float
    matched_digests: int
    reason: ChoiceReason


@dataclasses.dataclass(frozen=True, kw_only=True)
class Chosen:
    """Name the target of a request and all candidates."""

    target_id: str
    incarnation: int
    address: str
    reason: ChoiceReason
    candidates: tuple[Candidate, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoTarget:
    """Refuse a request for which no target is available.

    The request did not run. The caller may retry after ``retry_after_s``
    seconds.
    """

    reason: NoTargetReason
    retry_after_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Binding:
    """Name a target incarnation that new idempotency keys may be bound to."""

    target_id: str
    incarnation: int
    address: str
    lifetime_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class EventRejected:
    """Report an event that was rejected and changed nothing."""

    event_name: str
    subject_id: str
    reason: RejectionReason


@dataclasses.dataclass(frozen=True, kw_only=True)
class SubsetChanged:
    """List the ids of targets to connect to and to disconnect from."""

    connect: tuple[str, ...] = ()
    disconnect: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class PrefixDigestsDropped:
    """Report that digests of a target were dropped from the index."""

    target_id: str
    count: int
    reason: str
