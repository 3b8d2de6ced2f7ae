"""Define the events of the retries package."""

import dataclasses
import enum

from savoryyoke.retries import deadlines


class Failure(enum.Enum):
    """Classify the tries that gave no usable answer."""

    # The target process could not be reached, so it did not receive the call.
    UNREACHABLE = 'unreachable'
    # The target is draining and handed the call back before running it.
    DRAINING = 'draining'
    # Admission control refused the call before running it.
    OVERLOADED = 'overloaded'
    # The connection was lost after the call had been sent.
    LOST = 'lost'
    # The target refused the call, as any other target would.
    FINAL = 'final'


@dataclasses.dataclass(frozen=True, kw_only=True)
class FirstTry:
    """Report that a call was sent to its first target."""

    call_id: str
    target_id: str
    idempotent: bool
    deadline: deadlines.Deadline


@dataclasses.dataclass(frozen=True, kw_only=True)
class TryFailed:
    """Report that one try of a call failed.

    ``retry_after_s`` is the target's estimate, or 0.0 if it gave none.
    """

    call_id: str
    target_id: str
    failure: Failure
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class TrySent:
    """Report the target to which a repeated try was sent."""

    call_id: str
    target_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TryNotSent:
    """Report that no target was available for a repeated try."""

    call_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TryAnswered:
    """Report that a try returned the answer to the call."""

    call_id: str
    target_id: str
    latency_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerLeft:
    """Report that the caller no longer waits for the call."""

    call_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ticked:
    """Trigger the hedges that are due."""
