"""Test that slow ranks are told from hot experts, and what is done."""

import unittest

import numpy

from savoryyoke.groups.stragglers import decisions
from savoryyoke.groups.stragglers import events
from savoryyoke.groups.stragglers import monitor as monitors

_RANKS = 64
_BASE_S = 0.004
_S_PER_TOKEN = 0.0001
_TOKENS = 100.0


class _Group:
    """Make reports of a group; seeds are stated by each test."""

    def __init__(self, *, seed, step_time_limit_s=0.029):
        self._generator = numpy.random.default_rng(seed)
        self.monitor = monitors.StragglerMonitor(
            ranks=_RANKS, step_time_limit_s=step_time_limit_s
        )
        self.loads = numpy.full(_RANKS, _TOKENS)
        self.slowdowns = numpy.ones(_RANKS)
        self.share = 1.0
        self.follow = True
        self.now_s = 0.0

    def run(self, seconds):
        """Report once a second; return all decisions."""
        taken = []
        for _ in range(seconds):
            self.now_s += 1.0
            taken += self._report()
        return taken

    def _report(self):
        noise = self._generator.lognormal(0.0, 0.05, _RANKS)
        loads = self.share * self.loads
        loads = loads * self._generator.lognormal(0.0, 0.1, _RANKS)
        times_s = (_BASE_S + _S_PER_TOKEN * loads) * self.slowdowns * noise
        found = self.monitor.apply(
            events.StepsReported(rank_loads=loads, rank_times_s=times_s),
            now_s=self.now_s,
        )
        for decision in found:
            self._obey(decision)
        return found

    def _obey(self, decision):
        if isinstance(decision, decisions.LimitBatch):
            self.share = decision.share
        if isinstance(decision, decisions.ShiftExperts) and self.follow:
            self.loads = _TOKENS * decision.speeds


def _kinds(taken):
    return [type(decision) for decision in taken]


class StragglerMonitorTest(unittest.TestCase):
    """64 ranks with noise of 5 % in time and 10 % in load."""

    def test_a_hot_expert_is_not_a_slow_rank(self):
        for seed in range(5):
            group = _Group(seed=seed)
            group.loads[7] *= 4
            self.assertEqual([], group.run(600))

    def test_a_slow_rank_is_named_even_with_little_load(self):
        for seed in range(5):
            for load in (0.3, 1.0, 3.0):
                with self.subTest(seed=seed, load=load):
                    group = _Group(seed=seed, step_time_limit_s=1.0)
                    group.follow = False
                    group.loads[7] *= load
                    group.loads[9] *= 4
                    group.slowdowns[7] = 1.5
                    taken = group.run(120)
                    self.assertEqual([decisions.ShiftExperts], _kinds(taken))
                    slow = numpy.nonzero(taken[0].speeds < 1)[0].tolist()
                    self.assertEqual([7], slow)
                    self.assertAlmostEqual(
                        1 / 1.5, taken[0].speeds[7], delta=0.07
                    )

    def test_a_rank_that_comes_and_goes_does_not_flap(self):
        for seed in range(3):
            group = _Group(seed=seed, step_time_limit_s=1.0)
            taken = []
            for turn in range(60):
                group.slowdowns[7] = 1.5 if turn % 2 else 1.0
                taken += group.run(30)
            self.assertLessEqual(len(taken), 3)
            self.assertLess(group.monitor.speeds[7], 0.9)

    def test_actions_grow_only_while_steps_stay_late(self):
        group = _Group(seed=0, step_time_limit_s=0.02)
        group.slowdowns[7] = 1.8
        self.assertEqual([decisions.ShiftExperts], _kinds(group.run(300)))
        group = _Group(seed=0, step_time_limit_s=0.02)
        group.follow = False
        group.slowdowns[7] = 1.8
        taken = _kinds(group.run(300))
        self.assertEqual(decisions.ShiftExperts, taken[0])
        self.assertIn(decisions.LimitBatch, taken)
        self.assertNotIn(decisions.DrainGroup, taken)

    def test_a_group_with_a_very_slow_rank_is_drained_and_restored(self):
        group = _Group(seed=0)
        group.slowdowns[7] = 8.0
        taken = _kinds(group.run(200))
        self.assertEqual(1, taken.count(decisions.DrainGroup))
        self.assertNotIn(decisions.RestoreGroup, taken)
        group.slowdowns[7] = 1.0
        taken = _kinds(group.run(300))
        self.assertEqual(1, taken.count(decisions.RestoreGroup))

    def test_missing_times_are_no_evidence_and_leave_no_trace(self):
        group = _Group(seed=0, step_time_limit_s=1.0)
        group.slowdowns[7] = numpy.nan
        self.assertEqual([], group.run(60))
        group.slowdowns[7] = 1.5
        self.assertEqual([decisions.ShiftExperts], _kinds(group.run(60)))
