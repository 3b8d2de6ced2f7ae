"""Events of an answer that arrives in chunks.

``attempt`` numbers the attempts of one request from 0. Events of an attempt
other than the current one have no effect.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeadReceived:
    """Report the start of an attempt's answer."""

    attempt: int
    status: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChunkReceived:
    """Report ``count`` events of the answer, from number ``index`` on."""

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
    """Report that the rest of an attempt's answer will not arrive."""

    attempt: int
    reason: str
