"""Events of the straggler monitor."""

import dataclasses

import numpy


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class StepsReported:
    """Report the group's steps since the last report.

    ``rank_loads`` holds tokens a step of each rank, ``rank_times_s`` its
    time of work in a step without the wait for others, NaN if not known.
    """

    rank_loads: numpy.ndarray
    rank_times_s: numpy.ndarray
