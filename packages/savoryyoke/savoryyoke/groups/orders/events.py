"""Events of the order gate."""

import dataclasses

from savoryyoke.groups.orders import messages
from savoryyoke.groups.orders import tokens


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineSeen:
    """Report the engine's state, read while no order was under way.

    ``last`` is the newest token that the engine itself remembers, or None
    for engines that keep none.
    """

    incarnation: int
    last: tokens.OrderToken | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineUnsure:
    """Report that the engine's answer or connection was lost."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RevisionLearnt:
    """Report the revision of the configuration in force."""

    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrderReceived:
    """Report an order for the engine."""

    order: messages.FencedOrder


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineAnswered:
    """Report the engine's answer to the order under way."""

    token: tokens.OrderToken
    succeeded: bool
