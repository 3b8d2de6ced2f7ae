"""Events of the agent of a rank and of the leader of a group."""

import dataclasses
import enum

from savoryyoke.groups.rollout import models


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineObserved:
    """Report the state of the agent's own engine."""

    state: models.EngineState


@dataclasses.dataclass(frozen=True, kw_only=True)
class DirectiveReceived:
    """Report a directive that arrived from a leader."""

    directive: models.Directive


class OrderResult(enum.Enum):
    """List how an order to an engine may end; UNKNOWN if no answer came."""

    DONE = 'done'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrderEnded:
    """Report the end of the order that was given last."""

    result: OrderResult


@dataclasses.dataclass(frozen=True, kw_only=True)
class RankReported:
    """Report the state of a rank to the leader."""

    report: models.RankReport


@dataclasses.dataclass(frozen=True, kw_only=True)
class MapProposed:
    """Ask the leader to change to a map.

    ``experts`` holds the expert numbers by expert set, rank and slot.
    """

    experts: tuple[tuple[tuple[int, ...], ...], ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class DemandShifted:
    """Report that the map of the change in progress is for earlier demand."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TimePassed:
    """Report that time has passed, for timeouts and repetitions."""
