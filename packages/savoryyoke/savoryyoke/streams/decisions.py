"""Decisions on an answer in pieces."""

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
    """End the answer: it is whole."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Resume:
    """Ask another target to go on after ``index`` delivered events.

    ``attempt`` is the number of the new try.
    """

    attempt: int
    index: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fail:
    """Give the answer up; ``started`` tells if the caller saw any of it."""

    reason: str
    started: bool
