"""Define the events that change a target's admission."""

import dataclasses

from savoryyoke.admission import conf
from savoryyoke.admission import exceptions


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrived:
    """Report a call that asks to run.

    ``cost`` is the estimated work in any one unit, such as tokens, and
    ``remaining_s`` the time left for the whole answer. A greater
    ``priority`` goes first within the team. ``cancelable`` says whether
    the back end lets a running call be aborted.
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
    """Report that the back end is done with a call.

    ``succeeded`` is false for faults of the back end (an error, a
    timeout, a lost connection), not for answers the caller dislikes.
    """

    call_id: str
    succeeded: bool
    service_time_s: float
    first_token_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cancelled:
    """Report that the caller no longer wants a call."""

    call_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Released:
    """Report that a started call was not handed to the back end.

    Its place is free again; the call says nothing about the back end.
    """

    call_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ticked:
    """Report that time has passed."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendStopped:
    """Report that the back end is gone; BackendRestarted ends this.

    Running calls still have to be reported as Finished.
    """


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendRestarted:
    """Report that the back end was restarted and is cold."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendTurnedCold:
    """Report that the back end lost its warm state without a restart."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitsChanged:
    """Report new limits and, with ``policy``, a new pace of warm-up."""

    limits: conf.AdmissionLimits
    policy: conf.WarmUpPolicy | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainStarted:
    """Report that the target is leaving."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainEnded:
    """Report that the target takes part again."""
