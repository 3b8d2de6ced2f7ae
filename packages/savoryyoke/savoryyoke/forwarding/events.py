"""Events of a forwarded request."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sent:
    """Report that sending the request to a target begins."""

    target_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unreachable:
    """Report that no connection to the target could be opened."""

    target_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetRefused:
    """Report the target's statement that it did not run the request."""

    target_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetAnswered:
    """Report a complete answer; ``is_failure`` marks an error answer."""

    target_id: str
    is_failure: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamStarted:
    """Report the head of a successful stream."""

    target_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamAdvanced:
    """Report that events up to ``event_id`` were sent to the caller."""

    event_id: str | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamEnded:
    """Report the regular end of a stream."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TryBroken:
    """Report a try that was sent and got no complete, valid answer."""

    target_id: str
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetSlow:
    """Report that the stream's target is much slower than others."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoOtherTarget:
    """Report that no further target is available, and why."""

    reason: str = 'no-other-target'


@dataclasses.dataclass(frozen=True, kw_only=True)
class TimeRanOut:
    """Report that the request must end now; ``reason`` states why."""

    reason: str = 'timeout'
