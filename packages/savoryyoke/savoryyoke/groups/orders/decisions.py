"""Decisions of the order gate."""

import dataclasses

from savoryyoke.groups.orders import tokens


@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardOrder:
    """Send the order to the engine now; ``number`` is its fencing number.

    The order must not be sent once the gate's clock has passed
    ``deadline_s``.
    """

    content: object
    token: tokens.OrderToken
    number: int
    deadline_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrderRefused:
    """Tell the writer that its order did not reach the engine, and why."""

    token: tokens.OrderToken
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrderEnded:
    """Tell the writer how its order ended.

    ``succeeded`` is None if the engine's answer was lost.
    """

    token: tokens.OrderToken
    succeeded: bool | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadEngine:
    """Read the engine's state before any further order."""
