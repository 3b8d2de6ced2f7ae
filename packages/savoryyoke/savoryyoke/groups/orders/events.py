"""Events of the order gate."""

import dataclasses

from savoryyoke.groups.orders import messages
from savoryyoke.groups.orders import tokens


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineStateRead:
    """Report the engine's state, read while no order was in progress.

    ``last_token`` is the newest token that the engine itself has stored, or
    None for engines that store none.
    """

    incarnation: int
    last_token: tokens.OrderToken | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineStateUnknown:
    """Report that the engine's answer or the connection to it was lost."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RevisionReceived:
    """Report the revision of the configuration in use."""

    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrderReceived:
    """Report that a writer has sent an order for the engine."""

    order: messages.FencedOrder


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineAnswered:
    """Report the engine's answer to the order in progress."""

    token: tokens.OrderToken
    succeeded: bool
