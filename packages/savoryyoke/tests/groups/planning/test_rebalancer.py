"""Test load estimates and when they lead to a change."""

import unittest

import numpy

from savoryyoke.groups.planning import conf
from savoryyoke.groups.planning import decisions
from savoryyoke.groups.planning import estimates
from savoryyoke.groups.planning import events
from savoryyoke.groups.planning import maps
from savoryyoke.groups.planning import rebalancer as rebalancers
from savoryyoke.groups.planning import search

_HOT = numpy.array([[100.0, 10.0, 10.0, 10.0]])
_COLD = numpy.array([[10.0, 100.0, 10.0, 10.0]])


def _feed(estimator, generator, loads, times_s):
    for now_s in times_s:
        noise = generator.lognormal(0.0, 0.05, loads.shape)
        estimator.add(loads * noise, now_s=float(now_s))


class LoadEstimatorTest(unittest.TestCase):
    """Seed 0; reports each second with noise."""

    def test_a_jump_is_followed_within_two_reports(self):
        estimator = estimates.LoadEstimator()
        generator = numpy.random.default_rng(0)
        _feed(estimator, generator, _HOT, range(100))
        _feed(estimator, generator, _COLD, range(100, 102))
        self.assertLess(numpy.abs(estimator.loads - _COLD).max(), 20.0)

    def test_experts_that_trade_places_are_averaged(self):
        estimator = estimates.LoadEstimator()
        generator = numpy.random.default_rng(0)
        for turn in range(20):
            loads = _COLD if turn % 2 else _HOT
            times_s = range(turn * 20, turn * 20 + 20)
            _feed(estimator, generator, loads, times_s)
        middle = (_HOT + _COLD) / 2
        self.assertLess(numpy.abs(estimator.loads - middle).max(), 20.0)


class RebalancerTest(unittest.TestCase):
    """One search or change at a time, with time between searches."""

    def setUp(self):
        self.map = maps.make_even_map(
            layers=1, ranks=4, slots=2, experts_count=4
        )
        self.rebalancer = rebalancers.Rebalancer(expert_map=self.map, ranks=4)

    def _report(self, loads, now_s):
        event = events.LoadReported(loads=loads)
        return self.rebalancer.apply(event, now_s=now_s)

    def _plan(self, wanted):
        plan = search.run_search(
            search.search_map(wanted.present, wanted.loads)
        )
        event = events.PlanFound(plan=plan)
        return self.rebalancer.apply(event, now_s=0.0)

    def test_an_even_load_starts_no_search(self):
        self.assertEqual((), self._report(numpy.full((1, 4), 10.0), 0.0))

    def test_a_change_under_way_holds_back_the_next_search(self):
        (wanted,) = self._report(_HOT, 0.0)
        (proposed,) = self._plan(wanted)
        self.assertIsInstance(proposed, decisions.ProposeMap)
        later_s = 2 * conf.PLAN_INTERVAL_S
        self.assertEqual((), self._report(_HOT, later_s))
        event = events.MapInForce(expert_map=self.map)
        self.rebalancer.apply(event, now_s=later_s)
        (again,) = self._report(_HOT, later_s + 1.0)
        self.assertIsInstance(again, decisions.SearchMap)

    def test_a_plan_without_gain_is_not_proposed(self):
        (wanted,) = self._report(_HOT, 0.0)
        plan = search.MapPlan(
            expert_map=wanted.present,
            moves=1,
            time_before=100.0,
            time_after=100.0 * (1 - conf.GAIN_MIN / 2),
            saving_s=1.0,
        )
        (kept,) = self.rebalancer.apply(events.PlanFound(plan=plan), now_s=0.0)
        self.assertIsInstance(kept, decisions.KeepMap)
        self.assertEqual((), self._report(_HOT, conf.PLAN_INTERVAL_S / 2))
        self.assertTrue(self._report(_HOT, conf.PLAN_INTERVAL_S))
