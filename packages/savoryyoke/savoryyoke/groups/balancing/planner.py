"""Plan a new map for all sets of experts of a group."""

import dataclasses

from savoryyoke.groups.balancing import search


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """Propose a map and state what it costs and gains.

    ``experts`` holds the proposed experts by set, rank and slot.
    ``peak_before`` and ``peak_after`` are the results of ``search.find_peak``
    for the present and the proposed map, averaged over the sets. ``copies``
    is the number of experts that ranks have to copy, over all sets and ranks.
    """

    experts: tuple[tuple[tuple[int, ...], ...], ...]
    peak_before: float
    peak_after: float
    copies: int

    @property
    def gain(self):
        """Return the share by which the experts' part of a pass shortens."""
        return 1 - self.peak_after / self.peak_before


def make_initial_map(*, sets, ranks, experts):
    """Return the map that a group starts with, by set, rank and slot.

    It deals the experts of each set to the ranks in turn.
    """
    experts_by_rank = tuple(
        tuple(range(rank, experts, ranks)) for rank in range(ranks)
    )
    return (experts_by_rank,) * sets


def plan_in_slices(
    present_map,
    demand,
    *,
    slowdowns,
    slots,
    max_copies_per_rank,
    min_reduction_per_copy,
):
    """Plan a map set by set: yield None after each set, return a ``Plan``.

    ``present_map`` holds the experts by set, rank and slot, ``demand`` the
    demand by set and expert. ``slowdowns`` holds for each rank the time that
    it takes for its work, divided by the usual time. ``slots`` is the number
    of experts of a set that a rank can hold, ``max_copies_per_rank`` the
    number that it can copy. Each copied expert must lower the highest load of
    its set by ``min_reduction_per_copy`` times the mean demand of a rank.
    """
    planned_sets = []
    peak_sum_before = peak_sum_after = 0.0
    copies = 0
    for present_set, set_demand in zip(present_map, demand, strict=True):
        planned_set = search.balance_set(
            present_set,
            set_demand,
            slowdowns=slowdowns,
            slots=slots,
            max_copies_per_rank=max_copies_per_rank,
            min_reduction_per_copy=min_reduction_per_copy,
        )
        copies += search.count_copies(present_set, planned_set)
        peak_sum_before += search.find_peak(present_set, set_demand, slowdowns)
        peak_sum_after += search.find_peak(planned_set, set_demand, slowdowns)
        planned_sets.append(planned_set)
        yield
    return Plan(
        experts=tuple(planned_sets),
        peak_before=peak_sum_before / len(planned_sets),
        peak_after=peak_sum_after / len(planned_sets),
        copies=copies,
    )
