"""Decisions of the straggler monitor."""

import dataclasses

import numpy


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class ShiftExperts:
    """Plan the expert map for these relative speeds of the ranks.

    ``speeds`` holds one number for each rank, 1.0 for a healthy one.
    """

    speeds: numpy.ndarray
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitBatch:
    """Limit the group's batches to this share of their usual tokens."""

    share: float
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrainGroup:
    """Send the group no new work, and notify the operators."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class RestoreGroup:
    """Send the group new work again."""

    reason: str
