"""Define the events that change the state of a router."""

import dataclasses
import enum


class DataCentreState(enum.Enum):
    """Tell whether a data centre may get new calls."""

    IN = 'in'
    OUT = 'out'


class RefusalReason(enum.Enum):
    """Tell why a target refused a call without running it."""

    COLD = 'cold'
    OVERLOADED = 'overloaded'
    LEAVING = 'leaving'


class Outcome(enum.Enum):
    """Tell how a call ended."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetSeen:
    """Report a target that serves the service.

    ``incarnation`` grows each time the target's process starts.
    """

    target_id: str
    incarnation: int
    data_centre: str
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetLeaving:
    """Report that an incarnation of a target accepts no new calls."""

    target_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetGone:
    """Report that an incarnation of a target has ended."""

    target_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetReachable:
    """Report that the connection to a target is up."""

    target_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetUnreachable:
    """Report that the connection to a target is down."""

    target_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReported:
    """Report the load of a target.

    ``stamp_s`` is read from the sender's monotonic clock, in seconds, and
    orders the reports of one incarnation. ``running`` and ``queued`` count
    calls; ``limit`` is the number of calls that the target runs at once.
    ``kv_free_ratio`` is the free share of its key-value cache, 0 to 1.
    """

    target_id: str
    incarnation: int
    stamp_s: float
    running: int
    queued: int
    limit: int
    estimated_wait_s: float
    cold: bool
    kv_free_ratio: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ModelsReported:
    """Report which models a target has loaded.

    ``stamp_s`` orders the reports as in `LoadReported`.
    """

    target_id: str
    incarnation: int
    stamp_s: float
    models: frozenset[str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class CacheEventSeen:
    """Report changes of a target's prefix cache.

    ``sequence`` grows by one for each event of an incarnation. ``reset``
    is true if the cache was emptied before ``added`` was inserted.
    """

    target_id: str
    incarnation: int
    sequence: int
    added: tuple[bytes, ...] = ()
    evicted: tuple[bytes, ...] = ()
    reset: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class DataCentreStateChanged:
    """Report that operators took a data centre out or put it back in."""

    data_centre: str
    state: DataCentreState


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeersChanged:
    """Report all entries of the fleet, including this one."""

    data_centres_by_entry_id: dict[str, str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Dispatched:
    """Report that this entry sent a call to a target.

    ``cost`` is the expected work, as a multiple of an average call.
    """

    call_id: str
    target_id: str
    cost: float = 1.0
    priority: int = 1
    team: str = ''
    prefix_digests: tuple[bytes, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class FirstToken:
    """Report the first token of a call's answer.

    ``latency_s`` counts from the dispatch. ``cached_digests`` counts the
    leading prefix digests that the target found in its cache, or is None
    if the answer has no such count.
    """

    call_id: str
    latency_s: float
    cached_digests: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Completed:
    """Report the end of a call; ``latency_s`` counts from its dispatch.

    ``token_s`` is the mean time between tokens in seconds, or None.
    """

    call_id: str
    outcome: Outcome
    latency_s: float
    token_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """Report that a target refused a call without running it."""

    call_id: str
    target_id: str
    retry_after_s: float
    reason: RefusalReason


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigurationApplied:
    """Report the configuration in force.

    ``distances_s_by_data_centre`` gives one-way delays from this entry.
    An older ``revision`` than the one in force is rejected.
    """

    revision: int
    distances_s_by_data_centre: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    data_centres_out: frozenset[str] = frozenset()
