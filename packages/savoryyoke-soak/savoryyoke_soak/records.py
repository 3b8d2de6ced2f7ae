"""Define the records of what callers, targets and the soak observed."""

import collections
import dataclasses
import enum


class Kind(enum.Enum):
    """Name the kinds of requests; each has its own route."""

    LOOKUP = 'lookup'
    PAYMENT = 'payment'
    DRAFT = 'draft'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """Hold one request of a caller and how it ended.

    ``incarnation`` names the entry process that was called, such as
    ``entry-1.2`` for the second process of entry 1. ``status``, ``body`` and
    ``answered_request_id`` are those of the answer, ``sent_body`` that of the
    request. ``is_complete`` is true if the answer ended as HTTP requires;
    ``failure`` is the name of the exception otherwise. ``leaving_id`` is the
    id of the target if its answer announced that it is leaving, else None.
    """

    request_id: str
    kind: Kind
    incarnation: str
    sent_s: float
    ended_s: float
    status: int | None
    body: bytes
    answered_request_id: str | None
    is_complete: bool
    failure: str | None
    sent_body: bytes = b''
    leaving_id: str | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """Hold one request that reached a target."""

    request_id: str
    target_id: str
    at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Probe:
    """Hold whether an entry had a configuration version in force."""

    incarnation: str
    version: int
    at_s: float
    in_force: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Trouble:
    """Hold a period in which a fault affected a part of the system.

    ``subject`` is the incarnation of an entry, or ``store``.
    """

    kind: str
    subject: str
    from_s: float
    until_s: float

    def overlaps(self, from_s, until_s):
        """Return whether the trouble overlaps a period."""
        return self.from_s <= until_s and from_s <= self.until_s


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stop:
    """Hold how an entry ended that was asked to stop.

    ``status`` is its exit status, or None if it did not exit in time.
    """

    incarnation: str
    status: int | None
    duration_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Restore:
    """Hold when the store came back from an older copy.

    It was lost at ``lost_s`` with all configuration versions from
    ``first_lost_version`` on, and what it lacked was written again at
    ``rewritten_s``.
    """

    first_lost_version: int
    lost_s: float
    restored_s: float
    rewritten_s: float


@dataclasses.dataclass(kw_only=True)
class History:
    """Hold all observations of one run of the soak.

    Times are seconds of the monotonic clock. Targets ran the requests of
    ``runs``, refused those of ``refusals`` while they were busy, asking for a
    pause, and stated a rate limit when those of ``limited_arrivals`` came.
    ``unidentified`` holds the texts of requests that targets ran and that have
    no id.
    """

    calls: list[Call] = dataclasses.field(default_factory=list)
    runs: list[Arrival] = dataclasses.field(default_factory=list)
    unidentified: list[str] = dataclasses.field(default_factory=list)
    refusals: list[Arrival] = dataclasses.field(default_factory=list)
    limited_arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    probes: list[Probe] = dataclasses.field(default_factory=list)
    troubles: list[Trouble] = dataclasses.field(default_factory=list)
    stops: list[Stop] = dataclasses.field(default_factory=list)
    restores: list[Restore] = dataclasses.field(default_factory=list)
    started_s_by_incarnation: dict = dataclasses.field(default_factory=dict)
    written_s_by_version: dict = dataclasses.field(default_factory=dict)
    draining_s_by_target: dict = dataclasses.field(default_factory=dict)
    # The times from which a target stated a rate limit, in order.
    limited_s_by_target: dict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
