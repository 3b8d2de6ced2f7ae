"""Compare ways to adapt expert maps to demand that shifts.

Prints key=value lines. A group of 12 ranks holds 72 experts in each of 4 sets,
as on the users' VMs. Requests choose experts by their topic; at each shift the
topics in demand change. Counts arrive each 0.15 s, and a change takes 0.35 s
from the plan to the switch. The peak is the load of the most loaded rank
divided by the mean load. It is computed from the choices of the requests, not
from the demand that was estimated for the plan.
"""

import argparse
import collections
import random
import statistics

from savoryyoke.groups.balancing import conf
from savoryyoke.groups.balancing import demand
from savoryyoke.groups.balancing import planner
from savoryyoke.groups.balancing import search

RANKS = 12
SETS = 4
EXPERTS = 72
SLOTS_PER_RANK = 8
MAX_COPIES_PER_RANK = 3
SLOWDOWNS = (1.0,) * RANKS
TOPICS = 9
# Share of the choices of a request that do not depend on its topic.
COMMON_SHARE = 0.65
POPULARITY_EXPONENT = 1.3
REQUESTS_PER_S = 28.0
CHOICES_PER_REQUEST = 4000
TICK_S = 0.15
SHIFT_INTERVAL_S = 3.3
CHANGE_S = 0.35
DURATION_S = 60.0
POLICY = conf.BalancePolicy()


class Workload:
    """Generate the choices of each tick; topics change at each shift."""

    def __init__(self, *, seed):
        self._random = random.Random(seed)
        self._shift_number = -1
        self._topics = []
        self.demand = None

    def generate_choices(self, now_s):
        """Return the choices of one tick: for each set, counts by expert."""
        if int(now_s / SHIFT_INTERVAL_S) != self._shift_number:
            self._shift_number = int(now_s / SHIFT_INTERVAL_S)
            self._shift()
        counts = [[0.0] * EXPERTS for _ in range(SETS)]
        for _ in range(self._count_requests()):
            topic = self._random.choice(self._topics)
            for set_counts, weights in zip(counts, topic, strict=True):
                for expert, weight in enumerate(weights):
                    set_counts[expert] += weight * CHOICES_PER_REQUEST
        return [
            [round(count) for count in set_counts] for set_counts in counts
        ]

    def _shift(self):
        common = [self._generate_weights() for _ in range(SETS)]
        self._topics = [
            [_mix(weights, self._generate_weights()) for weights in common]
            for _ in range(TOPICS)
        ]
        self.demand = [
            [sum(weights) / TOPICS for weights in zip(*by_topic, strict=True)]
            for by_topic in zip(*self._topics, strict=True)
        ]

    def _generate_weights(self):
        weights = [
            1 / (rank + 1) ** POPULARITY_EXPONENT for rank in range(EXPERTS)
        ]
        self._random.shuffle(weights)
        total = sum(weights)
        return [weight / total for weight in weights]

    def _count_requests(self):
        expected = REQUESTS_PER_S * TICK_S
        return max(round(self._random.gauss(expected, expected**0.5)), 0)


class Static:
    """Keep the initial map of the group."""

    change_s = CHANGE_S

    def __init__(self, *, workload):
        self._workload = workload

    def record_choices(self, choices, now_s):
        """Record the choices of all ranks in one tick."""

    def estimate(self, now_s):
        """Return the demand to plan for, or None to keep the map."""
        return None


class SinceShift(Static):
    """Use the product's estimator, which counts since the last shift."""

    def __init__(self, *, workload):
        super().__init__(workload=workload)
        self._demand = demand.DemandEstimator(sets=SETS, experts=EXPERTS)

    def record_choices(self, choices, now_s):
        """Record the choices of all ranks in one tick."""
        self._demand.add(choices, now_s=now_s)

    def estimate(self, now_s):
        """Return the demand to plan for, or None to keep the map."""
        return self._demand.estimate(now_s=now_s)


class RecentWindow(Static):
    """Count the choices of the last 0.4 s only."""

    window_s = 0.4

    def __init__(self, *, workload):
        super().__init__(workload=workload)
        self._recorded = collections.deque()

    def record_choices(self, choices, now_s):
        """Record the choices of all ranks in one tick."""
        self._recorded.append((now_s, choices))
        while now_s - self._recorded[0][0] > self.window_s:
            self._recorded.popleft()

    def estimate(self, now_s):
        """Return the demand to plan for, or None to keep the map."""
        if not self._recorded:
            return None
        recorded = [choices for _, choices in self._recorded]
        recent = [sum(counts) for counts in zip(*recorded, strict=True)]
        return [
            recent[start : start + EXPERTS]
            for start in range(0, len(recent), EXPERTS)
        ]


class Known(Static):
    """Use the true demand and switch at once: the best possible result."""

    change_s = 0.0

    def estimate(self, now_s):
        """Return the demand to plan for, or None to keep the map."""
        return self._workload.demand


POLICIES = (Static, RecentWindow, SinceShift, Known)


def plan_map(current_map, estimated_demand):
    """Return the plan for a demand, or None if its gain is too small."""
    slices = planner.plan_in_slices(
        current_map,
        estimated_demand,
        slowdowns=SLOWDOWNS,
        slots=SLOTS_PER_RANK,
        max_copies_per_rank=MAX_COPIES_PER_RANK,
        min_reduction_per_copy=POLICY.min_reduction_per_copy,
        timing=planner.ChangeTiming(copy_s=0.0),
    )
    while True:
        try:
            next(slices)
        except StopIteration as stop:
            new_plan = stop.value
            break
    return new_plan if new_plan.gain >= POLICY.min_gain else None


def simulate(policy_class, *, seed):
    """Return the peaks of all ticks and the counts of changes and copies."""
    workload = Workload(seed=seed)
    policy = policy_class(workload=workload)
    current_map = planner.make_initial_map(
        sets=SETS, ranks=RANKS, experts=EXPERTS
    )
    pending_map, switch_s = None, 0.0
    peaks, changes, copies = [], 0, 0
    for tick in range(round(DURATION_S / TICK_S)):
        now_s = tick * TICK_S
        choices = workload.generate_choices(now_s)
        if pending_map is not None and now_s >= switch_s:
            current_map, pending_map = pending_map, None
        peaks.append(_find_peak(current_map, choices))
        flat_counts = [count for counts in choices for count in counts]
        policy.record_choices(flat_counts, now_s)
        estimated_demand = policy.estimate(now_s)
        if pending_map is not None or estimated_demand is None:
            continue
        new_plan = plan_map(current_map, estimated_demand)
        if new_plan is not None:
            pending_map, switch_s = new_plan.experts, now_s + policy.change_s
            changes += 1
            copies += new_plan.copies
    return peaks, changes, copies


def _find_peak(current_map, choices):
    peaks = [
        search.find_peak(ranks_experts, counts, SLOWDOWNS)
        for ranks_experts, counts in zip(current_map, choices, strict=True)
    ]
    return sum(peaks) / len(peaks)


def _mix(common_weights, topic_weights):
    return [
        COMMON_SHARE * common + (1 - COMMON_SHARE) * topic
        for common, topic in zip(common_weights, topic_weights, strict=True)
    ]


def main():
    """Simulate each policy with all seeds and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=3)
    arguments = parser.parse_args()
    for policy_class in POLICIES:
        results = [
            simulate(policy_class, seed=seed)
            for seed in range(arguments.seeds)
        ]
        peaks = [peak for result in results for peak in result[0]]
        print(
            f'policy={policy_class.__name__} seeds={arguments.seeds}'
            f' seconds={DURATION_S:g}'
            f' peak_mean={statistics.mean(peaks):.3f}'
            f' peak_p95={statistics.quantiles(peaks, n=20)[-1]:.3f}'
            f' changes={statistics.mean(result[1] for result in results):.1f}'
            f' copies={statistics.mean(result[2] for result in results):.1f}',
            flush=True,
        )


if __name__ == '__main__':
    main()
