"""Events of the rank agent and of the driver."""

import dataclasses

from savoryyoke.groups.switching import identities


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineObserved:
    """Report the state of the agent's own engine rank, in the engine's order.

    ``generation`` is None while the group does not run. ``spare`` is the
    whole map in spare memory, if any. ``offered`` says that the engine may
    still put ``spare`` into a word or has one under way. ``loading`` is the
    map that the engine is loading, if any.
    """

    generation: identities.Generation | None
    active: identities.MapIdentity | None
    spare: identities.MapIdentity | None = None
    offered: bool = False
    loading: identities.MapIdentity | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineRestarted:
    """Report that the engine started anew; no order of before is answered."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadEnded:
    """Report that the engine ended a load into spare memory."""

    identity: identities.MapIdentity
    succeeded: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class WithdrawAnswered:
    """Report the engine's answer to a withdrawal.

    The engine answers once no word under way carries the offer.
    ``switched`` says that the last such word made the group switch.
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
    """Report that the group can form only once this rank holds a map.

    Comes from the rank's own engine, in the order of its observations.
    """

    identity: identities.MapIdentity


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueryReceived:
    """Report a driver's request for the agent's state."""

    generation: identities.Generation
    driver_nonce: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class TimePassed:
    """Report that time has passed; drives timeouts and repeats."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class GroupFormed:
    """Tell the process beside rank 0 that its group runs."""

    generation: identities.Generation
    ranks: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class GroupStopped:
    """Tell the process beside rank 0 that its group does not run."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class MapProposed:
    """Ask the driver to change to the map with ``digest``."""

    digest: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class AgentAnswered:
    """Report an agent's state to the driver.

    ``driver_nonce`` names the driver that the answer is for.
    ``highest`` is the newest token that the agent has accepted, ``offering``
    the map that it offers, ``failed`` the map that it could not load and
    ``active`` the map of its engine.
    """

    rank: int
    generation: identities.Generation | None
    driver_nonce: int
    highest: identities.ChangeToken | None = None
    active: identities.MapIdentity | None = None
    offering: identities.MapIdentity | None = None
    failed: identities.MapIdentity | None = None
