"""Decisions of the straggler monitor."""

import dataclasses

import numpy


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class ShiftExperts:
    """Plan the map for these relative speeds of the ranks."""

    speeds: numpy.ndarray
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitBatch:
    """Let the group batch this share of its usual tokens."""

    share: float
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainGroup:
    """Give the group no new work, and say so to the operators."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class RestoreGroup:
    """Give the group new work again."""

    reason: str
