"""Events that a ``Dispatcher`` of one service's requests handles."""

import dataclasses

from savoryyoke.placement import models
from savoryyoke.placement import notices
from savoryyoke.placement import rate_limits


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetsChanged:
    """Report the complete list of published targets."""

    targets: tuple[models.Target, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerReported:
    """Report how many requests another entry has in flight, by target id."""

    peer_id: str
    requests_by_target_id: dict[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerLost:
    """Report that the heartbeats of another entry have stopped."""

    peer_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestArrived:
    """Request a target for a new request.

    Requests that can still meet their objective (``is_on_time``) are placed
    before those that can't, then those with a lower ``priority`` before those
    with a higher one. A request that is not placed by ``wait_until_s``, a
    time of the dispatcher's clock, is refused. ``outage_wait_until_s`` takes
    its place if no target is in service at the arrival; without one, such a
    request is refused at once if it is on time. ``time_left_s`` is the time
    until the caller's deadline. An empty ``regions`` allows every region.
    Targets that run one of ``withheld_releases`` are not used. ``team`` is the
    caller's team, ``team_priority`` its own priority, if it has one, and
    ``route_priority`` that of the route. ``work`` is the work of the request,
    where 1 is that of the mean one.
    """

    request_id: str
    is_on_time: bool
    priority: int
    wait_until_s: float
    time_left_s: float
    outage_wait_until_s: float | None = None
    regions: frozenset[str] = frozenset()
    withheld_releases: frozenset[str] = frozenset()
    route_priority: int = 0
    team: str = ''
    team_priority: int | None = None
    work: float = 1.0

    @property
    def wait_ends_s(self):
        """Return the times at which the wait may end."""
        if self.outage_wait_until_s is None:
            return (self.wait_until_s,)
        return (self.wait_until_s, self.outage_wait_until_s)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetryRequested:
    """Request a target for a retry, excluding ``tried_target_ids``.

    A target that has answered before is preferred. The other fields are those
    of ``RequestArrived``.
    """

    request_id: str
    tried_target_ids: frozenset[str]
    time_left_s: float
    regions: frozenset[str] = frozenset()
    withheld_releases: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True)
class MoveRequested:
    """Request another target for a stream that should leave its target.

    It is placed before all queued requests: it has begun, and a slow target
    delays the streams of all other targets of its group. The other fields are
    those of ``RequestArrived`` and ``RetryRequested``.
    """

    request_id: str
    tried_target_ids: frozenset[str]
    wait_until_s: float
    time_left_s: float
    regions: frozenset[str] = frozenset()
    withheld_releases: frozenset[str] = frozenset()

    @property
    def wait_ends_s(self):
        """Return the times at which the wait may end."""
        return (self.wait_until_s,)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestWithdrawn:
    """Report that a queued request no longer needs a target."""

    request_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TryEnded:
    """Report the end of a try, which is one sending of a request to a target.

    ``latency_s`` is the time to the head of the answer, or None if there was
    none. ``service_time_s`` is the time to the end of the answer, or None if
    the try was not answered.
    """

    target_id: str
    incarnation: int
    result: models.TryResult
    latency_s: float | None = None
    service_time_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class PauseMeasured:
    """Report the pause in seconds between two events of a stream."""

    target: models.Target
    pause_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetLeaving:
    """Report that a target has announced in an answer that it leaves."""

    target: models.Target


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetPaused:
    """Report that a target requests a pause of ``pause_s`` seconds."""

    target: models.Target
    pause_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class GroupRefused:
    """Report that a target refused a request because of another rank."""

    target: models.Target


@dataclasses.dataclass(frozen=True, kw_only=True)
class GroupAnswered:
    """Report that a target serves although its group was out of service.

    ``asked_s`` is when the answered request was sent, on the dispatcher's
    clock.
    """

    target: models.Target
    asked_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RateLimitAnswered:
    """Report the rate limit that a target stated in an answer.

    ``limit_per_s`` is the number of requests per second that it takes from
    all entries together, or None if the answer stated no limit. ``asked_s``
    is when the answered request was sent, on the dispatcher's clock.
    """

    target: models.Target
    limit_per_s: float | None
    asked_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RateLimitsReported:
    """Report the state of rate limits at another entry.

    ``peer_incarnation`` changes with each start of that entry.
    """

    peer_id: str
    peer_incarnation: int
    reports: tuple[rate_limits.RateReport, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeavingHintsReceived:
    """Report the leaving targets that another entry has listed."""

    hints: tuple[notices.LeavingTarget, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ticked:
    """Report that time has passed, so that waits and pauses may be over."""
