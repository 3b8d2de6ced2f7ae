"""Define the events of the admission package."""

import dataclasses

from savoryyoke.admission import conf
from savoryyoke.admission import exceptions


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrived:
    """Report the arrival of a call.

    ``cost`` is the estimated work in a unit that all calls share, such as
    tokens, and ``remaining_s`` the time left for the complete answer. Within
    a team, calls of greater ``priority`` start first. ``cancelable`` is
    true if the back end can abort the call while it is running.
    """

    call_id: str
    team: str
    remaining_s: float
    weight: float = 1.0
    priority: int = 0
    cost: float = 1.0
    cancelable: bool = False

    def __post_init__(self):
        if self.cost <= 0 or self.weight <= 0:
            raise exceptions.InvalidCall('cost and weight must be positive')


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finished:
    """Report that a call is no longer running at the back end.

    ``succeeded`` is false for faults of the back end (an error, a
    timeout, a lost connection), but true for answers that report a fault
    of the caller.
    """

    call_id: str
    succeeded: bool
    service_time_s: float
    first_token_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cancelled:
    """Report that the caller has cancelled a call."""

    call_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Released:
    """Report that a started call was not sent to the back end.

    The call no longer counts as running and does not affect the limit.
    """

    call_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ticked:
    """Trigger the refusal of calls that have waited too long."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendStopped:
    """Report that the back end has stopped, until BackendRestarted.

    The running calls must still be reported as Finished.
    """


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendRestarted:
    """Report that the back end was restarted and is cold."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendTurnedCold:
    """Report that the back end lost its warm state without a restart."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitsChanged:
    """Report new limits and, with ``policy``, a new warm-up policy."""

    limits: conf.AdmissionLimits
    policy: conf.WarmUpPolicy | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainStarted:
    """Report that the target is draining before it shuts down."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainEnded:
    """Report that the target accepts calls again."""
