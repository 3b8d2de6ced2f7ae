"""Test load estimates and the decisions to search and change maps."""

import unittest

import numpy

from savoryyoke.groups.planning import conf
from savoryyoke.groups.planning import decisions
from savoryyoke.groups.planning import estimates
from savoryyoke.groups.planning import events
from savoryyoke.groups.planning import maps
from savoryyoke.groups.planning import rebalancer as rebalancers
from savoryyoke.groups.planning import search

_FIRST_EXPERT_HOT = numpy.array([[100.0, 10.0, 10.0, 10.0]])
_SECOND_EXPERT_HOT = numpy.array([[10.0, 100.0, 10.0, 10.0]])


def _add_reports(estimator, generator, loads, times_s):
    """Add a report of ``loads`` with noise at each time."""
    for now_s in times_s:
        noise = generator.lognormal(0.0, 0.05, loads.shape)
        estimator.add(loads * noise, now_s=float(now_s))


class LoadEstimatorTest(unittest.TestCase):
    """Loads are reported every second with noise of seed 0."""

    def test_estimate_follows_a_jump_within_two_reports(self):
        estimator = estimates.LoadEstimator()
        generator = numpy.random.default_rng(0)
        _add_reports(estimator, generator, _FIRST_EXPERT_HOT, range(100))
        _add_reports(estimator, generator, _SECOND_EXPERT_HOT, range(100, 102))
        self.assertLess(
            numpy.abs(estimator.loads - _SECOND_EXPERT_HOT).max(), 20.0
        )

    def test_alternating_loads_are_averaged(self):
        estimator = estimates.LoadEstimator()
        generator = numpy.random.default_rng(0)
        for period in range(20):
            loads = _SECOND_EXPERT_HOT if period % 2 else _FIRST_EXPERT_HOT
            times_s = range(period * 20, period * 20 + 20)
            _add_reports(estimator, generator, loads, times_s)
        mean_loads = (_FIRST_EXPERT_HOT + _SECOND_EXPERT_HOT) / 2
        self.assertLess(numpy.abs(estimator.loads - mean_loads).max(), 20.0)


class RebalancerTest(unittest.TestCase):
    """The rebalancer runs one search or change at a time, with a pause."""

    def setUp(self):
        self.map = maps.make_even_map(
            layers=1, ranks=4, slots=2, experts_count=4
        )
        self.rebalancer = rebalancers.Rebalancer(expert_map=self.map, ranks=4)

    def _report(self, loads, now_s):
        event = events.LoadReported(loads=loads)
        return self.rebalancer.apply(event, now_s=now_s)

    def _run_search(self, decision):
        plan = search.run_search(
            search.search_map(decision.present, decision.loads)
        )
        event = events.PlanFound(plan=plan)
        return self.rebalancer.apply(event, now_s=0.0)

    def test_even_loads_start_no_search(self):
        self.assertEqual((), self._report(numpy.full((1, 4), 10.0), 0.0))

    def test_no_search_starts_during_a_change(self):
        (search_decision,) = self._report(_FIRST_EXPERT_HOT, 0.0)
        (plan_decision,) = self._run_search(search_decision)
        self.assertIsInstance(plan_decision, decisions.ProposeMap)
        later_s = 2 * conf.PLAN_INTERVAL_S
        self.assertEqual((), self._report(_FIRST_EXPERT_HOT, later_s))
        event = events.MapInForce(expert_map=self.map)
        self.rebalancer.apply(event, now_s=later_s)
        (next_decision,) = self._report(_FIRST_EXPERT_HOT, later_s + 1.0)
        self.assertIsInstance(next_decision, decisions.SearchMap)

    def test_a_plan_without_gain_is_not_proposed(self):
        (search_decision,) = self._report(_FIRST_EXPERT_HOT, 0.0)
        plan = search.MapPlan(
            expert_map=search_decision.present,
            moves=1,
            time_before=100.0,
            time_after=100.0 * (1 - conf.GAIN_MIN / 2),
            saving_s=1.0,
        )
        (plan_decision,) = self.rebalancer.apply(
            events.PlanFound(plan=plan), now_s=0.0
        )
        self.assertIsInstance(plan_decision, decisions.KeepMap)
        self.assertEqual(
            (), self._report(_FIRST_EXPERT_HOT, conf.PLAN_INTERVAL_S / 2)
        )
        self.assertTrue(self._report(_FIRST_EXPERT_HOT, conf.PLAN_INTERVAL_S))
