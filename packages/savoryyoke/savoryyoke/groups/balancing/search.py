"""Search for an even assignment of one set's experts to ranks."""

import math

from savoryyoke.groups.balancing import conf

# A step that copies no expert must lower the highest load by this share.
_MIN_STEP_GAIN_SHARE = 1e-3


def find_loads(experts_by_rank, demand, slowdowns):
    """Return the load of each rank, multiplied by its slowdown.

    The demand of an expert is split evenly among the ranks that hold it.
    """
    holder_counts = [0] * len(demand)
    for experts in experts_by_rank:
        for expert in experts:
            holder_counts[expert] += 1
    return [
        slowdown
        * sum(demand[expert] / holder_counts[expert] for expert in experts)
        for experts, slowdown in zip(experts_by_rank, slowdowns, strict=True)
    ]


def find_peak(experts_by_rank, demand, slowdowns):
    """Return the highest load of a rank divided by the mean demand of a rank.

    1.0 means that all ranks have the same load and no slowdown.
    """
    total_demand = sum(demand)
    if not total_demand:
        return 1.0
    loads = find_loads(experts_by_rank, demand, slowdowns)
    return max(loads) * len(loads) / total_demand


def count_copies(present_set, planned_set):
    """Return how many experts all ranks have to copy to change one set.

    Both arguments hold the experts of each rank.
    """
    return sum(
        len(set(planned_experts) - set(present_experts))
        for present_experts, planned_experts in zip(
            present_set, planned_set, strict=True
        )
    )


def balance_set(
    experts_by_rank,
    demand,
    *,
    slowdowns,
    slots,
    max_copies_per_rank,
    min_reduction_per_copy,
):
    """Return the experts of each rank after a greedy search.

    The search starts from the present ``experts_by_rank``. A rank holds at
    most ``slots`` experts and copies at most ``max_copies_per_rank`` that it
    does not hold at present. Each copied expert must lower the highest load
    by ``min_reduction_per_copy`` times the mean demand of a rank.
    """
    search = SetSearch(
        experts_by_rank,
        demand,
        slowdowns=slowdowns,
        slots=slots,
        max_copies_per_rank=max_copies_per_rank,
        min_reduction_per_copy=min_reduction_per_copy,
        copy_limit=CopyLimit(ranks=len(experts_by_rank), limit=math.inf),
    )
    while search.improve():
        pass
    return search.result()


class CopyLimit:
    """Limit the experts of all sets together that each rank has to copy.

    A rank copies one expert after the other, so the busiest rank determines
    when a map can be used. ``limit`` may be raised during a search.
    """

    def __init__(self, *, ranks, limit):
        self.limit = limit
        self._copies_by_rank = [0] * ranks

    @property
    def most_copies(self):
        """Return how many experts the busiest rank has to copy."""
        return max(self._copies_by_rank)

    def allows_copy(self, rank):
        """Return whether a rank may copy one more expert."""
        return self._copies_by_rank[rank] < self.limit

    def add_copies(self, rank, copies):
        """Add to the number of experts that a rank has to copy."""
        self._copies_by_rank[rank] += copies


class SetSearch:
    """Improve the assignment of one set step by step.

    A step is a tuple of changes, each of which is a rank, the expert that it
    adds or None, and the expert that it removes or None. ``copy_limit`` is
    shared by the searches of all sets of a map.
    """

    def __init__(
        self,
        experts_by_rank,
        demand,
        *,
        slowdowns,
        slots,
        max_copies_per_rank,
        min_reduction_per_copy,
        copy_limit,
    ):
        self._present_by_rank = [
            frozenset(experts) for experts in experts_by_rank
        ]
        self._planned_by_rank = [set(experts) for experts in experts_by_rank]
        self._demand = demand
        self._slowdowns = slowdowns
        self._slots = slots
        self._max_copies_per_rank = max_copies_per_rank
        self._copy_limit = copy_limit
        self._steps_left = conf.MAX_STEPS_PER_SET
        self._holders_by_expert = [set() for _ in demand]
        for rank, experts in enumerate(self._planned_by_rank):
            for expert in experts:
                self._holders_by_expert[expert].add(rank)
        self._loads = find_loads(self._planned_by_rank, demand, slowdowns)
        self._copy_cost = (
            min_reduction_per_copy * sum(demand) / len(self._planned_by_rank)
        )
        self._best_gain = 0.0
        self._best_step = None

    def result(self):
        """Return the experts of each rank in ascending order."""
        return tuple(
            tuple(sorted(experts)) for experts in self._planned_by_rank
        )

    def improve(self):
        """Apply the best step for the most loaded rank.

        Return whether there was a step that lowers the load enough.
        """
        if not self._steps_left:
            return False
        peak_load = max(self._loads)
        busiest_rank = self._loads.index(peak_load)
        self._best_gain = _MIN_STEP_GAIN_SHARE * peak_load
        self._best_step = None
        receivers = self._order_by_load(peak_load)[: conf.MAX_RECEIVERS]
        for receiver in receivers:
            if receiver != busiest_rank:
                self._consider_receiver(receiver, busiest_rank, peak_load)
        if self._best_step is None:
            return False
        self._steps_left -= 1
        self._apply_step(self._best_step)
        return True

    def _order_by_load(self, peak_load):
        """Return the ranks by load, rounded to a quarter of the peak load.

        The best steps mostly involve the least loaded ranks. Ranks with about
        the same load keep their order: choosing the least loaded rank every
        time would soon use up the number of experts that it may copy.
        """
        return sorted(
            range(len(self._loads)),
            key=lambda rank: round(4 * self._loads[rank] / peak_load),
        )

    def _consider_receiver(self, receiver, busiest_rank, peak_load):
        """Consider adding experts of the busiest rank to a receiver.

        Lower bounds of the loads of these two ranks exclude most steps before
        their exact effect has to be computed.
        """
        for expert in (
            self._planned_by_rank[busiest_rank]
            - self._planned_by_rank[receiver]
        ):
            if not self._can_add(receiver, expert):
                continue
            holders = len(self._holders_by_expert[expert])
            demand_per_holder = self._demand[expert] / holders
            demand_if_shared = self._demand[expert] / (holders + 1)
            cost = (
                0.0
                if expert in self._present_by_rank[receiver]
                else self._copy_cost
            )
            slowdown = self._slowdowns[busiest_rank]
            if (
                slowdown * (demand_per_holder - demand_if_shared)
                > self._best_gain + cost
            ):
                load_limit = peak_load - self._best_gain - cost
                self._consider_sharing(
                    expert,
                    busiest_rank,
                    receiver,
                    demand_if_shared,
                    load_limit,
                )
            if slowdown * demand_per_holder > self._best_gain + cost:
                load_limit = peak_load - self._best_gain - cost
                self._consider_moving(
                    expert,
                    busiest_rank,
                    receiver,
                    demand_per_holder,
                    load_limit,
                )

    def _consider_sharing(
        self, expert, busiest_rank, receiver, demand_if_shared, load_limit
    ):
        """Consider the steps after which both ranks hold the expert."""
        load = (
            self._loads[receiver]
            + self._slowdowns[receiver] * demand_if_shared
        )
        if len(self._planned_by_rank[receiver]) < self._slots:
            if load < load_limit:
                self._consider_step(((receiver, expert, None),))
            return
        for replaced in self._planned_by_rank[receiver]:
            if len(self._holders_by_expert[replaced]) == 1:
                continue
            if load - self._find_expert_load(replaced, receiver) < load_limit:
                self._consider_step(((receiver, expert, replaced),))

    def _consider_moving(
        self, expert, busiest_rank, receiver, demand_per_holder, load_limit
    ):
        """Consider the steps that move the expert to the receiver.

        If the receiver has no free slot, the expert replaces one that other
        ranks hold too, or is exchanged for one that only the receiver holds.
        """
        removal = (busiest_rank, None, expert)
        load = (
            self._loads[receiver]
            + self._slowdowns[receiver] * demand_per_holder
        )
        if len(self._planned_by_rank[receiver]) < self._slots:
            if load < load_limit:
                self._consider_step(((receiver, expert, None), removal))
            return
        for replaced in self._planned_by_rank[receiver]:
            if load - self._find_expert_load(replaced, receiver) >= load_limit:
                continue
            if len(self._holders_by_expert[replaced]) > 1:
                self._consider_step(((receiver, expert, replaced), removal))
            elif replaced not in self._planned_by_rank[
                busiest_rank
            ] and self._can_add(busiest_rank, replaced):
                self._consider_step(
                    (
                        (receiver, expert, replaced),
                        (busiest_rank, replaced, expert),
                    )
                )

    def _find_expert_load(self, expert, rank):
        """Return the part of a rank's load that is due to one expert."""
        demand_per_holder = self._demand[expert] / len(
            self._holders_by_expert[expert]
        )
        return self._slowdowns[rank] * demand_per_holder

    def _consider_step(self, step):
        """Make a step the best one if it gains more than the best so far."""
        peak_load = max(self._loads)
        load_after = self._find_load_after(step, peak_load)
        gain = (
            peak_load - load_after - self._copy_cost * self._count_copies(step)
        )
        if gain > self._best_gain:
            self._best_gain, self._best_step = gain, step

    def _count_copies(self, step):
        return sum(
            added is not None and added not in self._present_by_rank[rank]
            for rank, added, _ in step
        )

    def _can_add(self, rank, expert):
        if expert in self._present_by_rank[rank]:
            return True
        return (
            self._copy_limit.allows_copy(rank)
            and self._count_copies_of_rank(rank) < self._max_copies_per_rank
        )

    def _count_copies_of_rank(self, rank):
        return len(self._planned_by_rank[rank] - self._present_by_rank[rank])

    def _find_load_after(self, step, peak_load):
        """Return the highest load of the ranks that a step affects.

        Return ``peak_load`` for a step that leaves an expert without a rank,
        so that it gains nothing.
        """
        changes_by_expert = {}
        experts = set()
        for rank, added, removed in step:
            if added is not None:
                experts.add(added)
                changes_by_expert.setdefault(added, [set(), set()])[0].add(
                    rank
                )
            if removed is not None:
                experts.add(removed)
                changes_by_expert.setdefault(removed, [set(), set()])[1].add(
                    rank
                )
        loads_by_rank = {}
        for expert in experts:
            holders_before = self._holders_by_expert[expert]
            gaining_ranks, losing_ranks = changes_by_expert[expert]
            holders_after = (holders_before | gaining_ranks) - losing_ranks
            if not holders_after:
                return peak_load
            demand_before = self._demand[expert] / len(holders_before)
            demand_after = self._demand[expert] / len(holders_after)
            for rank in holders_before:
                load = loads_by_rank.get(rank, self._loads[rank])
                loads_by_rank[rank] = (
                    load - demand_before * self._slowdowns[rank]
                )
            for rank in holders_after:
                load = loads_by_rank.get(rank, self._loads[rank])
                loads_by_rank[rank] = (
                    load + demand_after * self._slowdowns[rank]
                )
        return max(loads_by_rank.values())

    def _apply_step(self, step):
        for rank, added, removed in step:
            copies_before = self._count_copies_of_rank(rank)
            if added is not None:
                self._planned_by_rank[rank].add(added)
                self._holders_by_expert[added].add(rank)
            if removed is not None:
                self._planned_by_rank[rank].discard(removed)
                self._holders_by_expert[removed].discard(rank)
            self._copy_limit.add_copies(
                rank, self._count_copies_of_rank(rank) - copies_before
            )
        self._loads = find_loads(
            self._planned_by_rank, self._demand, self._slowdowns
        )
