"""Decisions of the rank agent and of the driver."""

import dataclasses

from savoryyoke.groups.switching import identities


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadMap:
    """Order the engine to load a map into its spare memory.

    The engine refuses the order if it is in another generation.
    """

    identity: identities.MapIdentity
    generation: identities.Generation | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class OfferMap:
    """Order the engine to offer the map in spare memory at each step."""

    identity: identities.MapIdentity


@dataclasses.dataclass(frozen=True, kw_only=True)
class WithdrawMap:
    """Order the engine to stop offering the map."""

    identity: identities.MapIdentity


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerDriver:
    """Send the agent's state to the driver with ``driver_nonce``.

    ``events.AgentAnswered`` has the same fields.
    """

    driver_nonce: int
    generation: identities.Generation | None
    newest_token: identities.ChangeToken | None
    active: identities.MapIdentity | None
    offered_map: identities.MapIdentity | None
    failed_map: identities.MapIdentity | None


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
    """Report how a change ended, for the log.

    ``switched`` is true only if an engine reported the new map as active. An
    abandoned change may have taken place without such a report; the active
    map is always the one that the ranks report.
    """

    identity: identities.MapIdentity
    switched: bool
    reason: str
