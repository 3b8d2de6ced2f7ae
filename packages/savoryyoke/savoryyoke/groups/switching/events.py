"""Events of the rank agent and of the driver."""

import dataclasses

from savoryyoke.groups.switching import identities


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineObserved:
    """Report the state of the agent's own engine rank.

    Events of one engine arrive in the order in which they were sent.
    ``generation`` is None while the group does not run. ``spare`` is the
    complete map in spare memory, if any. ``is_offered`` tells whether the
    engine offers ``spare``, in the current step or from the next one on.
    ``loading`` is the map that the engine is loading, if any.
    """

    generation: identities.Generation | None
    active: identities.MapIdentity | None
    spare: identities.MapIdentity | None = None
    is_offered: bool = False
    loading: identities.MapIdentity | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineRestarted:
    """Report that the engine restarted and will answer no earlier order."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadEnded:
    """Report that the engine ended a load into spare memory."""

    identity: identities.MapIdentity
    succeeded: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class WithdrawAnswered:
    """Report the engine's answer to a withdrawal.

    The engine answers once none of its contributions to a current step
    offers the map. ``switched`` tells whether the group switched to it.
    """

    identity: identities.MapIdentity
    switched: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class PrepareReceived:
    """Report a driver's request to load and offer a map."""

    identity: identities.MapIdentity


@dataclasses.dataclass(frozen=True, kw_only=True)
class AbandonReceived:
    """Report a driver's request to drop a change."""

    identity: identities.MapIdentity


@dataclasses.dataclass(frozen=True, kw_only=True)
class MapRequired:
    """Report that the group can form only once this rank holds the map.

    Sent by the rank's own engine, in order with its ``EngineObserved``.
    """

    identity: identities.MapIdentity


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueryReceived:
    """Report a driver's request for the agent's state."""

    generation: identities.Generation
    driver_nonce: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class TimePassed:
    """Report that time has passed, for timeouts and repetitions."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class GroupFormed:
    """Report to the driver that its group runs."""

    generation: identities.Generation
    ranks: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class GroupStopped:
    """Report to the driver that its group does not run."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class MapProposed:
    """Request a change to the map with ``digest`` from the driver."""

    digest: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class AgentAnswered:
    """Report an agent's state to the driver.

    ``driver_nonce`` names the driver that the answer is for.
    ``newest_token`` is the newest token that the agent has accepted,
    ``offered_map`` the map that it offers, ``failed_map`` the map that it
    could not load and ``active`` the active map of its engine.
    """

    rank: int
    generation: identities.Generation | None
    driver_nonce: int
    newest_token: identities.ChangeToken | None = None
    active: identities.MapIdentity | None = None
    offered_map: identities.MapIdentity | None = None
    failed_map: identities.MapIdentity | None = None
