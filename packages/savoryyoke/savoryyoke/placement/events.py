"""Events of the placement of one service's requests."""

import dataclasses

from savoryyoke.placement import models
from savoryyoke.placement import notices


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetsChanged:
    """Report the targets that may be used now."""

    targets: tuple[models.Target, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerReported:
    """Report the requests that another entry has in flight."""

    peer_id: str
    requests_by_target_id: dict[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerLost:
    """Report that another entry is not heard any more."""

    peer_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestArrived:
    """Ask for a target.

    Requests that can still meet their objective (``is_on_time``) go before
    those that can't, then lower ``priority`` ranks before higher ones. The
    request is refused when it is not placed by ``wait_until_s``.
    ``time_left_s`` is what its caller has left. An empty ``regions`` allows
    every region. Targets that run one of ``withheld_releases`` are left out.
    """

    request_id: str
    is_on_time: bool
    priority: int
    wait_until_s: float
    time_left_s: float
    regions: frozenset[str] = frozenset()
    withheld_releases: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True)
class RepeatAsked:
    """Ask for another target for a request that a target did not serve.

    Fields of the same name mean what they mean in ``RequestArrived``.
    """

    request_id: str
    tried_target_ids: frozenset[str]
    time_left_s: float
    regions: frozenset[str] = frozenset()
    withheld_releases: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestWithdrawn:
    """Report that a queued request needs no target any more."""

    request_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TryEnded:
    """Report the end of a try at a target.

    ``latency_s`` is the time to the answer's head; None without one.
    ``held_s`` is the whole time of a try that was answered, else None.
    """

    target_id: str
    incarnation: int
    result: models.TryResult
    latency_s: float | None = None
    held_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetLeaving:
    """Report that an answer of a target says that the target leaves."""

    target: models.Target


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetPaused:
    """Report that a target wants nothing for ``pause_s``."""

    target: models.Target
    pause_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeavingHinted:
    """Report what another entry has heard of leaving targets."""

    hints: tuple[notices.LeavingTarget, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ticked:
    """Report that time has passed."""
