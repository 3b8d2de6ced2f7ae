"""Decisions of the rebalancer."""

import dataclasses

import numpy

from savoryyoke.groups.planning import maps
from savoryyoke.groups.planning import search


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class SearchMap:
    """Run a search from ``present`` for ``loads`` and ``speeds``."""

    present: maps.ExpertMap
    loads: numpy.ndarray
    speeds: numpy.ndarray
    ratio: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProposeMap:
    """Hand the plan's map to the group's driver."""

    plan: search.MapPlan
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeepMap:
    """Stay on the present map."""

    reason: str
