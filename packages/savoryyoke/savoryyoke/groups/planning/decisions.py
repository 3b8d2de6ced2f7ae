"""Decisions of the rebalancer."""

import dataclasses

import numpy

from savoryyoke.groups.planning import maps
from savoryyoke.groups.planning import search


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class SearchMap:
    """Run a search that starts from the map ``present``.

    ``loads`` has the shape (layers, experts) and is in tokens per step;
    ``speeds`` holds the relative speed of each rank. ``ratio`` is the step
    time with the present map, divided by its lower bound.
    """

    present: maps.ExpertMap
    loads: numpy.ndarray
    speeds: numpy.ndarray
    ratio: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProposeMap:
    """Pass the plan's map to the driver of the group's map changes."""

    plan: search.MapPlan
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeepMap:
    """Keep the present map."""

    reason: str
