"""Measure how maps follow demand that shifts, against naive versions.

Prints key=value lines. A group of 12 ranks holds 72 experts in each of 4 sets,
as on the users' VMs. Requests choose experts by their topic; at each shift the
topics in demand change. Counts arrive each 0.15 s, and a change takes 0.35 s
from the plan to the switch. The peak is the load of the most loaded rank over
the mean, of the choices that are made, not of those that were planned for.
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
PLACES = 8
SPARE = 3
PACES = (1.0,) * RANKS
TOPICS = 9
# Part of a request's choices that do not depend on its topic.
COMMON_SHARE = 0.65
SKEW = 1.3
REQUESTS_PER_S = 28.0
CHOICES_PER_REQUEST = 4000
TICK_S = 0.15
SHIFT_EVERY_S = 3.3
CHANGE_S = 0.35
SECONDS = 60.0
POLICY = conf.BalancePolicy()


class Workload:
    """Draw the choices of each tick; topics in demand change at shifts."""

    def __init__(self, *, seed):
        self._random = random.Random(seed)
        self._shifts = -1
        self._topics = []
        self.wanted = None

    def draw(self, now_s):
        """Return the choices of one tick: a list for each set."""
        if int(now_s / SHIFT_EVERY_S) != self._shifts:
            self._shifts = int(now_s / SHIFT_EVERY_S)
            self._shift()
        counts = [[0.0] * EXPERTS for _ in range(SETS)]
        for _ in range(self._count_requests()):
            topic = self._random.choice(self._topics)
            for one, weights in zip(counts, topic, strict=True):
                for expert, weight in enumerate(weights):
                    one[expert] += weight * CHOICES_PER_REQUEST
        return [[round(count) for count in one] for one in counts]

    def _shift(self):
        common = [self._draw_weights() for _ in range(SETS)]
        self._topics = [
            [_mix(one, self._draw_weights()) for one in common]
            for _ in range(TOPICS)
        ]
        self.wanted = [
            [sum(x) / TOPICS for x in zip(*by_topic, strict=True)]
            for by_topic in zip(*self._topics, strict=True)
        ]

    def _draw_weights(self):
        weights = [1 / (place + 1) ** SKEW for place in range(EXPERTS)]
        self._random.shuffle(weights)
        total = sum(weights)
        return [weight / total for weight in weights]

    def _count_requests(self):
        expected = REQUESTS_PER_S * TICK_S
        return max(round(self._random.gauss(expected, expected**0.5)), 0)


class Static:
    """Keep the map that groups form with."""

    change_s = CHANGE_S

    def __init__(self, *, workload):
        self._workload = workload

    def note(self, choices, now_s):
        """Take in the choices of all ranks in a tick."""

    def estimate(self, now_s):
        """Return the demand to plan on, or None to keep the map."""
        return None


class SinceShift(Static):
    """Count since the last shift, as the product does."""

    def __init__(self, *, workload):
        super().__init__(workload=workload)
        self._demand = demand.DemandEstimator(sets=SETS, experts=EXPERTS)

    def note(self, choices, now_s):
        """Take in the choices of all ranks in a tick."""
        self._demand.add(choices, now_s=now_s)

    def estimate(self, now_s):
        """Return the demand to plan on, or None to keep the map."""
        return self._demand.estimate(now_s=now_s)


class RecentWindow(Static):
    """Count over the last 0.4 s, whatever came before."""

    window_s = 0.4

    def __init__(self, *, workload):
        super().__init__(workload=workload)
        self._noted = collections.deque()

    def note(self, choices, now_s):
        """Take in the choices of all ranks in a tick."""
        self._noted.append((now_s, choices))
        while now_s - self._noted[0][0] > self.window_s:
            self._noted.popleft()

    def estimate(self, now_s):
        """Return the demand to plan on, or None to keep the map."""
        if not self._noted:
            return None
        noted = [choices for _, choices in self._noted]
        recent = [sum(one) for one in zip(*noted, strict=True)]
        return [
            recent[start : start + EXPERTS]
            for start in range(0, len(recent), EXPERTS)
        ]


class Known(Static):
    """Know the demand itself and switch at once: no reaction does better."""

    change_s = 0.0

    def estimate(self, now_s):
        """Return the demand to plan on, or None to keep the map."""
        return self._workload.wanted


POLICIES = (Static, RecentWindow, SinceShift, Known)


def plan(present, wanted):
    """Return the ``planner.Plan`` for ``wanted``, or None if none pays."""
    slices = planner.plan_in_slices(
        present,
        wanted,
        slowdowns=PACES,
        slots=PLACES,
        max_copies_per_rank=SPARE,
        min_reduction_per_copy=POLICY.min_reduction_per_copy,
    )
    while True:
        try:
            next(slices)
        except StopIteration as stop:
            found = stop.value
            break
    return found if found.gain >= POLICY.min_gain else None


def play(policy_class, *, seed):
    """Return the peaks of all ticks, the changes and the copied experts."""
    workload = Workload(seed=seed)
    policy = policy_class(workload=workload)
    present = planner.make_initial_map(sets=SETS, ranks=RANKS, experts=EXPERTS)
    following, switch_s = None, 0.0
    peaks, changes, copies = [], 0, 0
    for tick in range(round(SECONDS / TICK_S)):
        now_s = tick * TICK_S
        chosen = workload.draw(now_s)
        if following is not None and now_s >= switch_s:
            present, following = following, None
        peaks.append(_find_peak(present, chosen))
        flat = [count for one in chosen for count in one]
        policy.note(flat, now_s)
        wanted = policy.estimate(now_s)
        if following is not None or wanted is None:
            continue
        found = plan(present, wanted)
        if found is not None:
            following, switch_s = found.experts, now_s + policy.change_s
            changes += 1
            copies += found.copies
    return peaks, changes, copies


def _find_peak(present, chosen):
    peaks = [
        search.find_peak(ranks_experts, one, PACES)
        for ranks_experts, one in zip(present, chosen, strict=True)
    ]
    return sum(peaks) / len(peaks)


def _mix(common, own):
    return [
        COMMON_SHARE * x + (1 - COMMON_SHARE) * y
        for x, y in zip(common, own, strict=True)
    ]


def main():
    """Play every policy on every seed and print a line for each policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=3)
    arguments = parser.parse_args()
    for policy_class in POLICIES:
        played = [
            play(policy_class, seed=seed) for seed in range(arguments.seeds)
        ]
        peaks = [peak for result in played for peak in result[0]]
        print(
            f'policy={policy_class.__name__} seeds={arguments.seeds}'
            f' seconds={SECONDS:g}'
            f' peak_mean={statistics.mean(peaks):.3f}'
            f' peak_p95={statistics.quantiles(peaks, n=20)[-1]:.3f}'
            f' changes={statistics.mean(x[1] for x in played):.1f}'
            f' copies={statistics.mean(x[2] for x in played):.1f}',
            flush=True,
        )


if __name__ == '__main__':
    main()
