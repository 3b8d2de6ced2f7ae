"""Decisions of the rank agent and of the driver."""

import dataclasses

from savoryyoke.groups.switching import identities


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadMap:
    """Order the engine to load a map into its spare memory.

    The engine refuses the order in any other generation than this one.
    """

    identity: identities.MapIdentity
    generation: identities.Generation | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class OfferMap:
    """Order the engine to put the map in spare memory into its words."""

    identity: identities.MapIdentity


@dataclasses.dataclass(frozen=True, kw_only=True)
class WithdrawMap:
    """Order the engine to leave the map out of its words."""

    identity: identities.MapIdentity


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerDriver:
    """Send the agent's state to the driver with ``driver_nonce``."""

    driver_nonce: int
    generation: identities.Generation | None
    highest: identities.ChangeToken | None
    active: identities.MapIdentity | None
    offering: identities.MapIdentity | None
    failed: identities.MapIdentity | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueryRank:
    """Ask the agent of ``rank`` for its state."""

    rank: int
    generation: identities.Generation
    driver_nonce: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PrepareRank:
    """Ask the agent of ``rank`` to load and offer a map."""

    rank: int
    identity: identities.MapIdentity


@dataclasses.dataclass(frozen=True, kw_only=True)
class AbandonRank:
    """Ask the agent of ``rank`` to drop a change."""

    rank: int
    identity: identities.MapIdentity


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeEnded:
    """Report how a change ended, for the log line.

    ``switched`` is true only if an engine was seen with the new map. A change
    that was given up on may have taken place unseen; the map in force is
    always the one that the ranks report.
    """

    identity: identities.MapIdentity
    switched: bool
    reason: str
