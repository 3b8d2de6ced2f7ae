"""Events in the life of a request that is forwarded."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sent:
    """Report that bytes of the request are about to go to a target."""

    target_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unreachable:
    """Report that no connection to the target could be opened."""

    target_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetRefused:
    """Report that the target states that it did not run the request."""

    target_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetAnswered:
    """Report a whole answer; ``is_failure`` where it reports an error."""

    target_id: str
    is_failure: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamStarted:
    """Report the head of a successful stream."""

    target_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamAdvanced:
    """Report that events up to ``event_id`` went to the caller."""

    event_id: str | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamEnded:
    """Report the regular end of a stream."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TryBroken:
    """Report a try that was sent and got no whole, valid answer."""

    target_id: str
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetSlow:
    """Report that the stream's target has become much slower than others."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoOtherTarget:
    """Report that no further target can be had, and why."""

    reason: str = 'no-other-target'


@dataclasses.dataclass(frozen=True, kw_only=True)
class TimeRanOut:
    """Report that the request's deadline or its route's timeout is over."""
