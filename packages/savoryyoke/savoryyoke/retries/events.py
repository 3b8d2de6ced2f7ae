"""Define the events of the retries package."""

import dataclasses
import enum

from savoryyoke.retries import deadlines


class Failure(enum.Enum):
    """Name what is known about a try that gave no answer."""

    # The target process could not be reached: nothing was handed over.
    UNREACHABLE = 'unreachable'
    # The target is leaving and handed the call back before running it.
    DRAINING = 'draining'
    # Admission refused the call before running it.
    OVERLOADED = 'overloaded'
    # The connection was lost after the call was handed over.
    LOST = 'lost'
    # The answer itself is a refusal that another target would repeat.
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

    ``retry_after_s`` is what the target estimated, if anything.
    """

    call_id: str
    target_id: str
    failure: Failure
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class TrySent:
    """Report which target a repeated try went to."""

    call_id: str
    target_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TryNotSent:
    """Report that there is no target for a repeated try."""

    call_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TryAnswered:
    """Report that a try gave the call's answer."""

    call_id: str
    target_id: str
    latency_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerLeft:
    """Report that nobody waits for the call any more."""

    call_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ticked:
    """Report that time has passed."""
