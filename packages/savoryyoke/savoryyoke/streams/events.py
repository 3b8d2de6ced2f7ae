"""Events of an answer in pieces.

``attempt`` numbers the tries of one request from 0; pieces of an attempt
that was given up are late and change nothing.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeadReceived:
    """Report the start of an attempt's answer."""

    attempt: int
    status: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChunkReceived:
    """Report ``count`` events that start with number ``index``."""

    attempt: int
    index: int
    count: int
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndReceived:
    """Report the explicit end after ``total`` events of the answer."""

    attempt: int
    total: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptBroken:
    """Report that no more of an attempt's answer will come."""

    attempt: int
    reason: str
