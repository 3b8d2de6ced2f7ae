"""Test that slow ranks are detected, and the actions against them."""

import unittest

import numpy

from savoryyoke.groups.stragglers import decisions
from savoryyoke.groups.stragglers import events
from savoryyoke.groups.stragglers import monitor as monitors

_RANKS = 64
_BASE_S = 0.004
_S_PER_TOKEN = 0.0001
_TOKENS_PER_STEP = 100.0


class _Group:
    """Simulate the reports of a group with noise from a seeded generator."""

    def __init__(self, *, seed, step_time_limit_s=0.029):
        self._generator = numpy.random.default_rng(seed)
        self.monitor = monitors.StragglerMonitor(
            ranks=_RANKS, step_time_limit_s=step_time_limit_s
        )
        self.loads = numpy.full(_RANKS, _TOKENS_PER_STEP)
        self.slowdowns = numpy.ones(_RANKS)
        self.batch_share = 1.0
        self.applies_shifts = True
        self.now_s = 0.0

    def run(self, seconds):
        """Report once per second; return all decisions."""
        decisions_made = []
        for _ in range(seconds):
            self.now_s += 1.0
            decisions_made += self._report()
        return decisions_made

    def _report(self):
        noise = self._generator.lognormal(0.0, 0.05, _RANKS)
        loads = self.batch_share * self.loads
        loads = loads * self._generator.lognormal(0.0, 0.1, _RANKS)
        times_s = (_BASE_S + _S_PER_TOKEN * loads) * self.slowdowns * noise
        new_decisions = self.monitor.apply(
            events.StepsReported(rank_loads=loads, rank_times_s=times_s),
            now_s=self.now_s,
        )
        for decision in new_decisions:
            self._apply_decision(decision)
        return new_decisions

    def _apply_decision(self, decision):
        if isinstance(decision, decisions.LimitBatch):
            self.batch_share = decision.share
        if (
            isinstance(decision, decisions.ShiftExperts)
            and self.applies_shifts
        ):
            self.loads = _TOKENS_PER_STEP * decision.speeds


def _list_types(decisions_made):
    return [type(decision) for decision in decisions_made]


class StragglerMonitorTest(unittest.TestCase):
    """Test 64 ranks with noise of 5 % in time and 10 % in load."""

    def test_a_hot_expert_is_not_a_slow_rank(self):
        for seed in range(5):
            group = _Group(seed=seed)
            group.loads[7] *= 4
            self.assertEqual([], group.run(600))

    def test_a_slow_rank_is_detected_at_any_load(self):
        for seed in range(5):
            for load in (0.3, 1.0, 3.0):
                with self.subTest(seed=seed, load=load):
                    group = _Group(seed=seed, step_time_limit_s=1.0)
                    group.applies_shifts = False
                    group.loads[7] *= load
                    group.loads[9] *= 4
                    group.slowdowns[7] = 1.5
                    decisions_made = group.run(120)
                    self.assertEqual(
                        [decisions.ShiftExperts], _list_types(decisions_made)
                    )
                    slow_ranks = numpy.nonzero(decisions_made[0].speeds < 1)[
                        0
                    ].tolist()
                    self.assertEqual([7], slow_ranks)
                    self.assertAlmostEqual(
                        1 / 1.5, decisions_made[0].speeds[7], delta=0.07
                    )

    def test_a_rank_that_is_slow_at_intervals_does_not_flap(self):
        for seed in range(3):
            group = _Group(seed=seed, step_time_limit_s=1.0)
            decisions_made = []
            for period in range(60):
                group.slowdowns[7] = 1.5 if period % 2 else 1.0
                decisions_made += group.run(30)
            self.assertLessEqual(len(decisions_made), 3)
            self.assertLess(group.monitor.speeds[7], 0.9)

    def test_actions_grow_only_while_steps_stay_late(self):
        group = _Group(seed=0, step_time_limit_s=0.02)
        group.slowdowns[7] = 1.8
        self.assertEqual([decisions.ShiftExperts], _list_types(group.run(300)))
        group = _Group(seed=0, step_time_limit_s=0.02)
        group.applies_shifts = False
        group.slowdowns[7] = 1.8
        decisions_made = _list_types(group.run(300))
        self.assertEqual(decisions.ShiftExperts, decisions_made[0])
        self.assertIn(decisions.LimitBatch, decisions_made)
        self.assertNotIn(decisions.DrainGroup, decisions_made)

    def test_a_group_with_a_very_slow_rank_is_drained_and_restored(self):
        group = _Group(seed=0)
        group.slowdowns[7] = 8.0
        decisions_made = _list_types(group.run(200))
        self.assertEqual(1, decisions_made.count(decisions.DrainGroup))
        self.assertNotIn(decisions.RestoreGroup, decisions_made)
        group.slowdowns[7] = 1.0
        decisions_made = _list_types(group.run(300))
        self.assertEqual(1, decisions_made.count(decisions.RestoreGroup))

    def test_missing_times_do_not_affect_the_estimate(self):
        group = _Group(seed=0, step_time_limit_s=1.0)
        group.slowdowns[7] = numpy.nan
        self.assertEqual([], group.run(60))
        group.slowdowns[7] = 1.5
        self.assertEqual([decisions.ShiftExperts], _list_types(group.run(60)))
