"""What callers, targets and the driver have seen."""

import dataclasses
import enum


class Kind(enum.Enum):
    """Name the kinds of requests by their route."""

    LOOKUP = 'lookup'
    PAYMENT = 'payment'
    DRAFT = 'draft'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """Hold one request of a caller and how it ended.

    ``life`` names the run of the entry process that was called.
    ``is_whole`` tells whether the answer came to its end as HTTP has it;
    ``broken`` is why it did not, else None. ``sent_body`` is the caller's.
    ``leaving_id`` is the target whose answer said that it leaves, or None.
    """

    request_id: str
    kind: Kind
    life: str
    sent_s: float
    ended_s: float
    status: int | None
    body: bytes
    answered_id: str | None
    is_whole: bool
    broken: str | None
    sent_body: bytes = b''
    leaving_id: str | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """Hold one run of a request at a target."""

    request_id: str
    target_id: str
    at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """Hold a request that a busy target has answered with a pause."""

    request_id: str
    target_id: str
    at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Probe:
    """Hold whether an entry has a version of the configuration in force."""

    life: str
    version: int
    at_s: float
    in_force: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Trouble:
    """Hold a time in which something was kept from working.

    ``on`` names an entry's life, a target, or ``store``.
    """

    kind: str
    on: str
    from_s: float
    until_s: float

    def overlaps(self, from_s, until_s):
        """Tell whether the trouble touches a time."""
        return self.from_s <= until_s and from_s <= self.until_s


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stop:
    """Hold the end of an entry that was asked to stop.

    ``status`` is its exit status, None where it did not end in time.
    """

    life: str
    status: int | None
    took_s: float


@dataclasses.dataclass(kw_only=True)
class History:
    """Hold all that was seen in one run of the soak."""

    calls: list[Call] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    refusals: list[Refusal] = dataclasses.field(default_factory=list)
    probes: list[Probe] = dataclasses.field(default_factory=list)
    troubles: list[Trouble] = dataclasses.field(default_factory=list)
    stops: list[Stop] = dataclasses.field(default_factory=list)
    began_s_by_life: dict = dataclasses.field(default_factory=dict)
    written_s_by_version: dict = dataclasses.field(default_factory=dict)
    draining_s_by_target: dict = dataclasses.field(default_factory=dict)
