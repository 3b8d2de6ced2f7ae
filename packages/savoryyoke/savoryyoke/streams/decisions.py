"""Decisions on an answer that arrives in chunks."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Start:
    """Send the caller the status of the answer."""

    status: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deliver:
    """Send the caller the next bytes of the answer."""

    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finish:
    """End the answer, which is complete."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Resume:
    """Resume the answer at another target after ``index`` delivered events.

    ``attempt`` is the number of the new attempt.
    """

    attempt: int
    index: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fail:
    """Abort the answer; ``started`` is true if its status was sent."""

    reason: str
    started: bool
