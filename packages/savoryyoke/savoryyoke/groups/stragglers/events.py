"""Events of the straggler monitor."""

import dataclasses

import numpy


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class StepsReported:
    """Report the group's steps since the last report.

    ``rank_loads`` holds each rank's tokens per step and ``rank_times_s`` its
    working time per step, without the wait for other ranks; NaN if it is
    unknown. Both have one element for each rank.
    """

    rank_loads: numpy.ndarray
    rank_times_s: numpy.ndarray
