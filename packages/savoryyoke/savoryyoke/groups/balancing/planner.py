"""Plan a new map for all sets of experts of a group."""

import dataclasses

from savoryyoke.groups.balancing import conf
from savoryyoke.groups.balancing import search


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """Propose a map and state what it costs and gains.

    ``experts`` holds the proposed experts by set, rank and slot.
    ``peak_before`` and ``peak_after`` are the results of ``search.find_peak``
    for the present and the proposed map, averaged over the sets. ``copies``
    is the number of experts that ranks have to copy, over all sets and ranks,
    ``most_copies`` the highest such number of one rank.
    """

    experts: tuple[tuple[tuple[int, ...], ...], ...]
    peak_before: float
    peak_after: float
    copies: int
    most_copies: int

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


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeTiming:
    """State how long the steps of a map change take, in seconds.

    A rank takes ``copy_s`` to copy one expert. Once all ranks are ready, the
    switch takes ``switch_s``. Demand is expected to stay as it is for
    ``demand_life_s``.
    """

    copy_s: float
    switch_s: float = conf.SWITCH_S
    demand_life_s: float = conf.DEMAND_LIFE_S

    def estimate_peak(self, plan):
        """Return the mean peak until demand shifts, with the plan's change.

        Copies delay the switch and slow passes down in the meantime.
        """
        copying_s = self.copy_s * plan.most_copies
        change_s = min(copying_s + self.switch_s, self.demand_life_s)
        return (
            plan.peak_before
            * (change_s + (conf.COPYING_SLOWDOWN - 1) * copying_s)
            + plan.peak_after * (self.demand_life_s - change_s)
        ) / self.demand_life_s


def plan_in_slices(
    present_map,
    demand,
    *,
    slowdowns,
    slots,
    max_copies_per_rank,
    min_reduction_per_copy,
    timing,
):
    """Plan a map step by step: yield None after each step, return a ``Plan``.

    ``present_map`` holds the experts by set, rank and slot, ``demand`` the
    demand by set and expert. ``slowdowns`` holds for each rank the time that
    it takes for its work, divided by the usual time. ``slots`` is the number
    of experts of a set that a rank can hold, ``max_copies_per_rank`` the
    number that it can copy. Each copied expert must lower the highest load of
    its set by ``min_reduction_per_copy`` times the mean demand of a rank.

    The sets are improved in turn, with one copy for each rank at first. Each
    rank may copy one more as long as the mean peak that ``timing`` estimates
    falls: a map that is less even but in use sooner can be better.
    """
    copy_limit = search.CopyLimit(ranks=len(slowdowns), limit=1)
    searches = [
        search.SetSearch(
            present_set,
            set_demand,
            slowdowns=slowdowns,
            slots=slots,
            max_copies_per_rank=max_copies_per_rank,
            min_reduction_per_copy=min_reduction_per_copy,
            copy_limit=copy_limit,
        )
        for present_set, set_demand in zip(present_map, demand, strict=True)
    ]
    peak_before = find_mean_peak(present_map, demand, slowdowns)
    best_plan = None
    while True:
        yield from _improve_in_turn(searches)
        plan = _build_plan(
            present_map,
            demand,
            [set_search.result() for set_search in searches],
            slowdowns=slowdowns,
            peak_before=peak_before,
            most_copies=copy_limit.most_copies,
        )
        if best_plan is not None and (
            timing.estimate_peak(plan) >= timing.estimate_peak(best_plan)
        ):
            return best_plan
        best_plan = plan
        if copy_limit.most_copies < copy_limit.limit:
            return best_plan
        copy_limit.limit += 1


def _improve_in_turn(searches):
    """Improve the sets in turn until none can be; yield after each step."""
    while searches:
        improved = []
        for set_search in searches:
            if set_search.improve():
                improved.append(set_search)
            yield
        searches = improved


def _build_plan(
    present_map, demand, planned_sets, *, slowdowns, peak_before, most_copies
):
    return Plan(
        experts=tuple(planned_sets),
        peak_before=peak_before,
        peak_after=find_mean_peak(planned_sets, demand, slowdowns),
        copies=sum(
            search.count_copies(present_set, planned_set)
            for present_set, planned_set in zip(
                present_map, planned_sets, strict=True
            )
        ),
        most_copies=most_copies,
    )


def find_mean_peak(experts_by_set, demand, slowdowns):
    """Return the result of ``search.find_peak``, averaged over the sets."""
    peaks = [
        search.find_peak(set_experts, set_demand, slowdowns)
        for set_experts, set_demand in zip(experts_by_set, demand, strict=True)
    ]
    return sum(peaks) / len(peaks)
