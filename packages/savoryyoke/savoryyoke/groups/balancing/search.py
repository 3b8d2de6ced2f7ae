"""Search one set of a map that spreads its demand over the ranks."""

from savoryyoke.groups.balancing import conf

# A step that copies nothing must lower the highest load by this share.
_LEAST_STEP = 1e-3


def find_loads(ranks_experts, demand, paces):
    """Return the load of each rank, weighted by its pace.

    The demand of an expert is split evenly among its holders.
    """
    copies = [0] * len(demand)
    for experts in ranks_experts:
        for expert in experts:
            copies[expert] += 1
    return [
        pace * sum(demand[expert] / copies[expert] for expert in experts)
        for experts, pace in zip(ranks_experts, paces, strict=True)
    ]


def find_peak(ranks_experts, demand, paces):
    """Return the highest load of a rank, times the ranks, over the demand.

    1.0 is a perfectly even set of ranks at the usual pace.
    """
    total = sum(demand)
    if not total:
        return 1.0
    loads = find_loads(ranks_experts, demand, paces)
    return max(loads) * len(loads) / total


def count_copies(present, following):
    """Return how many experts ranks have to copy for a change of a set."""
    return sum(
        len(set(new) - set(old))
        for old, new in zip(present, following, strict=True)
    )


def balance_set(
    ranks_experts, demand, *, paces, places, spare, relief_per_copy
):
    """Return the experts of each rank after a greedy search.

    Starts from the present ``ranks_experts``. A rank holds at most
    ``places`` experts, and at most ``spare`` that it does not hold now. Each
    expert that has to be copied must lower the highest load by
    ``relief_per_copy`` times the mean load.
    """
    search = _Search(
        ranks_experts,
        demand,
        paces=paces,
        places=places,
        spare=spare,
        relief_per_copy=relief_per_copy,
    )
    for _ in range(conf.CHANGES_LIMIT):
        if not search.improve():
            break
    return search.result()


class _Search:
    """Own one set while it is changed step by step."""

    def __init__(
        self, ranks_experts, demand, *, paces, places, spare, relief_per_copy
    ):
        self._present = [frozenset(experts) for experts in ranks_experts]
        self._held = [set(experts) for experts in ranks_experts]
        self._demand = demand
        self._paces = paces
        self._places = places
        self._spare = spare
        self._holders = [set() for _ in demand]
        for rank, experts in enumerate(self._held):
            for expert in experts:
                self._holders[expert].add(rank)
        self._loads = find_loads(self._held, demand, paces)
        self._price = relief_per_copy * sum(demand) / len(self._held)
        self._gain = 0.0
        self._chosen = None

    def result(self):
        """Return the experts of each rank, in order."""
        return tuple(tuple(sorted(experts)) for experts in self._held)

    def improve(self):
        """Take the best step for the most loaded rank, if there is one."""
        peak = max(self._loads)
        slowest = self._loads.index(peak)
        self._gain = _LEAST_STEP * peak
        self._chosen = None
        helpers = self._order_by_load(peak)[: conf.HELPERS_LIMIT]
        for rank in helpers:
            if rank != slowest:
                self._relieve_with(rank, slowest, peak)
        if self._chosen is None:
            return False
        self._take(self._chosen)
        return True

    def _order_by_load(self, peak):
        """Return the ranks, the least loaded first, to a quarter of the peak.

        The best steps mostly go to the least loaded ranks. Ranks that are
        about equal keep their order: to help always with the emptiest one uses
        up what it may copy.
        """
        return sorted(
            range(len(self._loads)),
            key=lambda rank: round(4 * self._loads[rank] / peak),
        )

    def _relieve_with(self, rank, slowest, peak):
        """Try the steps that bring experts of the slowest rank to another.

        Lower bounds on the loads of the two ranks rule most steps out
        before they are worked out.
        """
        for expert in self._held[slowest] - self._held[rank]:
            if not self._may_add(rank, expert):
                continue
            holders = len(self._holders[expert])
            moved = self._demand[expert] / holders
            shared = self._demand[expert] / (holders + 1)
            price = 0.0 if expert in self._present[rank] else self._price
            pace = self._paces[slowest]
            if pace * (moved - shared) > self._gain + price:
                height = peak - self._gain - price
                self._share(expert, slowest, rank, shared, height)
            if pace * moved > self._gain + price:
                height = peak - self._gain - price
                self._move(expert, slowest, rank, moved, height)

    def _share(self, expert, slowest, rank, shared, height):
        """Try the steps after which both ranks hold an expert."""
        load = self._loads[rank] + self._paces[rank] * shared
        if len(self._held[rank]) < self._places:
            if load < height:
                self._try(((rank, expert, None),))
            return
        for other in self._held[rank]:
            if len(self._holders[other]) == 1:
                continue
            if load - self._load_of(other, rank) < height:
                self._try(((rank, expert, other),))

    def _move(self, expert, slowest, rank, moved, height):
        """Try the steps after which the slowest rank holds an expert less."""
        leave = (slowest, None, expert)
        load = self._loads[rank] + self._paces[rank] * moved
        if len(self._held[rank]) < self._places:
            if load < height:
                self._try(((rank, expert, None), leave))
            return
        for other in self._held[rank]:
            if load - self._load_of(other, rank) >= height:
                continue
            if len(self._holders[other]) > 1:
                self._try(((rank, expert, other), leave))
            elif other not in self._held[slowest] and self._may_add(
                slowest, other
            ):
                self._try(((rank, expert, other), (slowest, other, expert)))

    def _load_of(self, expert, rank):
        """Return the part of a rank's load that an expert makes up."""
        share = self._demand[expert] / len(self._holders[expert])
        return self._paces[rank] * share

    def _try(self, step):
        """Choose a step if it gains more than those before."""
        peak = max(self._loads)
        height = self._height_after(step, peak)
        gain = peak - height - self._price * self._count_copies(step)
        if gain > self._gain:
            self._gain, self._chosen = gain, step

    def _count_copies(self, step):
        return sum(
            added is not None and added not in self._present[rank]
            for rank, added, _ in step
        )

    def _may_add(self, rank, expert):
        present = self._present[rank]
        if expert in present:
            return True
        return len(self._held[rank] - present) < self._spare

    def _height_after(self, step, bound):
        """Return the highest load among the ranks that a step touches."""
        changes = {}
        experts = set()
        for rank, added, removed in step:
            if added is not None:
                experts.add(added)
                changes.setdefault(added, [set(), set()])[0].add(rank)
            if removed is not None:
                experts.add(removed)
                changes.setdefault(removed, [set(), set()])[1].add(rank)
        loads = {}
        for expert in experts:
            before = self._holders[expert]
            gained, lost = changes[expert]
            after = (before | gained) - lost
            if not after:
                return bound
            old = self._demand[expert] / len(before)
            new = self._demand[expert] / len(after)
            for rank in before:
                known = loads.get(rank, self._loads[rank])
                loads[rank] = known - old * self._paces[rank]
            for rank in after:
                known = loads.get(rank, self._loads[rank])
                loads[rank] = known + new * self._paces[rank]
        return max(loads.values())

    def _take(self, step):
        for rank, added, removed in step:
            if added is not None:
                self._held[rank].add(added)
                self._holders[added].add(rank)
            if removed is not None:
                self._held[rank].discard(removed)
                self._holders[removed].discard(rank)
        self._loads = find_loads(self._held, self._demand, self._paces)
