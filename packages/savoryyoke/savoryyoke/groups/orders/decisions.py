"""Decisions of the order gate."""

import dataclasses

from savoryyoke.groups.orders import tokens


@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardOrder:
    """Send an order to the engine at once.

    ``content`` is a ``LoadVersion``, ``LoadAdapter`` or ``ChangeRole``. The
    order must not be sent later than ``deadline_s`` on the gate's clock.
    """

    content: object
    token: tokens.OrderToken
    fencing_number: int
    deadline_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrderRefused:
    """Report to the writer why its order was not sent to the engine."""

    token: tokens.OrderToken
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrderEnded:
    """Report the result of an order to its writer.

    ``succeeded`` is None if the engine's answer was lost.
    """

    token: tokens.OrderToken
    succeeded: bool | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadEngine:
    """Read the engine's state before sending any further order."""
