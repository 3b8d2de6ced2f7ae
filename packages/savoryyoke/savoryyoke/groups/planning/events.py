"""Events of the rebalancer."""

import dataclasses

import numpy

from savoryyoke.groups.planning import maps
from savoryyoke.groups.planning import search


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class LoadReported:
    """Report each expert's tokens per step, of shape (layers, experts)."""

    loads: numpy.ndarray


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class SpeedsEstimated:
    """Report the relative speed of each rank."""

    speeds: numpy.ndarray


@dataclasses.dataclass(frozen=True, kw_only=True)
class MapInForce:
    """Report the map in use after a change of maps has succeeded or failed."""

    expert_map: maps.ExpertMap


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlanFound:
    """Report the result of a search."""

    plan: search.MapPlan
