"""Test the estimate of demand and the search for maps."""

import math
import random
import unittest

from savoryyoke.groups.balancing import conf
from savoryyoke.groups.balancing import demand
from savoryyoke.groups.balancing import planner
from savoryyoke.groups.balancing import search
from savoryyoke.groups.balancing import shifts

RANKS = 12
EXPERTS = 72
SLOTS = 8
MAX_COPIES_PER_RANK = 3
NO_SLOWDOWNS = [1.0] * RANKS


def make_skewed_demand(seed):
    """Return a demand in which few experts get most of the tokens."""
    weights = [1 / (popularity + 1) ** 1.3 for popularity in range(EXPERTS)]
    random.Random(seed).shuffle(weights)
    return [weight / sum(weights) for weight in weights]


def make_initial_set():
    """Return the experts by rank of one set of the initial map."""
    return planner.make_initial_map(sets=1, ranks=RANKS, experts=EXPERTS)[0]


def balance(
    present, set_demand, min_reduction_per_copy=0.0, slowdowns=NO_SLOWDOWNS
):
    return search.balance_set(
        present,
        set_demand,
        slowdowns=slowdowns,
        slots=SLOTS,
        max_copies_per_rank=MAX_COPIES_PER_RANK,
        min_reduction_per_copy=min_reduction_per_copy,
    )


class SearchTests(unittest.TestCase):
    def test_found_sets_respect_the_limits_of_the_engines(self):
        for seed in range(10):
            present = make_initial_set()
            for change in range(4):
                found = balance(
                    present, make_skewed_demand(100 * seed + change)
                )
                self.assertEqual(set(range(EXPERTS)), set().union(*found))
                for old, new in zip(present, found, strict=True):
                    self.assertLessEqual(len(new), SLOTS)
                    self.assertEqual(len(set(new)), len(new))
                    self.assertLessEqual(
                        len(set(new) - set(old)), MAX_COPIES_PER_RANK
                    )
                present = found

    def test_peak_falls_close_to_one(self):
        for seed in range(10):
            set_demand = make_skewed_demand(seed)
            before = search.find_peak(
                make_initial_set(), set_demand, NO_SLOWDOWNS
            )
            after = search.find_peak(
                balance(make_initial_set(), set_demand),
                set_demand,
                NO_SLOWDOWNS,
            )
            self.assertGreater(before, 2.0)
            self.assertLess(after, 1.15)

    def test_higher_cost_of_copies_leads_to_fewer_copies(self):
        set_demand = make_skewed_demand(1)
        without_cost = balance(
            make_initial_set(), set_demand, min_reduction_per_copy=0.0
        )
        with_cost = balance(
            make_initial_set(), set_demand, min_reduction_per_copy=0.1
        )
        count = search.count_copies
        self.assertLess(
            count(make_initial_set(), with_cost),
            count(make_initial_set(), without_cost) / 1.3,
        )
        self.assertLess(
            search.find_peak(with_cost, set_demand, NO_SLOWDOWNS), 1.6
        )

    def test_even_demand_changes_nothing(self):
        even_demand = [1 / EXPERTS] * EXPERTS
        found = balance(make_initial_set(), even_demand)
        self.assertEqual(0, search.count_copies(make_initial_set(), found))

    def test_slow_rank_is_relieved(self):
        set_demand = make_skewed_demand(4)
        slowdowns = [5.0, *NO_SLOWDOWNS[1:]]
        found_without_slowdowns = balance(make_initial_set(), set_demand)
        found = balance(make_initial_set(), set_demand, slowdowns=slowdowns)
        self.assertLess(
            search.find_peak(found, set_demand, slowdowns),
            search.find_peak(found_without_slowdowns, set_demand, slowdowns)
            / 2,
        )

    def test_loads_add_up_to_the_demand(self):
        found = balance(make_initial_set(), make_skewed_demand(3))
        self.assertAlmostEqual(
            1.0,
            sum(search.find_loads(found, make_skewed_demand(3), NO_SLOWDOWNS)),
        )


class LargeGroupTests(unittest.TestCase):
    """Balance skewed demand in a group of 63 small ranks, as users run."""

    RANKS = 63
    EXPERTS = 252

    def make_demand(self, seed):
        """Return a demand in which few experts get many tokens."""
        weights = [
            1 / (popularity + 1) ** 0.65 for popularity in range(self.EXPERTS)
        ]
        random.Random(seed).shuffle(weights)
        return [weight / sum(weights) for weight in weights]

    def test_no_second_change_is_proposed_after_the_first(self):
        no_slowdowns = [1.0] * self.RANKS
        least_peak_to_change = 1 / (1 - conf.BalancePolicy().min_gain)
        (present,) = planner.make_initial_map(
            sets=1, ranks=self.RANKS, experts=self.EXPERTS
        )
        for seed in range(12):
            with self.subTest(seed=seed):
                set_demand = self.make_demand(seed)
                before = search.find_peak(present, set_demand, no_slowdowns)
                self.assertGreater(before, 2 * least_peak_to_change)
                present = search.balance_set(
                    present,
                    set_demand,
                    slowdowns=no_slowdowns,
                    slots=5,
                    max_copies_per_rank=2,
                    min_reduction_per_copy=0.08,
                )
                after = search.find_peak(present, set_demand, no_slowdowns)
                self.assertLess(after, least_peak_to_change)


class ShiftingDemandTests(unittest.TestCase):
    """Simulate demand that shifts every 3.3 s and measure the peak load."""

    SHIFT_EVERY_S = 3.3
    # Time between a plan and the switch: copies, orders and passes ahead.
    CHANGE_S = 0.35
    TICK_S = 0.1

    def simulate(self, seed, *, seconds=20.0):
        """Return the mean peak of all ticks and the number of map changes."""
        random_source = random.Random(seed)
        estimator = demand.DemandEstimator(sets=1, experts=EXPERTS)
        present, planned, switch_s = make_initial_set(), None, 0.0
        peaks, changes = [], 0
        for tick in range(round(seconds / self.TICK_S)):
            now_s = tick * self.TICK_S
            if planned is not None and now_s >= switch_s:
                present, planned = planned, None
            shift = int(now_s / self.SHIFT_EVERY_S)
            choices = self.make_choices(random_source, 100 * seed + shift)
            peaks.append(search.find_peak(present, choices, NO_SLOWDOWNS))
            estimator.add(choices, now_s=now_s)
            set_demand = estimator.estimate(now_s=now_s)
            if planned is not None or set_demand is None:
                continue
            (set_demand,) = set_demand
            found = balance(present, set_demand, min_reduction_per_copy=0.08)
            before = search.find_peak(present, set_demand, NO_SLOWDOWNS)
            if (
                1 - search.find_peak(found, set_demand, NO_SLOWDOWNS) / before
                < 0.3
            ):
                continue
            planned = found
            switch_s = now_s + self.CHANGE_S
            changes += 1
        return sum(peaks) / len(peaks), changes

    def make_choices(self, random_source, shift):
        """Return the choices of one tick, which vary as few requests do."""
        weights = make_skewed_demand(shift)
        factors = [random_source.gammavariate(9, 1 / 9) for _ in weights]
        return [
            round(4000 * weight * factor)
            for weight, factor in zip(weights, factors, strict=True)
        ]

    def test_at_most_two_changes_per_shift_halve_the_excess_load(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                shifts = 7
                peak, changes = self.simulate(
                    seed, seconds=shifts * self.SHIFT_EVERY_S
                )
                self.assertLessEqual(changes, 2 * shifts)
                self.assertLess(peak - 1, (self.find_initial_peak() - 1) / 2)

    def find_initial_peak(self):
        """Return the mean peak of the map that groups start with."""
        peaks = [
            search.find_peak(
                make_initial_set(), make_skewed_demand(seed), NO_SLOWDOWNS
            )
            for seed in range(20)
        ]
        return sum(peaks) / len(peaks)


class PlannerTests(unittest.TestCase):
    """Plan maps for a group in which few experts get most of the tokens."""

    def plan(self, *, copy_s, demand_life_s=4.0, slowdowns=NO_SLOWDOWNS):
        """Return the plan for a new demand, and the number of its steps."""
        steps = planner.plan_in_slices(
            planner.make_initial_map(sets=4, ranks=RANKS, experts=EXPERTS),
            [make_skewed_demand(seed) for seed in range(4)],
            slowdowns=slowdowns,
            slots=SLOTS,
            max_copies_per_rank=MAX_COPIES_PER_RANK,
            min_reduction_per_copy=0.08,
            timing=planner.ChangeTiming(
                copy_s=copy_s, demand_life_s=demand_life_s
            ),
        )
        step_count = 0
        while True:
            try:
                self.assertIsNone(next(steps))
                step_count += 1
            except StopIteration as stop:
                return stop.value, step_count

    def test_plan_reports_its_gain_and_copies(self):
        plan, step_count = self.plan(copy_s=0.0)
        self.assertGreater(plan.gain, 0.4)
        self.assertEqual(4, len(plan.experts))
        self.assertGreater(plan.copies, 0)
        self.assertGreaterEqual(step_count, plan.copies / 2)
        copies_by_rank = [
            sum(
                len(set(planned_set[rank]) - set(present_set[rank]))
                for planned_set, present_set in zip(
                    plan.experts,
                    planner.make_initial_map(
                        sets=4, ranks=RANKS, experts=EXPERTS
                    ),
                    strict=True,
                )
            )
            for rank in range(RANKS)
        ]
        self.assertEqual(plan.copies, sum(copies_by_rank))
        self.assertEqual(plan.most_copies, max(copies_by_rank))

    def test_slow_copies_are_spread_evenly_over_the_ranks(self):
        quick, _ = self.plan(copy_s=0.0)
        slow, _ = self.plan(copy_s=0.1)
        self.assertLess(slow.most_copies, quick.most_copies)
        self.assertLess(slow.peak_after, 1.3)
        self.assertGreater(slow.copies, 0.7 * RANKS * slow.most_copies)

    def test_plan_that_is_in_use_soon_shortens_the_passes_until_the_shift(
        self,
    ):
        for copy_s in (0.03, 0.1, 0.3, 1.0):
            with self.subTest(copy_s=copy_s):
                timing = planner.ChangeTiming(copy_s=copy_s)
                evenest, _ = self.plan(copy_s=0.0)
                plan, _ = self.plan(copy_s=copy_s)
                self.assertLessEqual(
                    timing.estimate_peak(plan), timing.estimate_peak(evenest)
                )

    def test_slow_rank_is_relieved_of_most_of_its_load(self):
        slowdowns = [12.0, *NO_SLOWDOWNS[1:]]
        plan, _ = self.plan(copy_s=0.1, slowdowns=slowdowns)
        self.assertLess(plan.peak_after, plan.peak_before / 3)


class DemandEstimatorTests(unittest.TestCase):
    def setUp(self):
        self.estimator = demand.DemandEstimator(sets=1, experts=2)
        self.now_s = 0.0
        self.shift_distances = []

    def add_repeatedly(self, choices, *, seconds):
        """Add the same choices every 0.1 s, each time with an estimate.

        ``shift_distances`` collects the distances of the shifts detected.
        """
        for _ in range(round(10 * seconds)):
            self.now_s += 0.1
            self.estimator.add(choices, now_s=self.now_s)
            self.estimator.estimate(now_s=self.now_s)
            if self.estimator.shift_distance is not None:
                self.shift_distances.append(self.estimator.shift_distance)

    def add(self, now_s, choices):
        self.estimator.add(choices, now_s=now_s)

    def test_no_estimate_until_there_are_enough_choices(self):
        self.add(0.1, (10, 10))
        self.assertIsNone(self.estimator.estimate(now_s=0.1))

    def test_counts_of_all_ranks_are_added(self):
        self.add(0.1, (3000, 0))
        self.add(0.1, (0, 1000))
        ((demand_0, demand_1),) = self.estimator.estimate(now_s=0.1)
        self.assertAlmostEqual(0.75, demand_0)
        self.assertAlmostEqual(0.25, demand_1)

    def test_estimate_follows_a_shift_within_the_recent_window(self):
        self.add(0.1, (90000, 10000))
        later_s = 0.1 + 2 * conf.RECENT_WINDOW_S
        self.add(later_s, (1000, 9000))
        ((demand_0, demand_1),) = self.estimator.estimate(now_s=later_s)
        self.assertGreater(demand_1, demand_0)

    def test_older_counts_are_dropped_after_a_shift(self):
        self.add_repeatedly((8000, 2000), seconds=6.0)
        self.add_repeatedly((2000, 8000), seconds=2 * conf.RECENT_WINDOW_S)
        ((demand_0, demand_1),) = self.estimator.estimate(now_s=self.now_s)
        self.assertAlmostEqual(0.2, demand_0, places=2)
        self.assertAlmostEqual(0.8, demand_1, places=2)

    def test_shift_is_reported_while_the_recent_window_fills(self):
        self.add_repeatedly((8000, 2000), seconds=6.0)
        self.assertEqual([], self.shift_distances)
        self.add_repeatedly((2000, 8000), seconds=3 * conf.RECENT_WINDOW_S)
        self.assertTrue(self.shift_distances)
        self.assertGreaterEqual(
            min(self.shift_distances), conf.MIN_SHIFT_DISTANCE
        )
        self.shift_distances.clear()
        self.add_repeatedly((2000, 8000), seconds=6.0)
        self.assertEqual([], self.shift_distances)

    def test_bursts_of_requests_are_no_shift(self):
        for burst in range(20):
            deviation = 1500 if burst % 2 else -1500
            self.add_repeatedly(
                (6000 + deviation, 4000 - deviation),
                seconds=conf.RECENT_WINDOW_S,
            )
        self.assertEqual([], self.shift_distances)
        ((demand_0, _),) = self.estimator.estimate(now_s=self.now_s)
        self.assertAlmostEqual(0.6, demand_0, delta=0.06)

    def test_mean_life_of_demand_follows_the_detected_shifts(self):
        self.assertEqual(conf.DEMAND_LIFE_S, self.estimator.mean_life_s)
        for shift in range(4):
            choices = (8000, 2000) if shift % 2 else (2000, 8000)
            self.add_repeatedly(choices, seconds=2.5)
        self.assertAlmostEqual(2.5, self.estimator.mean_life_s, delta=0.2)

    def test_choices_of_another_number_of_experts_are_ignored(self):
        self.add(0.1, (9000, 9000, 9000))
        self.assertIsNone(self.estimator.estimate(now_s=0.1))


class ModerateShiftTests(unittest.TestCase):
    """Shift demand that many experts share, as in groups of many ranks.

    The choices before and after a shift differ less than those of a small
    group may differ from one moment to the next.
    """

    EXPERTS = 252
    SHIFT_EVERY_S = 4.0

    def make_weights(self, seed):
        weights = [
            1 / (popularity + 1) ** 0.66 for popularity in range(self.EXPERTS)
        ]
        random.Random(seed).shuffle(weights)
        return [weight / sum(weights) for weight in weights]

    def simulate(self, *, shifts):
        """Return the times at which shifts are detected, and the estimator."""
        random_source = random.Random(5)
        estimator = demand.DemandEstimator(sets=1, experts=self.EXPERTS)
        common = self.make_weights(0)
        detected_s = []
        for tick in range(round(10 * shifts * self.SHIFT_EVERY_S)):
            now_s = tick / 10
            topical = self.make_weights(1 + int(now_s / self.SHIFT_EVERY_S))
            choices = [
                round(
                    1e6
                    * (0.5 * by_common + 0.5 * by_topic)
                    * random_source.gammavariate(200, 1 / 200)
                )
                for by_common, by_topic in zip(common, topical, strict=True)
            ]
            estimator.add(choices, now_s=now_s)
            estimator.estimate(now_s=now_s)
            if estimator.shift_distance is not None:
                self.assertLess(
                    estimator.shift_distance, conf.DEFAULT_SHIFT_DISTANCE
                )
                detected_s.append(now_s)
        return detected_s, estimator

    def test_each_shift_is_detected_once_and_soon(self):
        detected_s, estimator = self.simulate(shifts=4)
        shift_times_s = [self.SHIFT_EVERY_S * number for number in (1, 2, 3)]
        self.assertEqual(len(shift_times_s), len(detected_s))
        for shift_s, noticed_s in zip(shift_times_s, detected_s, strict=True):
            self.assertLessEqual(noticed_s - shift_s, 0.4)
        self.assertAlmostEqual(
            self.SHIFT_EVERY_S, estimator.mean_life_s, delta=0.3
        )

    def test_no_shift_is_detected_without_one(self):
        self.assertEqual([], self.simulate(shifts=1)[0])


class NewLeaderTests(unittest.TestCase):
    """Start to observe demand at any moment between two of its shifts.

    The demand of each moment differs from the mean as the requests in flight
    do, which change within some seconds.
    """

    EXPERTS = 252
    SHIFT_EVERY_S = 3.9
    REPORT_INTERVAL_S = 0.3
    REQUESTS_LIFE_S = 2.0
    SPREAD = 0.08
    SECONDS = 24.0

    def simulate(self, seed, *, shift_shares):
        """Return the times of shifts and those at which they are detected.

        Each shift replaces a share of the demand, between the two in
        ``shift_shares``.
        """
        self.random = random.Random(seed)
        estimator = demand.DemandEstimator(sets=1, experts=self.EXPERTS)
        weights = self.make_weights()
        deviations = [self.random.gauss(0, 1) for _ in weights]
        next_shift_s = self.random.uniform(0.3, self.SHIFT_EVERY_S)
        next_report_s = 0.0
        shifts_s, detected_s = [], []
        for tick in range(round(10 * self.SECONDS)):
            now_s = tick / 10
            if now_s >= next_shift_s:
                weights = self.mix(weights, self.random.uniform(*shift_shares))
                shifts_s.append(now_s)
                next_shift_s += self.SHIFT_EVERY_S
            if now_s >= next_report_s:
                next_report_s += self.REPORT_INTERVAL_S
                deviations = [self.vary(value) for value in deviations]
                estimator.add(
                    [
                        round(30000 * weight * math.exp(self.SPREAD * value))
                        for weight, value in zip(
                            weights, deviations, strict=True
                        )
                    ],
                    now_s=now_s,
                )
            estimator.estimate(now_s=now_s)
            if estimator.shift_distance is not None:
                detected_s.append(now_s)
        return shifts_s, detected_s

    def make_weights(self):
        weights = [(number + 1) ** -0.5 for number in range(self.EXPERTS)]
        self.random.shuffle(weights)
        return [weight / sum(weights) for weight in weights]

    def mix(self, weights, share):
        return [
            (1 - share) * old + share * new
            for old, new in zip(weights, self.make_weights(), strict=True)
        ]

    def vary(self, deviation):
        kept = math.exp(-self.REPORT_INTERVAL_S / self.REQUESTS_LIFE_S)
        return kept * deviation + math.sqrt(1 - kept**2) * self.random.gauss(
            0, 1
        )

    def find_detected(self, seed, *, shift_shares):
        """Return whether each shift was detected within a second.

        The first two are left out: the usual distances are not known then.
        """
        shifts_s, detected_s = self.simulate(seed, shift_shares=shift_shares)
        return [
            any(
                shift_s <= noticed_s <= shift_s + 1.0
                for noticed_s in detected_s
            )
            for shift_s in shifts_s[2:-1]
        ]

    def test_shifts_are_detected_whenever_a_leader_starts(self):
        for seed in range(10):
            with self.subTest(seed=seed):
                detected = self.find_detected(seed, shift_shares=(0.12, 0.3))
                self.assertTrue(all(detected), detected)

    def test_undetected_shifts_do_not_hide_all_later_ones(self):
        for seed in range(10):
            with self.subTest(seed=seed):
                detected = self.find_detected(seed, shift_shares=(0.1, 0.2))
                self.assertTrue(any(detected), detected)

    def test_no_shift_is_detected_without_one(self):
        for seed in range(5):
            with self.subTest(seed=seed):
                _, detected_s = self.simulate(seed, shift_shares=(0.0, 0.0))
                self.assertEqual([], detected_s)


class ShiftDetectorTests(unittest.TestCase):
    def test_half_a_second_shows_a_new_leader_what_is_usual(self):
        detector = shifts.ShiftDetector()
        # Observed by a leader after its first change of the map.
        distances_by_time_s = {
            14.01: 0.029,
            14.95: 0.027,
            15.09: 0.036,
            15.22: 0.038,
            15.36: 0.044,
            15.49: 0.112,
            15.63: 0.168,
            15.77: 0.180,
            15.91: 0.158,
        }
        detected_s = [
            now_s
            for now_s, distance in distances_by_time_s.items()
            if detector.is_shift(distance, is_settled=True, now_s=now_s)
        ]
        self.assertEqual([15.91], detected_s)


class ChoiceCounterTests(unittest.TestCase):
    def setUp(self):
        self.counter = demand.ChoiceCounter()

    def test_first_engine_counts_are_not_added(self):
        self.counter.add_engine_counts((50, 50))
        self.assertIsNone(self.counter.pop_choices())

    def test_increases_and_reports_are_returned_once(self):
        self.counter.add_engine_counts((50, 50))
        self.counter.add_engine_counts((53, 50))
        self.counter.add((0, 4))
        self.counter.add_engine_counts((54, 51))
        self.assertEqual([4, 5], self.counter.pop_choices())
        self.assertIsNone(self.counter.pop_choices())

    def test_unchanged_counts_return_none(self):
        self.counter.add_engine_counts((50, 50))
        self.counter.add_engine_counts((50, 50))
        self.assertIsNone(self.counter.pop_choices())

    def test_smaller_counts_of_a_restarted_engine_are_not_added(self):
        self.counter.add_engine_counts((50000, 50000))
        self.counter.add_engine_counts((10, 10))
        self.assertIsNone(self.counter.pop_choices())
        self.counter.add_engine_counts((5010, 10))
        self.assertEqual([5000, 0], self.counter.pop_choices())

    def test_counts_of_another_length_are_not_added(self):
        self.counter.add_engine_counts((5, 5))
        self.counter.add_engine_counts((7, 7, 7))
        self.assertIsNone(self.counter.pop_choices())
        self.counter.add_engine_counts((7, 8, 7))
        self.assertEqual([0, 1, 0], self.counter.pop_choices())
