"""Test which shifts of demand end a map change."""

import unittest
from unittest import mock

from savoryyoke.groups.balancing import demand
from savoryyoke.groups.rollout import models

from savoryyoke_agent import balancer

SHAPE = models.GroupShape(sets=1, experts=2, slots=2, max_copies_per_rank=1)
INTERVAL_S = 0.1


class ShiftTests(unittest.IsolatedAsyncioTestCase):
    """Guard against changes that end for no new shift, and missed shifts."""

    def setUp(self):
        self.now_s = 0.0
        self.balancer = balancer.Balancer(clock=lambda: self.now_s)

    def observe(self, choices, *, seconds):
        """Add choices in each interval; return how many shifts are new."""
        shifts = 0
        for _ in range(round(seconds / INTERVAL_S)):
            self.now_s += INTERVAL_S
            self.balancer.add_choices(choices)
            shifts += self.balancer.has_demand_shifted()
        return shifts

    def test_without_a_shape_nothing_shifts(self):
        self.assertEqual(0, self.observe([9000, 1000], seconds=2))

    def test_steady_demand_does_not_shift(self):
        self.balancer.set_shape(SHAPE)
        self.assertEqual(0, self.observe([9000, 1000], seconds=5))

    def test_each_shift_is_reported_once(self):
        """A shift that is detected again must not end the next change too."""
        self.balancer.set_shape(SHAPE)
        self.observe([9000, 1000], seconds=3)
        self.assertEqual(1, self.observe([1000, 9000], seconds=3))
        self.assertEqual(1, self.observe([9000, 1000], seconds=3))

    async def test_shift_that_the_plan_has_seen_is_not_reported(self):
        """A shift may be detected until it fills the recent window."""
        with mock.patch.object(demand, 'DemandEstimator') as build_estimator:
            self.balancer.set_shape(SHAPE)
        estimator = build_estimator.return_value
        estimator.estimate.return_value = None
        estimator.shift_distance = 0.5
        estimator.min_shift_distance = 0.3
        self.balancer.contents.add_map(
            models.ExpertMap(version=1, experts=(((0, 1), (0, 1)),))
        )
        for step in range(5):
            self.now_s += 0.1
            self.balancer.record_pass(step)
        await self.balancer.plan(version=1, slowdowns=[1.0, 1.0])
        self.now_s += INTERVAL_S
        self.assertFalse(self.balancer.has_demand_shifted())
        self.now_s += 1.0
        self.assertTrue(self.balancer.has_demand_shifted())
