"""Decisions of the agent of a rank and of the leader of a group."""

import dataclasses

from savoryyoke.groups.rollout import models


@dataclasses.dataclass(frozen=True, kw_only=True)
class Prepare:
    """Order the engine to copy the experts of a map."""

    epoch: int
    expert_map: models.ExpertMap


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arm:
    """Order the engine to switch to a prepared map when ``step`` begins.

    ``step`` is the number of a pass.
    """

    epoch: int
    version: int
    step: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Hold:
    """Order the engine to hold the group before pass ``step``."""

    epoch: int
    step: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Go:
    """Order the engine to release the hold before pass ``step``."""

    epoch: int
    step: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrderRemotely:
    """Give an order to the engine of a rank whose agent does not report."""

    host: str
    order: object


@dataclasses.dataclass(frozen=True, kw_only=True)
class ObserveRemotely:
    """Read the state of a rank's engine, as its agent may not report."""

    host: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Publish:
    """Send a directive to the agents of all ranks."""

    directive: models.Directive


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeEnded:
    """Report how a map change ended, for the log.

    ``duration_s`` is the time since the change was proposed, or since the
    leader started if the leader resumed the change.
    """

    version: int
    reason: str
    duration_s: float
